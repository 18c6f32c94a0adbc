"""What happened in a run, as callers, workers and operators saw it."""

from __future__ import annotations

import enum

import msgspec
from ebonyhatch.core import resources


class HistoryEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all records of a history; `at` is the time in seconds."""

    at: float


class CallerOutcome(enum.StrEnum):
    """What a caller was told."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestMade(HistoryEvent, frozen=True, kw_only=True):
    """A caller sent a request to an entry."""

    request_id: str
    entry_id: str
    idempotent: bool
    key: str
    body: bytes


class RequestOutcome(HistoryEvent, frozen=True, kw_only=True):
    """A caller got the answer of a request, or was told of its outcome."""

    request_id: str
    told: CallerOutcome
    answered_id: str = ""
    body: bytes = b""
    reason: str = ""


class RequestRan(HistoryEvent, frozen=True, kw_only=True):
    """A worker ran a request."""

    request_id: str
    worker_id: str
    epoch: int


class SubmissionOutcome(HistoryEvent, frozen=True, kw_only=True):
    """A caller was told of a submission; `accepted` means that it is durable."""

    job_id: str
    accepted: bool
    told: CallerOutcome


class JobCancelled(HistoryEvent, frozen=True, kw_only=True):
    """A caller asked to cancel a job."""

    job_id: str


class JobObserved(HistoryEvent, frozen=True, kw_only=True):
    """The owner of a job's cell showed another state of it than before; empty: no such job."""

    job_id: str
    cell: str
    state: str
    attempts: int


class TaskRan(HistoryEvent, frozen=True, kw_only=True):
    """A worker started an attempt."""

    task_id: str
    job_id: str
    worker_id: str
    epoch: int


class TaskEnded(HistoryEvent, frozen=True, kw_only=True):
    """An attempt doesn't run any more on a worker."""

    task_id: str
    job_id: str
    worker_id: str
    finished: bool


class TaskForgotten(HistoryEvent, frozen=True, kw_only=True):
    """A worker forgot an attempt that had finished, since its owner allowed it."""

    task_id: str
    job_id: str
    worker_id: str


class WorkerUsed(HistoryEvent, frozen=True, kw_only=True):
    """The highest use of a worker in a run, in each kind by itself."""

    worker_id: str
    capacity: resources.Resources
    highest: resources.Resources


class WorkerLeaving(HistoryEvent, frozen=True, kw_only=True):
    """The first sign that a worker leaves: the list, its own word, or a refusal."""

    worker_id: str


class EntryClosing(HistoryEvent, frozen=True, kw_only=True):
    """A planned stop of an entry began."""

    entry_id: str


class EntryKilled(HistoryEvent, frozen=True, kw_only=True):
    """An entry ended without notice."""

    entry_id: str


class ConfigurationAccepted(HistoryEvent, frozen=True, kw_only=True):
    """An operator was told that a generation is accepted."""

    generation: int


class ConfigurationObserved(HistoryEvent, frozen=True, kw_only=True):
    """The generation in force on an entry, and how long it could reach the store."""

    entry_id: str
    generation: int
    reachable_s: float


class RunEnded(HistoryEvent, frozen=True, kw_only=True):
    """The run ended, after a time without faults that is long enough for all work."""


class History:
    """Records in order of time."""

    def __init__(self) -> None:
        self._records: list[HistoryEvent] = []

    @property
    def records(self) -> tuple[HistoryEvent, ...]:
        """All records."""
        return tuple(self._records)

    def add(self, record: HistoryEvent) -> None:
        """Add a record."""
        self._records.append(record)

    def of(self, kind: type[msgspec.Struct]) -> list:
        """Records of one kind."""
        return [record for record in self._records if isinstance(record, kind)]
