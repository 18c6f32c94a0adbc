"""What a scheduler shows of itself to operators and metrics."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import resources


class WorkerView(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as the scheduler sees it.

    Attributes:
        worker_id: The worker.
        health: `healthy`, `overloaded`, `barred` or `leaving`.
        capacity: What it holds.
        reserved: What is reserved on it.
        load: Share of its processors in use, as last reported.
        load_age_s: Age of that report, seconds; None before the first.
    """

    worker_id: str
    health: str
    capacity: resources.Resources
    reserved: resources.Resources
    load: float = 0.0
    load_age_s: float | None = None


class QueueView(msgspec.Struct, frozen=True, kw_only=True):
    """Waiting work of one class."""

    work_class: str
    waiting: int
    oldest_s: float = 0.0


class ParkedView(msgspec.Struct, frozen=True, kw_only=True):
    """A job that no worker can hold today."""

    job_id: str
    reason: str


class SlowdownView(msgspec.Struct, frozen=True, kw_only=True):
    """Learnt slowdown of urgent work by one task of a batch class; 0 for none."""

    batch: str
    slowdown: float


class View(msgspec.Struct, frozen=True, kw_only=True):
    """The whole view of one scheduler.

    Attributes:
        workers: Every worker.
        queues: Classes with waiting work.
        parked: Parked jobs.
        reserve_slots: Slots that are kept for urgent work.
        crest: Whether demand is surging.
        retries_left: Second tries of requests that may be made now.
        slowdowns: Batch classes that were seen.
    """

    workers: tuple[WorkerView, ...] = ()
    queues: tuple[QueueView, ...] = ()
    parked: tuple[ParkedView, ...] = ()
    reserve_slots: int = 0
    crest: bool = False
    retries_left: float = 0.0
    slowdowns: tuple[SlowdownView, ...] = ()
