"""Typed commands that the scheduler gives to its node."""

from __future__ import annotations

import enum

import msgspec


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all commands."""


class Outcome(enum.StrEnum):
    """What is known of a request that got no answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class StartTask(Command, frozen=True, kw_only=True):
    """Start an attempt of a job; its intent is made durable first.

    `task_id` is `{job_id}/{attempt}`, unique for the life of the job.
    """

    task_id: str
    job_id: str
    attempt: int
    worker_id: str


class CheckpointTask(Command, frozen=True, kw_only=True):
    """Save the work of a running attempt; it goes on running."""

    task_id: str
    worker_id: str


class ThrottleTask(Command, frozen=True, kw_only=True):
    """Run an attempt at a share of its speed; 1.0 is full speed."""

    task_id: str
    worker_id: str
    share: float


class EvictTask(Command, frozen=True, kw_only=True):
    """Checkpoint an attempt if it can be, then stop it and queue its job again."""

    task_id: str
    worker_id: str
    checkpoint: bool


class StopTask(Command, frozen=True, kw_only=True):
    """End an attempt for good: its job was cancelled."""

    task_id: str
    worker_id: str


class ParkJob(Command, frozen=True, kw_only=True):
    """No worker of the cell can hold the job today; it blocks nobody and is shown to operators."""

    job_id: str
    reason: str


class SendRequest(Command, frozen=True, kw_only=True):
    """Send a request to a worker, to be answered before `deadline_at`.

    `attempt` counts from 1; a second attempt is a retry or a hedge.
    """

    request_id: str
    attempt: int
    worker_id: str
    deadline_at: float


class RefuseRequest(Command, frozen=True, kw_only=True):
    """Tell the caller that there is no answer, with the truth about whether it ran.

    Attributes:
        request_id: The request.
        outcome: Whether it certainly did not run.
        reason: Short machine-readable reason, e.g. `deadline`, `no-room`, `worker-lost`.
        retry_after_s: When a new try is likely to be served, seconds.
    """

    request_id: str
    outcome: Outcome
    reason: str
    retry_after_s: float
