"""Small in-memory workers that hold drawn work, driven by an event heap and a fake clock."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.core import commands, entities, events, resources, scheduler
from ebonyhatch.testing import fleet_rows, workloads

QUANTUM_S = 0.002
"""Events this close are handed over in one tick."""

TICK_S = 0.1
START_S = 0.005
REPORT_EVERY_S = 2.0
REPORT_LATE_S = (1.0, 10.0)
REPORT_LOST_SHARE = 0.02
REPORT_NOISE = 0.1
CHECKPOINT_S = (0.5, 3.0)
CHECKPOINT_SPACING_S = 30.0
BACKLOG_JOBS = 200
BURST_JOBS = 300
CALM_LOAD = 0.6
"""Processor load above which interference grows."""

UNANSWERED = -1.0
Callback = Callable[..., None]


class Fleet:
    """Runs one scheduler against one draw."""

    def __init__(self, *, policy: scheduler.Scheduler, draw: workloads.Draw) -> None:
        self._policy = policy
        self._draw = draw
        self._source = random.Random(f"{draw.seed}-fleet")
        self._heap: list[tuple[float, int, Callback, tuple[Any, ...]]] = []
        self._sequence = 0
        self._now = 0.0
        self._events: list[events.Event] = []
        self._next_job = draw.jobs()
        self._waiting = 0
        self.attempts = [0] * len(draw.arrivals)
        self._harm = [
            {
                batch.name: draw.harm[urgent.name, batch.name] - 1.0
                for batch in draw.deployment.batch
            }
            for urgent in draw.deployment.urgent
        ]
        self._demands = [draw.classes[number].demand for number in range(len(self._harm))]
        self.counts = fleet_rows.Counts()
        self.workers: dict[str, fleet_rows.SimulatedWorker] = {}
        self.jobs: dict[str, fleet_rows.SimulatedJob] = {}
        self.tasks: dict[str, fleet_rows.SimulatedTask] = {}
        self.latencies = [UNANSWERED] * len(draw.arrivals)
        self.starts = [UNANSWERED] * len(draw.arrivals)
        self.refused: dict[int, commands.Outcome] = {}
        self.uses: dict[str, list[float]] = {}
        self._set_up()

    @property
    def now(self) -> float:
        """The fake clock, seconds."""
        return self._now

    def at(self, when: float, callback: Callback, *arguments: Any) -> None:
        """Call back at a time of the fake clock."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, callback, arguments))

    def tell(self, event: events.Event) -> None:
        """Hand an event to the scheduler at its next tick."""
        self._events.append(event)

    def run(self) -> None:
        """Run the whole draw."""
        arrivals = self._draw.arrivals
        count = len(arrivals)
        position = 0
        heap = self._heap
        end = self._draw.duration_s
        while self._now < end:
            due = heap[0][0]
            if position < count:
                due = min(due, arrivals[position].at)
            until = due + QUANTUM_S
            while position < count and arrivals[position].at <= until:
                self._arrive(position, arrivals[position])
                position += 1
            while heap and heap[0][0] <= until:
                when, _, callback, arguments = heapq.heappop(heap)
                self._now = when
                callback(*arguments)
            self._now = until
            self._tick()
        self._settle()

    def _set_up(self) -> None:
        draw = self._draw
        self.tell(events.ClassesChanged(classes=draw.classes, tenants=draw.tenants))
        deployment = draw.deployment
        for number in range(deployment.workers):
            rack = f"rack{number * deployment.racks // deployment.workers}"
            worker = fleet_rows.SimulatedWorker(
                worker_id=f"w{number:04}", rack=rack, capacity=deployment.capacity
            )
            self.workers[worker.worker_id] = worker
            self.uses[worker.worker_id] = []
            self.join(worker)
            self.at(self._source.uniform(0, REPORT_EVERY_S), self._report, worker)
        self.submit(BACKLOG_JOBS)
        for number in range(deployment.bursts):
            self.at((number + 0.5) * draw.duration_s / deployment.bursts, self.submit, BURST_JOBS)
        self.at(0.0, self._periodic)

    def lose_worker(self, worker: fleet_rows.SimulatedWorker, *, detected_after_s: float) -> None:
        """Lose a worker with all that runs there; it is known a while later."""
        worker.gone = True
        for task in list(worker.tasks.values()):
            self.lose_work(task)
        numbers = list(worker.requests.values())
        for number, attempt in list(worker.requests):
            self._free_request(number, attempt, worker)
        self.at(self._now + detected_after_s, self._tell_loss, worker, numbers)

    def _tell_loss(self, worker: fleet_rows.SimulatedWorker, numbers: list[int]) -> None:
        for number in numbers:
            self.tell(events.RequestLost(request_id=str(number), worker_id=worker.worker_id))
        self.tell(events.WorkerGone(worker_id=worker.worker_id))

    def _periodic(self) -> None:
        self.at(self._now + TICK_S, self._periodic)

    def _tick(self) -> None:
        taken = self._events
        self._events = []
        self.counts.ticks += 1
        for command in self._policy.tick(now=self._now, events=taken):
            _CARRY_OUT[type(command)](self, command)
        if self._waiting < BACKLOG_JOBS:
            self.submit(BACKLOG_JOBS + 20 - self._waiting)

    def join(self, worker: fleet_rows.SimulatedWorker) -> None:
        """Announce a worker."""
        worker.gone = False
        self.tell(
            events.WorkerJoined(
                worker_id=worker.worker_id,
                failure_domain=worker.rack,
                rack=worker.rack,
                capacity=worker.capacity,
            )
        )

    def submit(self, count: int) -> None:
        """Submit the next drawn jobs."""
        for _ in range(count):
            drawn = next(self._next_job)
            self.jobs[drawn.job.job_id] = fleet_rows.SimulatedJob(
                drawn=drawn, submitted_at=self._now
            )
            self._waiting += 1
            self.tell(events.JobSubmitted(job=drawn.job))

    def cancel(self, count: int) -> None:
        """Submit and cancel jobs at once, as a wave of withdrawn work does."""
        waiting = [job for job in self.jobs.values() if not job.finished and not job.cancelled]
        for job in waiting[:count]:
            if job.running is None and not job.cancelled:
                self._waiting -= 1
            job.cancelled = True
            self.tell(events.JobCancelled(job_id=job.drawn.job.job_id))

    # Requests.

    def _arrive(self, number: int, arrival: workloads.Arrival) -> None:
        kind = self._draw.deployment.urgent[arrival.kind]
        request = entities.Request(
            request_id=str(number),
            service="orders",
            work_class=kind.name,
            tenant="t1",
            arrived_at=arrival.at,
            deadline_at=arrival.at + kind.deadline_s,
            idempotent=kind.idempotent,
            demand=self._demands[arrival.kind],
        )
        self._events.append(events.RequestArrived(request=request))

    def _send(self, command: commands.SendRequest) -> None:
        number = int(command.request_id)
        arrival = self._draw.arrivals[number]
        worker = self.workers[command.worker_id]
        self.attempts[number] = command.attempt
        self.counts.sends += 1
        self.counts.second_sends += command.attempt > 1
        arguments = (number, command.attempt, worker)
        if worker.gone:
            self.at(command.deadline_at, self._lose_request, *arguments)
            return
        if worker.fails_starts and self._source.random() < worker.fails_starts:
            self.at(self._now + START_S, self._refuse_request, *arguments)
            return
        self._hold(worker, self._demands[arrival.kind], self._draw.urgent_cores)
        worker.memory_gb += self._draw.urgent_memory_gb
        worker.requests[(number, command.attempt)] = number
        if self.starts[number] < 0:
            self.starts[number] = self._now - arrival.at
        if worker.hangs:
            self.at(command.deadline_at, self._lose_request, *arguments)
            return
        self.uses[worker.worker_id].append(self._now)
        service_s = arrival.service_s * self._slowdown(worker, arrival.kind) / worker.speed
        service_s += 2 * workloads.NETWORK_S
        if self._now + service_s > command.deadline_at:
            self.at(command.deadline_at, self._lose_request, *arguments)
            return
        self.at(self._now + service_s, self._answer, number, command.attempt, worker, service_s)

    def _slowdown(self, worker: fleet_rows.SimulatedWorker, kind: int) -> float:
        harm = self._harm[kind]
        extra = 0.0
        for task in worker.tasks.values():
            extra += harm[task.job.drawn.kind.name] * task.share
        if not extra:
            return 1.0
        load = worker.cores / worker.capacity.cores
        return 1.0 + extra * (1.0 + max(0.0, load - CALM_LOAD) / (1.0 - CALM_LOAD))

    def _free_request(self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker) -> bool:
        if worker.requests.pop((number, attempt), None) is None:
            return False
        arrival = self._draw.arrivals[number]
        self._hold(worker, self._demands[arrival.kind], self._draw.urgent_cores, sign=-1)
        worker.memory_gb -= self._draw.urgent_memory_gb
        return True

    def _answer(
        self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker, service_s: float
    ) -> None:
        if not self._free_request(number, attempt, worker):
            return
        if self.latencies[number] < 0 and number not in self.refused:
            arrival = self._draw.arrivals[number]
            waited = self._now - arrival.at
            self.latencies[number] = waited + 2 * self._draw.deployment.caller_s
        self.tell(
            events.RequestAnswered(
                request_id=str(number), worker_id=worker.worker_id, service_s=service_s
            )
        )

    def _refuse_request(
        self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker
    ) -> None:
        self.tell(events.RequestNotRun(request_id=str(number), worker_id=worker.worker_id))

    def _lose_request(self, number: int, attempt: int, worker: fleet_rows.SimulatedWorker) -> None:
        self._free_request(number, attempt, worker)
        self.tell(events.RequestLost(request_id=str(number), worker_id=worker.worker_id))

    def _refused(self, command: commands.RefuseRequest) -> None:
        self.refused[int(command.request_id)] = command.outcome

    # Tasks.

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

    # Workers.

    def _hold(
        self,
        worker: fleet_rows.SimulatedWorker,
        declared: resources.Resources,
        cores: float,
        *,
        sign: int = 1,
    ) -> None:
        worker.slots += sign * declared.slots
        worker.connections += sign * declared.connections
        worker.declared_cores += sign * declared.cores
        worker.declared_memory_gb += sign * declared.memory_gb
        worker.cores += sign * cores
        if sign < 0:
            return
        capacity = worker.capacity
        if (
            worker.slots > capacity.slots
            or worker.connections > capacity.connections
            or worker.declared_cores > capacity.cores + 1e-6
            or worker.declared_memory_gb > capacity.memory_gb + 1e-6
        ):
            self.counts.limits_exceeded += 1

    def _report(self, worker: fleet_rows.SimulatedWorker) -> None:
        self.at(self._now + REPORT_EVERY_S, self._report, worker)
        capacity = worker.capacity
        if worker.cores > capacity.cores or worker.memory_gb > capacity.memory_gb:
            self.counts.overload_s += REPORT_EVERY_S
        source = self._source
        late_s = source.uniform(*REPORT_LATE_S)
        if worker.gone or source.random() < REPORT_LOST_SHARE:
            return
        noise = [source.gauss(1.0, REPORT_NOISE) for _ in range(len(worker.tasks) + 1)]
        tasks = tuple(
            events.TaskUsage(
                task_id=task.task_id,
                usage=resources.Resources(
                    slots=1,
                    connections=1,
                    cores=task.job.drawn.cores * noise[number],
                    memory_gb=task.job.drawn.memory_gb * noise[number],
                ),
            )
            for number, task in enumerate(worker.tasks.values())
        )
        usage = resources.Resources(
            slots=worker.slots,
            connections=worker.connections,
            cores=worker.cores * noise[-1],
            memory_gb=worker.memory_gb * noise[-1],
        )
        report = events.UsageReported(
            worker_id=worker.worker_id, sampled_at=self._now, usage=usage, tasks=tasks
        )
        self.at(self._now + late_s, self.tell, report)

    def _settle(self) -> None:
        for task in self.tasks.values():
            self.advance(task)


_CARRY_OUT: dict[type[commands.Command], Callable[[Fleet, Any], None]] = {
    commands.StartTask: Fleet._start,
    commands.CheckpointTask: Fleet._checkpoint,
    commands.ThrottleTask: Fleet._throttle,
    commands.EvictTask: Fleet._evict,
    commands.StopTask: Fleet._stop,
    commands.ParkJob: Fleet._park,
    commands.SendRequest: Fleet._send,
    commands.RefuseRequest: Fleet._refused,
}
