"""What entries answer, as far as the command line shows it; other fields are passed over."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import record_changes, record_faults, resources


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the answers."""


class Written(View, frozen=True, kw_only=True):
    """Records that were accepted."""

    generation: int
    changed: bool


class Checked(View, frozen=True, kw_only=True):
    """Records that would be accepted, and what they would change."""

    generation: int
    changes: record_changes.Changes
    notices: tuple[record_faults.Fault, ...] = ()


class Records(View, frozen=True, kw_only=True):
    """Records of a generation as they were written."""

    generation: int
    records: list[dict[str, object]]


class Past(View, frozen=True, kw_only=True):
    """A generation of the history."""

    generation: int
    written_at_s: float
    changed_records: int
    changes: record_changes.Changes


class History(View, frozen=True, kw_only=True):
    """The last generations, newest first."""

    generations: tuple[Past, ...]


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
    """What waits of one class."""

    work_class: str
    waiting: int
    oldest_s: float = 0.0


class Parked(View, frozen=True, kw_only=True):
    """A job that no worker can hold today."""

    job_id: str
    cell: str
    reason: str


class Peer(View, frozen=True, kw_only=True):
    """Another entry."""

    entry_id: str
    heard_s: float | None = None
    generation: int = 0
    draining: bool = False


class Store(View, frozen=True, kw_only=True):
    """The platform's key-value service."""

    reachable: bool
    age_s: float | None = None


class Status(View, frozen=True, kw_only=True):
    """An entry."""

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
    """Why a job or request waits, or where it went."""

    subject_id: str
    entry_id: str
    cell: str
    text: str


class Job(View, frozen=True, kw_only=True):
    """A job as its caller sees it; `result` is base64 text."""

    job_id: str
    state: str
    attempts: int = 0
    evictions: int = 0
    progress_s: float = 0.0
    result: str = ""
    reason: str = ""
