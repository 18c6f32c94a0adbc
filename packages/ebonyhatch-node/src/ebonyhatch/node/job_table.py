"""Table of the jobs of a cell, built by replaying the entries of its journal.

A job that can't run here may move: it is offered to another cell, passed once that cell has
accepted it, and settled once that cell knows that the pass is durable.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from ebonyhatch.core import job_machine, journal_entries

MAX_ENDED_JOBS = 2000
"""Maximum number of ended jobs that a cell keeps; the oldest are evicted first."""

MAX_PASSED_JOBS = 20_000
"""Maximum number of jobs passed to other cells that a cell keeps; the oldest are evicted first."""

MAX_RESULTS_BYTES = 10_000_000
"""Maximum total size of the results that a cell keeps, bytes; the oldest are evicted first."""

Handler = Callable[[job_machine.JobRow, Any], None]
_HANDLERS: dict[type, tuple[str, Handler]] = {}


def applies(entry_type: type, *, step: str) -> Callable[[Handler], Handler]:
    """Registers the handler that changes a row when `step` of an entry type is allowed."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[entry_type] = (step, handler)
        return handler

    return register


class JobTable:
    """Rows by job id; only a committed entry changes a row."""

    def __init__(self, *, max_ended: int = MAX_ENDED_JOBS) -> None:
        self._rows: dict[str, job_machine.JobRow] = {}
        self._ended: collections.deque[str] = collections.deque()
        self._max_ended = max_ended
        self._result_bytes = 0
        self._payload_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._by_worker: dict[str, dict[str, None]] = {}
        self._waiting: dict[str, None] = {}
        self._moving: dict[str, None] = {}
        self._passed: collections.deque[str] = collections.deque()

    @property
    def counts(self) -> dict[str, int]:
        """Number of jobs by state."""
        return {state: count for state, count in self._counts.items() if count}

    @property
    def payload_bytes(self) -> int:
        """Total size of the payloads of jobs that have not ended, bytes."""
        return self._payload_bytes

    def get(self, job_id: str) -> job_machine.JobRow | None:
        """Returns the row of a job, or None."""
        return self._rows.get(job_id)

    def rows(self) -> Iterable[job_machine.JobRow]:
        """Returns all rows, in order of submission."""
        return self._rows.values()

    def waiting(self) -> list[job_machine.JobRow]:
        """Returns the rows that wait, in the order in which they started to wait."""
        return [self._rows[job_id] for job_id in self._waiting]

    def moving(self) -> list[job_machine.JobRow]:
        """Returns the rows that are offered, or passed and not settled."""
        return [self._rows[job_id] for job_id in self._moving]

    def of_task(self, task_id: str) -> job_machine.JobRow | None:
        """Returns the row whose last attempt is `task_id` and may still run, or None."""
        row = self._rows.get(task_id.rpartition("/")[0])
        if row is None or row.task_id != task_id or row.state not in job_machine.ATTEMPTING:
            return None
        return row

    def waiting_after(self, task_id: str) -> job_machine.JobRow | None:
        """Returns the waiting row whose last attempt is `task_id`; its result may still arrive."""
        row = self._rows.get(task_id.rpartition("/")[0])
        if row is None or row.task_id != task_id or row.state not in job_machine.WAITING:
            return None
        return row

    def attempts_on(self, worker_id: str) -> list[job_machine.JobRow]:
        """Returns the rows whose last attempt may be running on a worker."""
        return [self._rows[job_id] for job_id in self._by_worker.get(worker_id, ())]

    def apply(self, entry: journal_entries.Entry) -> bool:
        """Applies an entry to the row that it names.

        Returns:
            Whether the entry was allowed; a late one of an older attempt changes nothing.
        """
        if isinstance(entry, journal_entries.JobSubmitted):
            return self._submit(entry)
        if isinstance(entry, journal_entries.OriginReleased):
            return self._release(entry)
        step, handler = _HANDLERS[type(entry)]
        row = self._rows.get(entry.job_id)  # type: ignore[attr-defined]
        if row is None or not _names_valid_attempt(row, entry):
            return False
        state = job_machine.advance(row.state, step)
        if state is None:
            return False
        handler(row, entry)
        self._change_state(row, state)
        return True

    def restore(self, rows: Iterable[job_machine.JobRow]) -> None:
        """Adds the rows of a snapshot."""
        for row in rows:
            self._rows[row.job.job_id] = row
            self._counts[row.state] += 1
            self._payload_bytes += len(row.job.payload)
            self._index(row)
            if row.state in job_machine.ENDED:
                self._retain_ended(row)
            if row.state is job_machine.JobState.PASSED:
                self._passed.append(row.job.job_id)

    def _submit(self, entry: journal_entries.JobSubmitted) -> bool:
        if entry.job.job_id in self._rows:
            return False
        row = job_machine.JobRow(job=entry.job, origin=entry.origin, guest=bool(entry.origin))
        self._rows[entry.job.job_id] = row
        self._counts[row.state] += 1
        self._index(row)
        self._payload_bytes += len(row.job.payload)
        return True

    def _release(self, entry: journal_entries.OriginReleased) -> bool:
        row = self._rows.get(entry.job_id)
        if row is None or not row.origin:
            return False
        row.origin = ""
        return True

    def _change_state(self, row: job_machine.JobRow, state: job_machine.JobState) -> None:
        self._counts[row.state] -= 1
        self._counts[state] += 1
        row.state = state
        self._index(row)
        if state in job_machine.ENDED:
            self._payload_bytes -= len(row.job.payload)
            row.job = msgspec.structs.replace(row.job, payload=b"")
            self._retain_ended(row)
            self._evict_ended()
        if state is job_machine.JobState.PASSED and row.settled:
            self._payload_bytes -= len(row.job.payload)
            row.job = msgspec.structs.replace(row.job, payload=b"")
            self._passed.append(row.job.job_id)
            self._evict_passed()

    def _retain_ended(self, row: job_machine.JobRow) -> None:
        self._ended.append(row.job.job_id)
        self._result_bytes += len(row.result)

    def _index(self, row: job_machine.JobRow) -> None:
        job_id = row.job.job_id
        _set_member(self._waiting, job_id, row.state in job_machine.WAITING)
        _set_member(self._moving, job_id, row.state in job_machine.MOVING and not row.settled)
        if row.state in job_machine.ATTEMPTING:
            self._by_worker.setdefault(row.worker_id, {})[row.job.job_id] = None
            return
        jobs = self._by_worker.get(row.worker_id, {})
        jobs.pop(row.job.job_id, None)
        if not jobs:
            self._by_worker.pop(row.worker_id, None)

    def _evict_ended(self) -> None:
        """Evicts the oldest ended jobs; one whose origin cell may ask again moves to the end."""
        for _ in range(len(self._ended)):
            if len(self._ended) <= self._max_ended and self._result_bytes <= MAX_RESULTS_BYTES:
                return
            job_id = self._ended.popleft()
            if self._rows[job_id].origin:
                self._ended.append(job_id)
                continue
            row = self._rows.pop(job_id)
            self._counts[row.state] -= 1
            self._result_bytes -= len(row.result)

    def _evict_passed(self) -> None:
        while len(self._passed) > MAX_PASSED_JOBS:
            row = self._rows.pop(self._passed.popleft())
            self._counts[row.state] -= 1


