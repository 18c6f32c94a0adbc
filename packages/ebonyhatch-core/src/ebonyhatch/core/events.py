"""Typed events that a node feeds to the scheduler; times are seconds on the scheduler's clock."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import entities, resources


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all events."""


class ClassesChanged(Event, frozen=True, kw_only=True):
    """The configuration in force changed; the sets are complete and replace the former ones."""

    classes: tuple[entities.WorkClass, ...]
    tenants: tuple[entities.Tenant, ...]


class WorkerJoined(Event, frozen=True, kw_only=True):
    """A worker may be placed on from now; also sent when its capacity changed."""

    worker_id: str
    failure_domain: str
    rack: str
    capacity: resources.Resources


class WorkerLeaving(Event, frozen=True, kw_only=True):
    """A worker must get nothing new; what runs there finishes or is checkpointed."""

    worker_id: str


class WorkerGone(Event, frozen=True, kw_only=True):
    """A worker is no longer owned or is lost; its attempts have ended or were settled."""

    worker_id: str


class TaskUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Measured use of one running task."""

    task_id: str
    usage: resources.Resources


class UsageReported(Event, frozen=True, kw_only=True):
    """A late sample of use on a worker, as it was at `sampled_at`."""

    worker_id: str
    sampled_at: float
    usage: resources.Resources
    tasks: tuple[TaskUsage, ...] = ()


class JobSubmitted(Event, frozen=True, kw_only=True):
    """A job whose record is durable awaits placement.

    Attributes:
        job: The job.
        attempts: Attempts that its journal has named so far.
        evictions: How often it was evicted so far.
        progress_s: Work kept in its last checkpoint, seconds.
    """

    job: entities.Job
    attempts: int = 0
    evictions: int = 0
    progress_s: float = 0.0


class JobCancelled(Event, frozen=True, kw_only=True):
    """A job is not wanted any more, wherever it is."""

    job_id: str


class TaskAdopted(Event, frozen=True, kw_only=True):
    """An attempt that already runs on a worker when its cell is taken over."""

    task_id: str
    job: entities.Job
    worker_id: str
    attempts: int
    evictions: int
    progress_s: float
    started_at: float


class TaskStarted(Event, frozen=True, kw_only=True):
    """The worker confirmed a start."""

    task_id: str


class TaskStartFailed(Event, frozen=True, kw_only=True):
    """The attempt certainly does not run: refused, failed at once, or never sent."""

    task_id: str
    reason: str


class TaskFinished(Event, frozen=True, kw_only=True):
    """The attempt ended well; `run_s` is its run time."""

    task_id: str
    run_s: float


class TaskFailed(Event, frozen=True, kw_only=True):
    """The attempt ended badly after it had started."""

    task_id: str
    reason: str
    run_s: float


class TaskCheckpointed(Event, frozen=True, kw_only=True):
    """A running attempt saved its work; `progress_s` seconds of it are kept."""

    task_id: str
    progress_s: float


class TaskStopped(Event, frozen=True, kw_only=True):
    """An attempt ended because it was told to stop; `progress_s` seconds of work are kept."""

    task_id: str
    progress_s: float


class TaskLost(Event, frozen=True, kw_only=True):
    """An attempt's lease ran out at the worker, or its worker is gone; it runs nowhere now."""

    task_id: str


class RequestArrived(Event, frozen=True, kw_only=True):
    """A request asks to be served by this cell."""

    request: entities.Request


class RequestAnswered(Event, frozen=True, kw_only=True):
    """The whole answer arrived; `service_s` runs from send to answer.

    Attributes:
        request_id: The request.
        worker_id: The worker that served it.
        service_s: Seconds from send to the last byte of the answer.
        failed: The service itself answered with an error of its own (5xx).
    """

    request_id: str
    worker_id: str
    service_s: float
    failed: bool = False


class RequestNotRun(Event, frozen=True, kw_only=True):
    """A sent request certainly did not run on the worker."""

    request_id: str
    worker_id: str


class RequestLost(Event, frozen=True, kw_only=True):
    """Nobody can tell whether a sent request ran on the worker."""

    request_id: str
    worker_id: str


class RequestWithdrawn(Event, frozen=True, kw_only=True):
    """The caller went away or the deadline passed while the request was queued or running."""

    request_id: str
