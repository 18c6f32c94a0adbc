"""Discrete-event simulation of workers in memory, driven by an event heap and a fake clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from ebonyhatch.core import commands, events, resources, scheduler
from ebonyhatch.testing import fleet_requests, fleet_rows, fleet_tasks, workloads

TICK_WINDOW_S = 0.002
"""Events due within this time of the earliest one are passed in the same tick, seconds."""

TICK_S = 0.1
REPORT_INTERVAL_S = 2.0
REPORT_DELAY_RANGE_S = (1.0, 10.0)
"""Range of the uniformly distributed delay of usage reports."""

LOST_REPORT_FRACTION = 0.02
REPORT_NOISE_SIGMA = 0.1
"""Standard deviation of the factor by which reported use differs from true use."""

BACKLOG_JOBS = 200
"""Number of waiting jobs below which new jobs are submitted."""

BURST_JOBS = 300


class Fleet(fleet_requests.FleetRequests, fleet_tasks.FleetTasks):
    """Runs one scheduler against one generated workload."""

    def __init__(self, *, policy: scheduler.Scheduler, workload: workloads.Workload) -> None:
        super().__init__(policy=policy, workload=workload)
        self._set_up()

    def run(self) -> None:
        """Runs the whole workload."""
        arrivals = self._workload.arrivals
        count = len(arrivals)
        position = 0
        heap = self._heap
        end = self._workload.duration_s
        while self._now < end:
            due = heap[0][0]
            if position < count:
                due = min(due, arrivals[position].at)
            until = due + TICK_WINDOW_S
            while position < count and arrivals[position].at <= until:
                self._arrive(position, arrivals[position])
                position += 1
            while heap and heap[0][0] <= until:
                when, _, callback, arguments = heapq.heappop(heap)
                self._now = when
                callback(*arguments)
            self._now = until
            self._tick()
        self._advance_remaining_tasks()

    def _set_up(self) -> None:
        workload = self._workload
        self.post_event(events.ClassesChanged(classes=workload.classes, tenants=workload.tenants))
        deployment = workload.deployment
        for number in range(deployment.workers):
            rack = f"rack{number * deployment.racks // deployment.workers}"
            worker = fleet_rows.SimulatedWorker(
                worker_id=f"w{number:04}", rack=rack, capacity=deployment.capacity
            )
            self.workers[worker.worker_id] = worker
            self.use_times[worker.worker_id] = []
            self.join(worker)
            self.call_at(self._random.uniform(0, REPORT_INTERVAL_S), self._report, worker)
        self.submit(BACKLOG_JOBS)
        for number in range(deployment.bursts):
            self.call_at(
                (number + 0.5) * workload.duration_s / deployment.bursts, self.submit, BURST_JOBS
            )
        self.call_at(0.0, self._periodic)

    def lose_worker(self, worker: fleet_rows.SimulatedWorker, *, detected_after_s: float) -> None:
        """Fails a worker with all its work; the scheduler is notified `detected_after_s` later."""
        worker.lost = True
        for task in list(worker.tasks.values()):
            self.end_with_lost_work(task)
        request_numbers = list(worker.requests.values())
        for number, attempt in list(worker.requests):
            self._free_request(number, attempt, worker)
        self.call_at(self._now + detected_after_s, self._report_loss, worker, request_numbers)

    def _report_loss(self, worker: fleet_rows.SimulatedWorker, request_numbers: list[int]) -> None:
        for number in request_numbers:
            self.post_event(events.RequestLost(request_id=str(number), worker_id=worker.worker_id))
        self.post_event(events.WorkerGone(worker_id=worker.worker_id))

    def _periodic(self) -> None:
        self.call_at(self._now + TICK_S, self._periodic)

    def _tick(self) -> None:
        delivered = self._events
        self._events = []
        self.counts.ticks += 1
        for command in self._policy.tick(now=self._now, events=delivered):
            _COMMAND_HANDLERS[type(command)](self, command)
        if self._waiting_jobs < BACKLOG_JOBS:
            self.submit(BACKLOG_JOBS + 20 - self._waiting_jobs)

    def join(self, worker: fleet_rows.SimulatedWorker) -> None:
        """Reports a worker as joined."""
        worker.lost = False
        self.post_event(
            events.WorkerJoined(
                worker_id=worker.worker_id,
                failure_domain=worker.rack,
                rack=worker.rack,
                capacity=worker.capacity,
            )
        )

    def submit(self, count: int) -> None:
        """Submits the next generated jobs."""
        for _ in range(count):
            generated = next(self._next_job)
            self.jobs[generated.job.job_id] = fleet_rows.SimulatedJob(
                generated=generated, submitted_at=self._now
            )
            self._waiting_jobs += 1
            self.post_event(events.JobSubmitted(job=generated.job))

    def cancel(self, count: int) -> None:
        """Cancels the first `count` jobs that are neither finished nor cancelled, all at once."""
        waiting = [job for job in self.jobs.values() if not job.finished and not job.cancelled]
        for job in waiting[:count]:
            if job.running is None and not job.cancelled:
                self._waiting_jobs -= 1
            job.cancelled = True
            self.post_event(events.JobCancelled(job_id=job.generated.job.job_id))

    def _report(self, worker: fleet_rows.SimulatedWorker) -> None:
        self.call_at(self._now + REPORT_INTERVAL_S, self._report, worker)
        capacity = worker.capacity
        if worker.cores > capacity.cores or worker.memory_gb > capacity.memory_gb:
            self.counts.overload_s += REPORT_INTERVAL_S
        generator = self._random
        late_s = generator.uniform(*REPORT_DELAY_RANGE_S)
        if worker.lost or generator.random() < LOST_REPORT_FRACTION:
            return
        noise = [generator.gauss(1.0, REPORT_NOISE_SIGMA) for _ in range(len(worker.tasks) + 1)]
        tasks = tuple(
            events.TaskUsage(
                task_id=task.task_id,
                usage=resources.Resources(
                    slots=1,
                    connections=1,
                    cores=task.job.generated.cores * noise[number],
                    memory_gb=task.job.generated.memory_gb * noise[number],
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
        self.call_at(self._now + late_s, self.post_event, report)

    def _advance_remaining_tasks(self) -> None:
        for task in self.tasks.values():
            self.advance(task)


_COMMAND_HANDLERS: dict[type[commands.Command], Callable[[Fleet, Any], None]] = {
    commands.StartTask: Fleet._start,
    commands.CheckpointTask: Fleet._checkpoint,
    commands.ThrottleTask: Fleet._throttle,
    commands.EvictTask: Fleet._evict,
    commands.StopTask: Fleet._stop,
    commands.ParkJob: Fleet._park,
    commands.SendRequest: Fleet._send,
    commands.RefuseRequest: Fleet._record_refusal,
}