def _set_member(members: dict[str, None], job_id: str, present: bool) -> None:
    if present:
        members.setdefault(job_id)
    else:
        members.pop(job_id, None)


def _names_valid_attempt(row: job_machine.JobRow, entry: Any) -> bool:
    if isinstance(entry, journal_entries.AttemptIntended):
        return entry.attempt > row.attempts
    attempt = getattr(entry, "attempt", None)
    return attempt is None or attempt == row.attempts


@applies(journal_entries.AttemptIntended, step="intend")
def _intend(row: job_machine.JobRow, entry: journal_entries.AttemptIntended) -> None:
    row.attempts = entry.attempt
    row.worker_id = entry.worker_id
    row.reason = ""


@applies(journal_entries.AttemptStarted, step="start")
def _start(row: job_machine.JobRow, entry: journal_entries.AttemptStarted) -> None:
    pass


@applies(journal_entries.AttemptWithdrawn, step="requeue")
def _withdraw(row: job_machine.JobRow, entry: journal_entries.AttemptWithdrawn) -> None:
    row.reason = entry.reason


@applies(journal_entries.AttemptCheckpointed, step="checkpoint")
def _checkpoint(row: job_machine.JobRow, entry: journal_entries.AttemptCheckpointed) -> None:
    row.checkpoint = entry.checkpoint
    row.progress_s = entry.progress_s


@applies(journal_entries.AttemptEvicted, step="requeue")
def _evict(row: job_machine.JobRow, entry: journal_entries.AttemptEvicted) -> None:
    row.evictions += 1
    if entry.checkpoint:
        row.checkpoint = entry.checkpoint
        row.progress_s = entry.progress_s


@applies(journal_entries.AttemptLost, step="requeue")
def _lose(row: job_machine.JobRow, entry: journal_entries.AttemptLost) -> None:
    pass


@applies(journal_entries.AttemptFailed, step="requeue")
def _fail_attempt(row: job_machine.JobRow, entry: journal_entries.AttemptFailed) -> None:
    row.failures += 1
    row.reason = entry.reason


@applies(journal_entries.JobFinished, step="finish")
def _finish(row: job_machine.JobRow, entry: journal_entries.JobFinished) -> None:
    row.result = entry.result
    row.reason = entry.reason


@applies(journal_entries.JobFailed, step="fail")
def _fail(row: job_machine.JobRow, entry: journal_entries.JobFailed) -> None:
    row.reason = entry.reason


@applies(journal_entries.JobCancelled, step="cancel")
def _cancel(row: job_machine.JobRow, entry: journal_entries.JobCancelled) -> None:
    pass


@applies(journal_entries.JobParked, step="park")
def _park(row: job_machine.JobRow, entry: journal_entries.JobParked) -> None:
    row.reason = entry.reason


@applies(journal_entries.JobOffered, step="offer")
def _offer(row: job_machine.JobRow, entry: journal_entries.JobOffered) -> None:
    row.cell = entry.cell


@applies(journal_entries.OfferWithdrawn, step="withdraw")
def _withdraw_offer(row: job_machine.JobRow, entry: journal_entries.OfferWithdrawn) -> None:
    row.cell = ""


@applies(journal_entries.JobPassed, step="give")
def _pass(row: job_machine.JobRow, entry: journal_entries.JobPassed) -> None:
    row.reason = ""


@applies(journal_entries.PassSettled, step="settle")
def _settle_pass(row: job_machine.JobRow, entry: journal_entries.PassSettled) -> None:
    row.settled = True
