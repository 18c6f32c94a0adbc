"""Attempts on the simulated fleet: progress, checkpoints, throttling and stops."""

from __future__ import annotations

from ebonyhatch.core import commands, events
from ebonyhatch.testing import fleet_base, fleet_rows

START_S = 0.005
CHECKPOINT_RANGE_S = (0.5, 3.0)
"""Range of the uniformly distributed duration of a checkpoint; the task pauses meanwhile."""

MIN_CHECKPOINT_SPACING_S = 30.0
"""Minimum work since the last checkpoint before another one is made."""


class FleetTasks(fleet_base.FleetBase):
    """Executes the scheduler's commands on attempts."""

    def _start(self, command: commands.StartTask) -> None:
        job = self.jobs[command.job_id]
        worker = self.workers[command.worker_id]
        if job.running is not None:
            self.counts.double_runs += 1
        self._waiting_jobs -= 1
        if worker.lost or (
            worker.start_failure_probability
            and self._random.random() < worker.start_failure_probability
        ):
            self.call_at(self._now + START_S, self._fail_start, command, job)
            return
        self.counts.starts += 1
        self.use_times[worker.worker_id].append(self._now)
        task = fleet_rows.SimulatedTask(
            task_id=command.task_id,
            job=job,
            worker=worker,
            done_s=job.checkpointed_s,
            updated_at=self._now + START_S,
            started_at=self._now,
        )
        job.running = task
        if job.started_at < 0:
            job.started_at = self._now
        self.tasks[task.task_id] = task
        worker.tasks[task.task_id] = task
        self._adjust_reservations(worker, job.generated.job.demand, job.generated.cores)
        worker.memory_gb += job.generated.memory_gb
        if worker.hung:
            return
        self.call_at(self._now + START_S, self.post_event, events.TaskStarted(task_id=task.task_id))
        self.reschedule(task)

    def _fail_start(self, command: commands.StartTask, job: fleet_rows.SimulatedJob) -> None:
        if not job.cancelled:
            self._waiting_jobs += 1
        self.post_event(events.TaskStartFailed(task_id=command.task_id, reason="failed"))

    def advance(self, task: fleet_rows.SimulatedTask) -> None:
        """Updates the work that an attempt has done to the current time."""
        if not task.paused and self._now > task.updated_at:
            elapsed = self._now - task.updated_at
            rate = 0.0 if task.worker.hung else task.speed_fraction * task.worker.speed
            task.done_s += elapsed * rate
            self.counts.work_s += elapsed * rate
        task.updated_at = max(task.updated_at, self._now)

    def reschedule(self, task: fleet_rows.SimulatedTask) -> None:
        """Recomputes the time at which an attempt ends."""
        task.version += 1
        rate = task.speed_fraction * task.worker.speed
        if task.paused or task.worker.hung:
            return
        remaining_s = max(0.0, task.job.generated.work_s - task.done_s)
        self.call_at(task.updated_at + remaining_s / rate, self._finish, task, task.version)

    def _finish(self, task: fleet_rows.SimulatedTask, version: int) -> None:
        if version != task.version or task.task_id not in self.tasks:
            return
        self.advance(task)
        self._remove(task)
        self.counts.double_finishes += task.job.finished
        task.job.finished = True
        self.counts.finished_jobs += 1
        run_s = self._now - task.started_at
        self.post_event(events.TaskFinished(task_id=task.task_id, run_s=run_s))

    def _remove(self, task: fleet_rows.SimulatedTask) -> None:
        job = task.job
        del self.tasks[task.task_id]
        del task.worker.tasks[task.task_id]
        job.running = None
        self._adjust_reservations(
            task.worker, job.generated.job.demand, job.generated.cores, sign=-1
        )
        task.worker.memory_gb -= job.generated.memory_gb

    def end_with_lost_work(self, task: fleet_rows.SimulatedTask) -> float:
        """Ends an attempt and returns the work since its last checkpoint, which must be redone."""
        self.advance(task)
        task.version += 1
        self._remove(task)
        lost_s = task.done_s - task.job.checkpointed_s
        if not task.job.cancelled:
            self.counts.redone_s += lost_s
            self._waiting_jobs += 1
        return lost_s

    def _checkpoint(self, command: commands.CheckpointTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is None or not self._can_checkpoint(task):
            return
        task.paused = True
        task.version += 1
        self.call_at(
            self._now + self._random.uniform(*CHECKPOINT_RANGE_S),
            self._finish_checkpoint,
            task,
            task.version,
        )

    def _can_checkpoint(self, task: fleet_rows.SimulatedTask) -> bool:
        self.advance(task)
        since_checkpoint_s = task.done_s - task.job.checkpointed_s
        return (
            not task.paused
            and since_checkpoint_s >= MIN_CHECKPOINT_SPACING_S
            and not task.worker.hung
        )

    def _finish_checkpoint(self, task: fleet_rows.SimulatedTask, version: int) -> None:
        if version != task.version or task.task_id not in self.tasks:
            return
        self.advance(task)
        task.job.checkpointed_s = task.done_s
        task.paused = False
        self.post_event(events.TaskCheckpointed(task_id=task.task_id, progress_s=task.done_s))
        self.reschedule(task)

    def _throttle(self, command: commands.ThrottleTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is not None:
            self.advance(task)
            task.speed_fraction = 1.0 if command.share >= 1.0 else 0.5
            self.reschedule(task)

    def _evict(self, command: commands.EvictTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is None:
            return
        task.job.evictions += 1
        self.counts.evictions += 1
        if not command.checkpoint or not self._can_checkpoint(task):
            self.call_at(self._now + START_S, self._stopped, task, False)
            return
        task.paused = True
        task.version += 1
        self.call_at(
            self._now + self._random.uniform(*CHECKPOINT_RANGE_S), self._stopped, task, True
        )

    def _stop(self, command: commands.StopTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is not None:
            self.call_at(self._now + START_S, self._stopped, task, False)

    def _stopped(self, task: fleet_rows.SimulatedTask, checkpointed: bool) -> None:
        if task.task_id not in self.tasks:
            return
        if checkpointed:
            task.job.checkpointed_s = task.done_s
        self.counts.redone_evicted_s += self.end_with_lost_work(task)
        self.post_event(
            events.TaskStopped(task_id=task.task_id, progress_s=task.job.checkpointed_s)
        )

    def _park(self, command: commands.ParkJob) -> None:
        """Ignores the command: a parked job has no state in the simulation."""
