"""Typed commands that the scheduler issues to its node."""

from __future__ import annotations

import enum

import msgspec


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all commands."""


class Outcome(enum.StrEnum):
    """What is known of a request that got no answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class StartTask(Command, frozen=True, kw_only=True):
    """Starts an attempt of a job; the intent to start it is made durable first.

    `task_id` is `{job_id}/{attempt}`, which is unique as long as the job exists.
    """

    task_id: str
    job_id: str
    attempt: int
    worker_id: str


class CheckpointTask(Command, frozen=True, kw_only=True):
    """Saves a checkpoint of an attempt, which continues to run."""

    task_id: str
    worker_id: str


class ThrottleTask(Command, frozen=True, kw_only=True):
    """Limits an attempt to the fraction `share` of its speed; 1.0 is full speed."""

    task_id: str
    worker_id: str
    share: float


class EvictTask(Command, frozen=True, kw_only=True):
    """Stops an attempt and queues its job again.

    With `checkpoint`, a checkpoint is saved before the stop if the attempt supports it.
    """

    task_id: str
    worker_id: str
    checkpoint: bool


class StopTask(Command, frozen=True, kw_only=True):
    """Ends an attempt permanently because its job was canceled."""

    task_id: str
    worker_id: str


class ParkJob(Command, frozen=True, kw_only=True):
    """Parks a job for which no present worker of the cell is large enough.

    A parked job is set aside: it does not block other jobs, and operators can list it.
    """

    job_id: str
    reason: str


class SendRequest(Command, frozen=True, kw_only=True):
    """Sends a request to a worker, to be answered before `deadline_at`.

    `attempt` counts from 1; a second attempt is a retry or a hedge: a copy of a
    request whose first worker hangs.
    """

    request_id: str
    attempt: int
    worker_id: str
    deadline_at: float


class RefuseRequest(Command, frozen=True, kw_only=True):
    """Refuses a request and reports to the caller whether it may have run.

    Attributes:
        request_id: Id of the request.
        outcome: Whether the request is known not to have run.
        reason: Short machine-readable reason, e.g. `deadline`, `worker-refused`, `worker-lost`.
        retry_after_s: Time after which a retry is likely to be served, seconds.
    """

    request_id: str
    outcome: Outcome
    reason: str
    retry_after_s: float
