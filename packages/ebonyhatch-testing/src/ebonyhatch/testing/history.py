"""Records of a run, as observed by callers, workers and operators."""

from __future__ import annotations

import enum

import msgspec
from ebonyhatch.core import resources


class HistoryEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all records of a history; `at` is the time of the run in seconds."""

    at: float


class CallerOutcome(enum.StrEnum):
    """Outcome of a call, as it was reported to the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestMade(HistoryEvent, frozen=True, kw_only=True):
    """A request that a caller sent to an entry."""

    request_id: str
    entry_id: str
    idempotent: bool
    key: str
    body: bytes


class RequestOutcome(HistoryEvent, frozen=True, kw_only=True):
    """The response or the outcome of a request that was reported to its caller.

    `told` is the outcome; `answered_id` is the request id that the response carries.
    """

    request_id: str
    told: CallerOutcome
    answered_id: str = ""
    body: bytes = b""
    reason: str = ""


class RequestRan(HistoryEvent, frozen=True, kw_only=True):
    """The start of a request on a worker."""

    request_id: str
    worker_id: str
    epoch: int


class SubmissionOutcome(HistoryEvent, frozen=True, kw_only=True):
    """The outcome of a submission that was reported to its caller.

    `accepted` means that the job is durable; `told` is the outcome.
    """

    job_id: str
    accepted: bool
    told: CallerOutcome


class JobCancelled(HistoryEvent, frozen=True, kw_only=True):
    """A caller's request to cancel a job."""

    job_id: str


class JobObserved(HistoryEvent, frozen=True, kw_only=True):
    """A change of the visible state of a job at the owner of its cell; empty: no such job."""

    job_id: str
    cell: str
    state: str
    attempts: int


class TaskRan(HistoryEvent, frozen=True, kw_only=True):
    """The start of an attempt on a worker."""

    task_id: str
    job_id: str
    worker_id: str
    epoch: int


class TaskEnded(HistoryEvent, frozen=True, kw_only=True):
    """The end of an attempt on a worker."""

    task_id: str
    job_id: str
    worker_id: str
    finished: bool


class TaskForgotten(HistoryEvent, frozen=True, kw_only=True):
    """The removal of a finished attempt from a worker's reports after its acknowledgment."""

    task_id: str
    job_id: str
    worker_id: str


class WorkerUsed(HistoryEvent, frozen=True, kw_only=True):
    """The highest use of a worker in a run, for each kind of resource by itself."""

    worker_id: str
    capacity: resources.Resources
    highest: resources.Resources


class WorkerLeaving(HistoryEvent, frozen=True, kw_only=True):
    """The first sign that a worker leaves: the instance list, its own report, or a refusal."""

    worker_id: str


class EntryClosing(HistoryEvent, frozen=True, kw_only=True):
    """The start of a planned stop of an entry."""

    entry_id: str


class EntryKilled(HistoryEvent, frozen=True, kw_only=True):
    """The end of an entry's process without notice."""

    entry_id: str


class ConfigurationAccepted(HistoryEvent, frozen=True, kw_only=True):
    """A generation whose acceptance was reported to an operator."""

    generation: int


class ConfigurationObserved(HistoryEvent, frozen=True, kw_only=True):
    """The generation in force on an entry.

    `reachable_s` is the time for which the entry had been able to learn of a newer generation.
    """

    entry_id: str
    generation: int
    reachable_s: float


class RunEnded(HistoryEvent, frozen=True, kw_only=True):
    """The end of the run, after a fault-free time that is long enough for all work to end."""


class History:
    """The records of a run, in order of time."""

    def __init__(self) -> None:
        self._records: list[HistoryEvent] = []

    @property
    def records(self) -> tuple[HistoryEvent, ...]:
        """All records, in order of time."""
        return tuple(self._records)

    def add(self, record: HistoryEvent) -> None:
        """Appends a record."""
        self._records.append(record)

    def of(self, kind: type[msgspec.Struct]) -> list:
        """Returns the records of one kind."""
        return [record for record in self._records if isinstance(record, kind)]
