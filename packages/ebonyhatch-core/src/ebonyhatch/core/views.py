"""View of a scheduler's state for operators and metrics."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import resources


class WorkerView(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as the scheduler sees it.

    Attributes:
        worker_id: Id of the worker.
        health: `healthy`, `overloaded`, `barred` (quarantined) or `leaving`.
        capacity: Total amounts that can be reserved.
        reserved: Amounts that are reserved.
        load: Fraction of the processors in use, as last reported.
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
    """A job that no current worker is large enough for."""

    job_id: str
    reason: str


class SlowdownView(msgspec.Struct, frozen=True, kw_only=True):
    """Learned slowdown of urgent work by one task of a batch class; 0 for none."""

    batch: str
    slowdown: float


class View(msgspec.Struct, frozen=True, kw_only=True):
    """The whole view of one scheduler.

    Attributes:
        workers: All workers.
        queues: Classes with waiting work.
        parked: Parked jobs.
        reserve_slots: Slots of the workers reserved for urgent work.
        crest: Whether the demand of urgent work surges (the peak of a swing of load).
        retries_left: Number of retries of requests that may be sent now.
        slowdowns: Learned slowdown of each batch class.
    """

    workers: tuple[WorkerView, ...] = ()
    queues: tuple[QueueView, ...] = ()
    parked: tuple[ParkedView, ...] = ()
    reserve_slots: int = 0
    crest: bool = False
    retries_left: float = 0.0
    slowdowns: tuple[SlowdownView, ...] = ()
