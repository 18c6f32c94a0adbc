"""Typed events that a node passes to the scheduler; times are seconds on the scheduler's clock."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import entities, resources


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all events."""


class ClassesChanged(Event, frozen=True, kw_only=True):
    """The configuration in force changed; both sets are complete and replace the previous ones."""

    classes: tuple[entities.WorkClass, ...]
    tenants: tuple[entities.Tenant, ...]


class WorkerJoined(Event, frozen=True, kw_only=True):
    """A worker accepts work from now on; also sent when the capacity of a worker changed."""

    worker_id: str
    failure_domain: str
    rack: str
    capacity: resources.Resources


class WorkerLeaving(Event, frozen=True, kw_only=True):
    """A worker must get no new work; running work finishes or is checkpointed."""

    worker_id: str


class WorkerGone(Event, frozen=True, kw_only=True):
    """A worker is no longer owned or was lost; its attempts have ended or were resolved."""

    worker_id: str


class TaskUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Measured usage of one running task."""

    task_id: str
    usage: resources.Resources


class UsageReported(Event, frozen=True, kw_only=True):
    """A sample of the usage of a worker at `sampled_at`, which arrives some time after it."""

    worker_id: str
    sampled_at: float
    usage: resources.Resources
    tasks: tuple[TaskUsage, ...] = ()


class JobSubmitted(Event, frozen=True, kw_only=True):
    """A job whose journal entry is durable awaits placement.

    Attributes:
        job: The job.
        attempts: Number of attempts recorded in the journal so far.
        evictions: Number of evictions of the job so far.
        progress_s: Work saved in its last checkpoint, seconds.
    """

    job: entities.Job
    attempts: int = 0
    evictions: int = 0
    progress_s: float = 0.0


class JobCancelled(Event, frozen=True, kw_only=True):
    """A job was canceled, in whichever state it is."""

    job_id: str


class TaskAdopted(Event, frozen=True, kw_only=True):
    """An attempt was already running on a worker when its cell got a new owner."""

    task_id: str
    job: entities.Job
    worker_id: str
    attempts: int
    evictions: int
    progress_s: float
    started_at: float


class TaskStarted(Event, frozen=True, kw_only=True):
    """The worker confirmed the start of an attempt."""

    task_id: str


class TaskStartFailed(Event, frozen=True, kw_only=True):
    """The attempt is known not to run: it was refused, failed at once or was never sent."""

    task_id: str
    reason: str


class TaskFinished(Event, frozen=True, kw_only=True):
    """The attempt succeeded; `run_s` is its run time."""

    task_id: str
    run_s: float


class TaskFailed(Event, frozen=True, kw_only=True):
    """The attempt failed after it had started."""

    task_id: str
    reason: str
    run_s: float


class TaskCheckpointed(Event, frozen=True, kw_only=True):
    """A running attempt saved a checkpoint, which holds `progress_s` seconds of work."""

    task_id: str
    progress_s: float


class TaskStopped(Event, frozen=True, kw_only=True):
    """An attempt was stopped on request; `progress_s` seconds of its work are saved."""

    task_id: str
    progress_s: float


class TaskLost(Event, frozen=True, kw_only=True):
    """The lease of an attempt expired at the worker, or its worker was lost; it no longer runs."""

    task_id: str


class RequestArrived(Event, frozen=True, kw_only=True):
    """A request arrived that this cell is to serve."""

    request: entities.Request


class RequestAnswered(Event, frozen=True, kw_only=True):
    """The complete response to a request arrived.

    Attributes:
        request_id: Id of the request.
        worker_id: Worker that served the request.
        service_s: Time from sending the request to the last byte of the response, seconds.
        failed: Whether the service itself answered with a server error (5xx).
    """

    request_id: str
    worker_id: str
    service_s: float
    failed: bool = False


class RequestNotRun(Event, frozen=True, kw_only=True):
    """A request that was sent is known not to have run on the worker."""

    request_id: str
    worker_id: str


class RequestLost(Event, frozen=True, kw_only=True):
    """It is unknown whether a request that was sent ran on the worker."""

    request_id: str
    worker_id: str


class RequestWithdrawn(Event, frozen=True, kw_only=True):
    """The caller disconnected or the deadline passed while the request was queued or running."""

    request_id: str
