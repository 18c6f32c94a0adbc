"""View of a running entry for the administration API; the daemon implements it.

The docstrings of the structs, except `EntryStatus`, are published in openapi.json.
"""

from __future__ import annotations

import abc
from collections.abc import Awaitable

import msgspec
from ebonyhatch.core import resources

MAX_ROWS = 1_000
"""Maximum rows of each list in a status; separate fields hold the total counts."""


class CellStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A cell and its owner.

    Attributes:
        name: The cell.
        owner: Entry that owns it; empty if none does.
        epoch: Epoch of the ownership.
        serving: Whether this entry owns it and its takeover is done.
        fault: Why it is owned here and doesn't serve; empty if it does.
    """

    name: str
    owner: str
    epoch: int
    serving: bool
    fault: str = ""


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A worker that this entry owns.

    Attributes:
        worker_id: The worker.
        cell: Its cell.
        health: E.g. `healthy`, `probation`, `quarantine`, `leaving`.
        capacity: What it holds.
        reserved: What is reserved on it.
        measured: What it last reported, late; None before the first report.
        measured_age_s: Age of that report, seconds.
    """

    worker_id: str
    cell: str
    health: str
    capacity: resources.Resources
    reserved: resources.Resources
    measured: resources.Resources | None = None
    measured_age_s: float | None = None


class QueueStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What waits of one class at this entry.

    Attributes:
        work_class: The class.
        waiting: How many wait.
        oldest_s: How long the oldest has waited, seconds.
    """

    work_class: str
    waiting: int
    oldest_s: float = 0.0


class ParkedJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job that no worker can hold today, and why."""

    job_id: str
    cell: str
    reason: str


class StoreStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's key-value service as this entry sees it.

    Attributes:
        reachable: Whether the last call was answered.
        age_s: Seconds since the last answer; None before the first.
    """

    reachable: bool
    age_s: float | None = None


class PeerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Another entry as this one sees it.

    Attributes:
        entry_id: The entry.
        heard_s: Seconds since it was last heard; None if never.
        generation: Configuration generation that it last told.
        draining: Whether it is stopping.
    """

    entry_id: str
    heard_s: float | None = None
    generation: int = 0
    draining: bool = False


class EntryStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one entry; each list has at most `MAX_ROWS` rows.

    Attributes:
        entry_id: Id of this entry.
        draining: Whether it is stopping.
        store: State of the store as seen by this entry.
        cells: All known cells.
        workers: Workers that this entry owns.
        worker_count: Total number of those workers.
        queues: Waiting work by class.
        parked: Jobs that are parked at this entry.
        parked_count: Total number of parked jobs.
        peers: The other entries.
        warnings: Faults that an operator should correct, e.g. missing keys.
    """

    entry_id: str
    draining: bool
    store: StoreStatus
    cells: tuple[CellStatus, ...] = ()
    workers: tuple[WorkerStatus, ...] = ()
    worker_count: int = 0
    queues: tuple[QueueStatus, ...] = ()
    parked: tuple[ParkedJob, ...] = ()
    parked_count: int = 0
    peers: tuple[PeerStatus, ...] = ()
    warnings: tuple[str, ...] = ()


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Why a job or request waits, or where it went.

    Attributes:
        subject_id: Id of the job, attempt or request.
        entry_id: Entry that knows it.
        cell: Cell that holds it; empty if none does.
        text: One sentence.
    """

    subject_id: str
    entry_id: str
    cell: str
    text: str


class AdminView(abc.ABC):
    """Read-only view of a running entry; it has no call that places, moves or ends work."""

    @abc.abstractmethod
    def status(self) -> EntryStatus:
        """Returns the current status of the entry."""

    @abc.abstractmethod
    def explain(self, *, subject_id: str) -> Awaitable[Explanation | None]:
        """Returns the explanation of a job, attempt or request; None if no entry knows it."""
