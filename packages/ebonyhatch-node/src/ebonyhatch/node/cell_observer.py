"""Metrics of a cell, from the events and commands between node and scheduler."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from ebonyhatch.core import commands, events
from ebonyhatch.node import metrics

Handler = Callable[["CellObserver", Any, float], None]
_HANDLERS: dict[type, Handler] = {}


def observes(kind: type) -> Callable[[Handler], Handler]:
    """Registers the handler of one type of event or command."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


@dataclasses.dataclass(slots=True, kw_only=True)
class Work:
    """A request or job that has not ended.

    Attributes:
        work_class: Its work class.
        tenant: Its tenant.
        since: Time at which it arrived or was submitted here, seconds; for a job whose running
            attempt was adopted, the start of that attempt.
        progress_s: Work saved in its last checkpoint, seconds.
        started_at: Time at which its current attempt was placed, seconds; after a checkpoint, the
            time of that checkpoint.
    """

    work_class: str
    tenant: str
    since: float
    progress_s: float = 0.0
    started_at: float = 0.0


class CellObserver:
    """Turns events and commands into metrics; it keeps only work that has not ended."""

    def __init__(self, *, measures: metrics.Metrics) -> None:
        self._measures = measures
        self._requests: dict[str, Work] = {}
        self._jobs: dict[str, Work] = {}

    @property
    def open_work(self) -> int:
        """Number of requests and jobs that have not ended."""
        return len(self._requests) + len(self._jobs)

    def observe(
        self, *, now: float, received: Sequence[events.Event], decided: Sequence[commands.Command]
    ) -> None:
        """Applies the events and commands of one tick."""
        for item in (*received, *decided):
            handler = _HANDLERS.get(type(item))
            if handler is not None:
                handler(self, item, now)

    @observes(events.RequestArrived)
    def _arrived(self, event: events.RequestArrived, now: float) -> None:
        request = event.request
        self._requests[request.request_id] = Work(
            work_class=request.work_class, tenant=request.tenant, since=request.arrived_at
        )

    @observes(commands.SendRequest)
    def _sent(self, command: commands.SendRequest, now: float) -> None:
        work = self._requests.get(command.request_id)
        if work is None:
            return
        if command.attempt > 1:
            self._measures.record_retry(work_class=work.work_class, granted=True)
            return
        self._measures.record_wait_time(
            work_class=work.work_class, tenant=work.tenant, seconds=now - work.since
        )

    @observes(events.RequestAnswered)
    def _answered(self, event: events.RequestAnswered, now: float) -> None:
        work = self._requests.pop(event.request_id, None)
        if work is not None:
            self._measures.record_service_time(
                work_class=work.work_class, tenant=work.tenant, seconds=event.service_s
            )

    @observes(commands.RefuseRequest)
    @observes(events.RequestWithdrawn)
    def _dropped(self, item: commands.RefuseRequest | events.RequestWithdrawn, now: float) -> None:
        self._requests.pop(item.request_id, None)

    @observes(events.JobSubmitted)
    def _submitted(self, event: events.JobSubmitted, now: float) -> None:
        job = event.job
        known = self._jobs.get(job.job_id)
        since = known.since if known else now
        self._jobs[job.job_id] = Work(
            work_class=job.work_class, tenant=job.tenant, since=since, progress_s=event.progress_s
        )

    @observes(events.TaskAdopted)
    def _adopted(self, event: events.TaskAdopted, now: float) -> None:
        self._jobs[event.job.job_id] = Work(
            work_class=event.job.work_class,
            tenant=event.job.tenant,
            since=event.started_at,
            progress_s=event.progress_s,
            started_at=event.started_at,
        )

    @observes(commands.StartTask)
    def _placed(self, command: commands.StartTask, now: float) -> None:
        work = self._jobs.get(command.job_id)
        if work is None:
            return
        work.started_at = now
        if command.attempt == 1:
            self._measures.record_wait_time(
                work_class=work.work_class, tenant=work.tenant, seconds=now - work.since
            )

    @observes(events.TaskCheckpointed)
    def _saved(self, event: events.TaskCheckpointed, now: float) -> None:
        work = self._job_of(event.task_id)
        if work is not None:
            work.progress_s = event.progress_s
            work.started_at = now

    @observes(commands.EvictTask)
    def _evicted(self, command: commands.EvictTask, now: float) -> None:
        """Counts the work since the last checkpoint as lost, unless the eviction makes one."""
        work = self._job_of(command.task_id)
        if work is not None:
            redone_s = 0.0 if command.checkpoint else now - work.started_at
            self._measures.record_eviction(work_class=work.work_class, redone_s=redone_s)

    @observes(events.TaskFinished)
    def _finished(self, event: events.TaskFinished, now: float) -> None:
        work = self._jobs.pop(_job_id(event.task_id), None)
        if work is None:
            return
        self._measures.record_service_time(
            work_class=work.work_class, tenant=work.tenant, seconds=event.run_s
        )
        self._measures.record_total_time(
            work_class=work.work_class, tenant=work.tenant, seconds=now - work.since
        )

    @observes(events.TaskFailed)
    def _failed(self, event: events.TaskFailed, now: float) -> None:
        self._jobs.pop(_job_id(event.task_id), None)

    @observes(events.JobCancelled)
    def _cancelled(self, event: events.JobCancelled, now: float) -> None:
        self._jobs.pop(event.job_id, None)

    def _job_of(self, task_id: str) -> Work | None:
        return self._jobs.get(_job_id(task_id))


def _job_id(task_id: str) -> str:
    return task_id.rpartition("/")[0]
