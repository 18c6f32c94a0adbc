"""Responses of entries, with the fields that the command line uses; others are ignored."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import record_changes, record_faults, resources


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the responses."""


class WriteResult(View, frozen=True, kw_only=True):
    """Result of an accepted write of records."""

    generation: int
    changed: bool


class CheckResult(View, frozen=True, kw_only=True):
    """Result of a successful check: the changes that applying the records would make."""

    generation: int
    changes: record_changes.Changes
    notices: tuple[record_faults.Fault, ...] = ()


class Records(View, frozen=True, kw_only=True):
    """Records of a generation, as they were written."""

    generation: int
    records: list[dict[str, object]]


class GenerationSummary(View, frozen=True, kw_only=True):
    """One generation of the history."""

    generation: int
    written_at_s: float
    changed_records: int
    changes: record_changes.Changes


class History(View, frozen=True, kw_only=True):
    """The most recent generations, newest first."""

    generations: tuple[GenerationSummary, ...]


class Cell(View, frozen=True, kw_only=True):
    """A cell and its owner."""

    name: str
    owner: str
    epoch: int
    serving: bool
    fault: str = ""


class Worker(View, frozen=True, kw_only=True):
    """A worker that the entry owns."""

    worker_id: str
    cell: str
    health: str
    capacity: resources.Resources
    reserved: resources.Resources
    measured: resources.Resources | None = None
    measured_age_s: float | None = None


class Queue(View, frozen=True, kw_only=True):
    """Waiting requests and jobs of one class."""

    work_class: str
    waiting: int
    oldest_s: float = 0.0


class Parked(View, frozen=True, kw_only=True):
    """A job whose demand no worker can currently meet."""

    job_id: str
    cell: str
    reason: str


class Peer(View, frozen=True, kw_only=True):
    """Another entry; `heard_s` is the time since its last message."""

    entry_id: str
    heard_s: float | None = None
    generation: int = 0
    draining: bool = False


class Store(View, frozen=True, kw_only=True):
    """Status of the platform's key-value store; `age_s` is the time since its last response."""

    reachable: bool
    age_s: float | None = None


class Status(View, frozen=True, kw_only=True):
    """Status of an entry."""

    entry_id: str
    draining: bool
    generation: int
    store: Store
    configuration_age_s: float | None = None
    configuration_faults: tuple[record_faults.Fault, ...] = ()
    cells: tuple[Cell, ...] = ()
    workers: tuple[Worker, ...] = ()
    worker_count: int = 0
    queues: tuple[Queue, ...] = ()
    parked: tuple[Parked, ...] = ()
    parked_count: int = 0
    peers: tuple[Peer, ...] = ()
    warnings: tuple[str, ...] = ()


class Explanation(View, frozen=True, kw_only=True):
    """Why a job or request waits, or where it was placed."""

    subject_id: str
    entry_id: str
    cell: str
    text: str


class Job(View, frozen=True, kw_only=True):
    """A job as its caller sees it; `result` is encoded in base64."""

    job_id: str
    state: str
    attempts: int = 0
    evictions: int = 0
    progress_s: float = 0.0
    result: str = ""
    reason: str = ""
