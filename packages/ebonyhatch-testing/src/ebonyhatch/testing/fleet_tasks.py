"""Attempts on the fleet: progress, checkpoints, throttling, stops."""

from __future__ import annotations

from ebonyhatch.core import commands, events
from ebonyhatch.testing import fleet_base, fleet_rows

START_S = 0.005
CHECKPOINT_S = (0.5, 3.0)
CHECKPOINT_SPACING_S = 30.0


class FleetTasks(fleet_base.FleetBase):
    """Carries out what is decided on attempts."""

    def _start(self, command: commands.StartTask) -> None:
        job = self.jobs[command.job_id]
        worker = self.workers[command.worker_id]
        if job.running is not None:
            self.counts.double_runs += 1
        self._waiting -= 1
        if worker.gone or (worker.fails_starts and self._source.random() < worker.fails_starts):
            self.at(self._now + START_S, self._fail_start, command, job)
            return
        self.counts.starts += 1
        self.uses[worker.worker_id].append(self._now)
        task = fleet_rows.SimulatedTask(
            task_id=command.task_id,
            job=job,
            worker=worker,
            done_s=job.saved_s,
            updated_at=self._now + START_S,
            started_at=self._now,
        )
        job.running = task
        if job.started_at < 0:
            job.started_at = self._now
        self.tasks[task.task_id] = task
        worker.tasks[task.task_id] = task
        self._hold(worker, job.drawn.job.demand, job.drawn.cores)
        worker.memory_gb += job.drawn.memory_gb
        if worker.hangs:
            return
        self.at(self._now + START_S, self.tell, events.TaskStarted(task_id=task.task_id))
        self.reschedule(task)

    def _fail_start(self, command: commands.StartTask, job: fleet_rows.SimulatedJob) -> None:
        if not job.cancelled:
            self._waiting += 1
        self.tell(events.TaskStartFailed(task_id=command.task_id, reason="failed"))

    def advance(self, task: fleet_rows.SimulatedTask) -> None:
        """Bring the work of an attempt up to now."""
        if not task.paused and self._now > task.updated_at:
            elapsed = self._now - task.updated_at
            rate = 0.0 if task.worker.hangs else task.share * task.worker.speed
            task.done_s += elapsed * rate
            self.counts.work_s += elapsed * rate
        task.updated_at = max(task.updated_at, self._now)

    def reschedule(self, task: fleet_rows.SimulatedTask) -> None:
        """Work out anew when an attempt ends."""
        task.version += 1
        rate = task.share * task.worker.speed
        if task.paused or task.worker.hangs:
            return
        left = max(0.0, task.job.drawn.work_s - task.done_s)
        self.at(task.updated_at + left / rate, self._finish, task, task.version)

    def _finish(self, task: fleet_rows.SimulatedTask, version: int) -> None:
        if version != task.version or task.task_id not in self.tasks:
            return
        self.advance(task)
        self._drop(task)
        self.counts.double_finishes += task.job.finished
        task.job.finished = True
        self.counts.finished_jobs += 1
        run_s = self._now - task.started_at
        self.tell(events.TaskFinished(task_id=task.task_id, run_s=run_s))

    def _drop(self, task: fleet_rows.SimulatedTask) -> None:
        job = task.job
        del self.tasks[task.task_id]
        del task.worker.tasks[task.task_id]
        job.running = None
        self._hold(task.worker, job.drawn.job.demand, job.drawn.cores, sign=-1)
        task.worker.memory_gb -= job.drawn.memory_gb

    def lose_work(self, task: fleet_rows.SimulatedTask) -> float:
        """End an attempt; what it did since its last checkpoint is to be redone."""
        self.advance(task)
        task.version += 1
        self._drop(task)
        lost_s = task.done_s - task.job.saved_s
        if not task.job.cancelled:
            self.counts.redone_s += lost_s
            self._waiting += 1
        return lost_s

    def _checkpoint(self, command: commands.CheckpointTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is None or not self._may_save(task):
            return
        task.paused = True
        task.version += 1
        self.at(self._now + self._source.uniform(*CHECKPOINT_S), self._saved, task, task.version)

    def _may_save(self, task: fleet_rows.SimulatedTask) -> bool:
        self.advance(task)
        since = task.done_s - task.job.saved_s
        return not task.paused and since >= CHECKPOINT_SPACING_S and not task.worker.hangs

    def _saved(self, task: fleet_rows.SimulatedTask, version: int) -> None:
        if version != task.version or task.task_id not in self.tasks:
            return
        self.advance(task)
        task.job.saved_s = task.done_s
        task.paused = False
        self.tell(events.TaskCheckpointed(task_id=task.task_id, progress_s=task.done_s))
        self.reschedule(task)

    def _throttle(self, command: commands.ThrottleTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is not None:
            self.advance(task)
            task.share = 1.0 if command.share >= 1.0 else 0.5
            self.reschedule(task)

    def _evict(self, command: commands.EvictTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is None:
            return
        task.job.evictions += 1
        self.counts.evictions += 1
        if not command.checkpoint or not self._may_save(task):
            self.at(self._now + START_S, self._stopped, task, False)
            return
        task.paused = True
        task.version += 1
        self.at(self._now + self._source.uniform(*CHECKPOINT_S), self._stopped, task, True)

    def _stop(self, command: commands.StopTask) -> None:
        task = self.tasks.get(command.task_id)
        if task is not None:
            self.at(self._now + START_S, self._stopped, task, False)

    def _stopped(self, task: fleet_rows.SimulatedTask, saved: bool) -> None:
        if task.task_id not in self.tasks:
            return
        if saved:
            task.job.saved_s = task.done_s
        self.counts.redone_evicted_s += self.lose_work(task)
        self.tell(events.TaskStopped(task_id=task.task_id, progress_s=task.job.saved_s))

    def _park(self, command: commands.ParkJob) -> None:
        """A parked job needs nothing here."""
