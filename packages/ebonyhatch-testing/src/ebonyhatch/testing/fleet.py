"""Small in-memory workers that hold drawn work, driven by an event heap and a fake clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from ebonyhatch.core import commands, events, resources, scheduler
from ebonyhatch.testing import fleet_requests, fleet_rows, fleet_tasks, workloads

QUANTUM_S = 0.002
"""Events this close are handed over in one tick."""

TICK_S = 0.1
REPORT_EVERY_S = 2.0
REPORT_LATE_S = (1.0, 10.0)
REPORT_LOST_SHARE = 0.02
REPORT_NOISE = 0.1
BACKLOG_JOBS = 200
BURST_JOBS = 300


class Fleet(fleet_requests.FleetRequests, fleet_tasks.FleetTasks):
    """Runs one scheduler against one draw."""

    def __init__(self, *, policy: scheduler.Scheduler, draw: workloads.Draw) -> None:
        super().__init__(policy=policy, draw=draw)
        self._set_up()

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
