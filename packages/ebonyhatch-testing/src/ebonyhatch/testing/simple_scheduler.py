"""Base of the two baseline schedulers: first fit by declared size, queues served in order."""

from __future__ import annotations

import collections
from collections.abc import Sequence

from ebonyhatch.core import capacity, commands, entities, events, resources, rows, scheduler

ANSWER_TIMEOUT_S = 60.0
"""Time to wait for the answer to a sent request, seconds; deadlines are ignored."""


class SimpleScheduler(scheduler.Scheduler):
    """First come first served, first fit; subclasses define the order of the queues.

    Attributes:
        max_attempts: Maximum number of times that a request is sent.
    """

    max_attempts = 2

    def __init__(self, *, seed: int) -> None:
        del seed
        self._workers: dict[str, rows.Worker] = {}
        self._queue: collections.deque[str] = collections.deque()
        self._jobs: dict[str, rows.Job] = {}
        self._tasks: dict[str, rows.Task] = {}
        self._requests: dict[str, rows.Request] = {}
        self._commands: list[commands.Command] = []
        self._now = 0.0
        self._parked: dict[str, entities.Job] = {}

    def tick(self, *, now: float, events: Sequence[events.Event]) -> list[commands.Command]:
        """Applies events and places queued work that fits."""
        self._now = now
        self._commands = []
        for event in events:
            handler = getattr(self, f"_on_{type(event).__name__}", None)
            if handler is not None:
                handler(event)
        self._place()
        return self._commands

    def room(self, *, now: float) -> scheduler.CapacitySummary:
        """Returns a summary of the free capacity and of the queues."""
        available = [worker for worker in self._workers.values() if not worker.leaving]
        return scheduler.CapacitySummary(
            free_slots=sum(worker.free_slots for worker in available),
            total_slots=sum(worker.capacity.slots for worker in available),
            queued_urgent=self._queued_urgent(),
            wait_s=0.0,
            queued_batch=sum(1 for job in self._jobs.values() if job.task is None),
        )

    def explain(self, *, subject_id: str) -> str:
        """Returns whether a job or request is known, as text."""
        known = subject_id in self._jobs or subject_id in self._requests
        return f"{subject_id} is {'waiting or running' if known else 'not known'}"

    def _place(self) -> None:
        raise NotImplementedError

    def _enqueue_request(self, row: rows.Request) -> None:
        raise NotImplementedError

    def _queued_urgent(self) -> int:
        return 0

    def _enqueue_job(self, row: rows.Job) -> None:
        self._queue.append(row.job.job_id)

    def _first_fit(self, demand: resources.Resources) -> rows.Worker | None:
        for worker in self._workers.values():
            if not worker.leaving and capacity.fits(worker, demand):
                return worker
        return None

    def _place_request(self, row: rows.Request) -> bool:
        worker = self._first_fit(row.demand)
        if worker is None:
            return False
        row.attempts += 1
        row.worker = worker
        worker.requests[row.request.request_id] = row
        capacity.reserve(worker, row.demand)
        self._commands.append(
            commands.SendRequest(
                request_id=row.request.request_id,
                attempt=row.attempts,
                worker_id=worker.worker_id,
                deadline_at=self._now + ANSWER_TIMEOUT_S,
            )
        )
        return True

    def _place_job(self, row: rows.Job) -> bool:
        """Starts a job on the first worker on which it fits; returns whether it leaves the queue.

        A job that exceeds the whole capacity of every available worker is set aside (parked), and
        leaves the queue too; without available workers it stays queued.
        """
        worker = self._first_fit(row.job.demand)
        if worker is None:
            return self._park(row)
        row.attempts += 1
        task = rows.Task(
            task_id=f"{row.job.job_id}/{row.attempts}",
            job=row,
            worker=worker,
            demand=row.job.demand,
            placed_at=self._now,
        )
        row.task = task
        self._tasks[task.task_id] = task
        worker.tasks[task.task_id] = task
        capacity.reserve(worker, task.demand)
        self._commands.append(
            commands.StartTask(
                task_id=task.task_id,
                job_id=row.job.job_id,
                attempt=row.attempts,
                worker_id=worker.worker_id,
            )
        )
        return True

    def _park(self, row: rows.Job) -> bool:
        available = [worker for worker in self._workers.values() if not worker.leaving]
        if not available or any(row.job.demand.fits(worker.capacity) for worker in available):
            return False
        row.parked = True
        job_id = row.job.job_id
        self._commands.append(commands.ParkJob(job_id=job_id, reason="no-worker-can-hold-it"))
        return True

    def _end_task(self, task_id: str, *, requeue: bool) -> None:
        task = self._tasks.pop(task_id, None)
        if task is None:
            return
        task.job.task = None
        del task.worker.tasks[task_id]
        capacity.release(task.worker, task.demand)
        if requeue and task.state is not rows.TaskState.STOPPING:
            self._enqueue_job(task.job)
        else:
            self._jobs.pop(task.job.job.job_id, None)

    def _end_request(self, request_id: str, worker_id: str) -> rows.Request | None:
        row = self._requests.get(request_id)
        if row is None or row.worker is None or row.worker.worker_id != worker_id:
            return None
        del row.worker.requests[request_id]
        capacity.release(row.worker, row.demand)
        row.worker = None
        return row

    def _refuse(self, row: rows.Request, outcome: commands.Outcome) -> None:
        del self._requests[row.request.request_id]
        self._commands.append(
            commands.RefuseRequest(
                request_id=row.request.request_id,
                outcome=outcome,
                reason="worker-lost",
                retry_after_s=1.0,
            )
        )

    def _on_WorkerJoined(self, event: events.WorkerJoined) -> None:  # noqa: N802
        worker = rows.Worker(
            worker_id=event.worker_id,
            failure_domain=event.failure_domain,
            rack=event.rack,
            capacity=event.capacity,
        )
        previous = self._workers.get(event.worker_id)
        if previous is not None:
            worker.tasks = previous.tasks
            worker.requests = previous.requests
            for task in previous.tasks.values():
                task.worker = worker
            for row in previous.requests.values():
                row.worker = worker
        capacity.recount(worker)
        self._workers[event.worker_id] = worker
        for job in self._jobs.values():
            if job.parked:
                job.parked = False
                self._enqueue_job(job)

    def _on_WorkerLeaving(self, event: events.WorkerLeaving) -> None:  # noqa: N802
        if event.worker_id in self._workers:
            self._workers[event.worker_id].leaving = True

    def _on_WorkerGone(self, event: events.WorkerGone) -> None:  # noqa: N802
        worker = self._workers.pop(event.worker_id, None)
        if worker is not None:
            for task_id in list(worker.tasks):
                self._end_task(task_id, requeue=True)

    def _on_JobSubmitted(self, event: events.JobSubmitted) -> None:  # noqa: N802
        if event.job.job_id not in self._jobs:
            row = rows.Job(job=event.job, attempts=event.attempts)
            self._jobs[event.job.job_id] = row
            self._enqueue_job(row)

    def _on_JobCancelled(self, event: events.JobCancelled) -> None:  # noqa: N802
        row = self._jobs.get(event.job_id)
        if row is None:
            return
        if row.task is None:
            del self._jobs[event.job_id]
            return
        row.task.state = rows.TaskState.STOPPING
        self._commands.append(
            commands.StopTask(task_id=row.task.task_id, worker_id=row.task.worker.worker_id)
        )

    def _on_TaskStartFailed(self, event: events.TaskStartFailed) -> None:  # noqa: N802
        self._end_task(event.task_id, requeue=True)

    def _on_TaskLost(self, event: events.TaskLost) -> None:  # noqa: N802
        self._end_task(event.task_id, requeue=True)

    def _on_TaskStopped(self, event: events.TaskStopped) -> None:  # noqa: N802
        self._end_task(event.task_id, requeue=True)

    def _on_TaskFinished(self, event: events.TaskFinished) -> None:  # noqa: N802
        self._end_task(event.task_id, requeue=False)

    def _on_TaskFailed(self, event: events.TaskFailed) -> None:  # noqa: N802
        self._end_task(event.task_id, requeue=False)

    def _on_RequestArrived(self, event: events.RequestArrived) -> None:  # noqa: N802
        row = rows.Request(request=event.request, demand=event.request.demand)
        self._requests[event.request.request_id] = row
        self._enqueue_request(row)

    def _on_RequestAnswered(self, event: events.RequestAnswered) -> None:  # noqa: N802
        if self._end_request(event.request_id, event.worker_id) is not None:
            del self._requests[event.request_id]

    def _on_RequestNotRun(self, event: events.RequestNotRun) -> None:  # noqa: N802
        row = self._end_request(event.request_id, event.worker_id)
        if row is not None:
            self._retry_or_refuse(row, commands.Outcome.NOT_RUN)

    def _on_RequestLost(self, event: events.RequestLost) -> None:  # noqa: N802
        row = self._end_request(event.request_id, event.worker_id)
        if row is not None:
            self._retry_or_refuse(row, commands.Outcome.UNKNOWN)

    def _retry_or_refuse(self, row: rows.Request, outcome: commands.Outcome) -> None:
        if row.request.idempotent and row.attempts < self.max_attempts:
            self._enqueue_request(row)
        else:
            self._refuse(row, outcome)
