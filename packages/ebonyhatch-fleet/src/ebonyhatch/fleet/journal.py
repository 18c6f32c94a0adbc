"""The owner's journal: progress of jobs, written in batches, each write fenced by the previous one."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import os
from collections.abc import Callable

import msgspec
from ebonyhatch.core import errors
from ebonyhatch.fleet import (
    clocks,
    decision_log,
    keys,
    ownership,
    progress,
    rows,
    store,
    supervision,
)
from ebonyhatch.node import coroutines
from returns import result

BATCH_DELAY_S = 0.1
"""Time for which changes are collected before they are written, seconds. It limits the journal to
ten writes a second, and ends are acknowledged well within the second that they may stay listed."""

MIN_WRITE_INTERVAL_S = 0.02
"""Minimum time between the starts of two writes, seconds, also of urgent ones."""

RETRY_DELAY_S = 0.1
"""Delay before a failed write is retried, seconds; doubles up to `MAX_RETRY_DELAY_S`."""

MAX_RETRY_DELAY_S = 0.5

MAX_RECORDS_PER_WRITE = store.TRANSACTION_LIMIT - 2
"""Maximum number of records in one write; the head takes a condition and a value."""

MAX_WRITE_BYTES = 64_000
"""Size from which no further record is added to a write, bytes: a fraction of a second on the
slowest links, which renewals of the lease share."""

MAX_LINK_SHARE = 0.25
"""Share of the instance's link that the journal uses, as far as `MAX_WRITE_DELAY_S` allows."""

MAX_WRITE_DELAY_S = 0.3
"""Longest delay of a write for the sake of the link, seconds: cancellations and ends wait for it."""

MAX_REMOVALS_PER_ROUND = 5
"""Maximum number of writes after a round that remove jobs."""

ENCODED_SIZE_RATIO = 4 / 3
"""Size of a value on the link relative to its own: stores encode values as text."""


class SupersededError(errors.EbonyhatchError):
    """Another entry has written to the journal: this one is no longer the owner."""

    def __init__(self, *, term: int) -> None:
        super().__init__(
            problem=f"another entry has written to the journal since the last write of term {term}",
            remedy="stop acting as the owner",
        )
        self.term = term


class _Outcome(enum.Enum):
    """Outcome of a write: the last stands for a journal that was closed meanwhile."""

    DURABLE = "durable"
    REJECTED = "rejected"
    CLOSED = "closed"


@dataclasses.dataclass(slots=True, kw_only=True)
class _Unwritten:
    """A record that has to be written.

    Attributes:
        round: Number of the first round that collected a change of it.
        row: Job whose progress it is; None for an auxiliary record.
        value: Value of an auxiliary record.
    """

    round: int
    row: rows.JobRow | None = None
    value: bytes = b""

    def encode(self) -> bytes:
        """Returns the value to write; that of a job is its progress at the time of the call."""
        return self.value if self.row is None else progress.encode(self.row)


class Journal:
    """Writes the progress of changed jobs, one write at a time.

    A write replaces the head, the key that identifies the last write, on condition that it has the
    revision of the previous write. So a write whose answer was lost can't take effect after a later
    one, and no write of an older owner can.

    Changes are collected in numbered rounds, each before a write. What doesn't fit into the write
    stays unwritten, so that an urgent change which arrives later is not held up by the rest of a
    large round. Ended jobs are written first, then the records that were collected first. A round
    is durable when no record that it or an earlier round collected is unwritten.

    The records of a write that the store rejects are written one at a time. A job whose progress is
    rejected then is handed to `on_rejected`, which has to end it; any other record is left out.
    """

    def __init__(
        self,
        *,
        store_port: store.Store,
        all_clocks: clocks.Clocks,
        term: int,
        head_revision: int,
        collect_changed: Callable[[], list[rows.JobRow]],
        collect_auxiliary_records: Callable[[], list[store.Put]],
        collect_expired: Callable[[], list[str]],
        on_removed: Callable[[list[str], int], None],
        on_durable: Callable[[list[tuple[rows.JobRow, rows.JobState]]], None],
        on_auxiliary_durable: Callable[[], None],
        on_rejected: Callable[[rows.JobRow], None],
        on_superseded: Callable[[str], None],
        link_bytes_per_s: float = 0.0,
        longest_lease_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Creates a journal.

        Args:
            store_port: The port to the store.
            all_clocks: Clocks of the process.
            term: Term of the owner.
            head_revision: Revision of the head that the takeover wrote.
            collect_changed: Returns the jobs that changed since its last call.
            collect_auxiliary_records: Returns the other records that changed since its last call.
            collect_expired: Returns ids of jobs to remove, no more than fit into one write.
            on_removed: Called with the ids of jobs whose records were removed, and the revision of
                their removal.
            on_durable: Called with the jobs of a durable write and their written states.
            on_auxiliary_durable: Called when all collected auxiliary records are durable.
            on_rejected: Called with a job whose progress the store never takes.
            on_superseded: Called with a reason when another entry has written.
            link_bytes_per_s: Bandwidth of the instance's link, bytes a second; 0 if unknown.
            longest_lease_s: Returns the longest lease of runs that may be in force, seconds, which
                the head tells the next owner.
        """
        self._store = store_port
        self._clocks = all_clocks
        self._link_bytes_per_s = link_bytes_per_s
        self._longest_lease_s = longest_lease_s
        self._next_write_at = 0.0
        self._term = term
        self._revision = head_revision
        self._collect_changed = collect_changed
        self._collect_auxiliary_records = collect_auxiliary_records
        self._collect_expired = collect_expired
        self._on_removed = on_removed
        self._on_durable = on_durable
        self._on_auxiliary_durable = on_auxiliary_durable
        self._on_rejected = on_rejected
        self._on_superseded = on_superseded
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._numbers = itertools.count(1)
        self._started_round = 0
        self._durable_round = 0
        self._unwritten: dict[str, _Unwritten] = {}
        self._unwritten_ends: dict[str, None] = {}
        self._written_alone: set[str] = set()
        self._unwritten_auxiliary: set[str] = set()
        self._auxiliary_postponed = False
        self._write_requested = False
        self._urgent = False
        self._writing = False
        self._closed = False

    @property
    def next_round(self) -> int:
        """Number of the round that will include a change made now."""
        return self._started_round + 1

    @property
    def durable_round(self) -> int:
        """Number of the last durable round."""
        return self._durable_round

    @property
    def idle(self) -> bool:
        """Whether no write is pending or in progress."""
        return not (self._write_requested or self._writing)

    def close(self) -> None:
        """Stops all writes."""
        self._closed = True
        self._group.close()

    def request_write(self, *, urgent: bool = False) -> None:
        """Requests a round; an urgent one starts without the batching delay."""
        if self._closed:
            return
        self._urgent = self._urgent or urgent
        if self._write_requested:
            if urgent and not self._writing:
                supervision.spawn(self._group, "journal", self._write_rounds)
            return
        self._write_requested = True
        if not self._writing:
            supervision.spawn(self._group, "journal", self._write_rounds)

    async def _write_rounds(self) -> None:
        if not self._urgent:
            await self._group.sleep(BATCH_DELAY_S)
        if self._writing or not self._write_requested:
            return
        self._writing = True
        try:
            while (self._write_requested or self._unwritten) and not self._closed:
                await self._write_next()
        finally:
            self._writing = False

    async def _write_next(self) -> None:
        """Collects what has changed and makes one write of what is unwritten."""
        await self._wait_for_link()
        if self._write_requested:
            self._collect()
        if self._unwritten and not await self._write_unwritten():
            return
        if not self._unwritten_auxiliary:
            self._write_requested = self._write_requested or self._auxiliary_postponed
            self._on_auxiliary_durable()
        durable_before = self._durable_round
        self._durable_round = self._started_round
        if self._unwritten:
            # The records stand in the order of their rounds.
            self._durable_round = next(iter(self._unwritten.values())).round - 1
        if self._durable_round > durable_before:
            await self._remove_expired()

    def _collect(self) -> None:
        self._write_requested = self._urgent = False
        self._started_round += 1
        for row in self._collect_changed():
            key = keys.progress(row.job.job_id)
            self._unwritten.setdefault(key, _Unwritten(round=self._started_round, row=row))
            if row.ended:
                self._unwritten_ends[key] = None
        # One set of auxiliary records at a time, so that new ones can't delay its end forever.
        self._auxiliary_postponed = bool(self._unwritten_auxiliary)
        if self._auxiliary_postponed:
            return
        for put in self._collect_auxiliary_records():
            self._unwritten[put.key] = _Unwritten(round=self._started_round, value=put.value)
            self._unwritten_auxiliary.add(put.key)

    async def _write_unwritten(self) -> bool:
        """Writes what fits into one write; returns whether it is durable."""
        puts = self._next_puts()
        written_rows = [self._unwritten[put.key].row for put in puts]
        states = [(row, row.state) for row in written_rows if row is not None]
        self._set_next_write_at(sum(len(put.value) for put in puts))
        outcome = await self._write(puts)
        if outcome is _Outcome.REJECTED:
            await self._separate(puts)
        if outcome is not _Outcome.DURABLE:
            return False
        for put in puts:
            self._drop(put.key)
        if states:
            self._on_durable(states)
        return True

    def _next_puts(self) -> list[store.Put]:
        """Returns the unwritten records that come next and fit into one write."""
        puts: list[store.Put] = []
        size_bytes = 0
        later = (key for key in self._unwritten if key not in self._unwritten_ends)
        for key in itertools.chain(self._unwritten_ends, later):
            alone = not self._written_alone.isdisjoint((key, puts[0].key if puts else key))
            full = len(puts) == MAX_RECORDS_PER_WRITE or size_bytes >= MAX_WRITE_BYTES
            if puts and (alone or full):
                break
            puts.append(store.Put(key=key, value=self._unwritten[key].encode()))
            size_bytes += len(puts[-1].value)
        return puts

    def _drop(self, key: str) -> None:
        del self._unwritten[key]
        self._unwritten_ends.pop(key, None)
        self._unwritten_auxiliary.discard(key)
        self._written_alone.discard(key)

    async def _separate(self, puts: list[store.Put]) -> None:
        """Finds the record for which a write was rejected, and keeps it from holding up the others."""
        if len(puts) > 1:
            self._written_alone.update(put.key for put in puts)
            return
        if await self._write([]) is not _Outcome.DURABLE:
            # The store rejects everything, so that the record isn't the reason.
            await self._group.sleep(MAX_RETRY_DELAY_S)
            return
        (put,) = puts
        row = self._unwritten[put.key].row
        decision_log.write("journal.record_rejected", key=put.key, bytes=len(put.value))
        if row is None or row.ended:
            self._drop(put.key)
            return
        # The record of an ended job is small. Until it is written, no end of the job is acknowledged.
        self._on_rejected(row)
        self._unwritten_ends[put.key] = None

    async def _wait_for_link(self) -> None:
        """Waits until the journal's share of the link allows the next write."""
        delay_s = self._next_write_at - self._clocks.now()
        if delay_s > 0:
            await self._group.sleep(delay_s)

    def _set_next_write_at(self, size_bytes: int) -> None:
        interval_s = MIN_WRITE_INTERVAL_S
        if self._link_bytes_per_s:
            link_bytes = size_bytes * ENCODED_SIZE_RATIO
            interval_s = max(interval_s, link_bytes / (self._link_bytes_per_s * MAX_LINK_SHARE))
        self._next_write_at = self._clocks.now() + min(interval_s, MAX_WRITE_DELAY_S)

    async def _remove_expired(self) -> None:
        """Removes jobs after their retention, as long as no urgent write is requested."""
        for _ in range(MAX_REMOVALS_PER_ROUND):
            expired = self._collect_expired()
            if not expired:
                return
            await self._remove_jobs(expired)
            if self._urgent:
                return

    async def _remove_jobs(self, job_ids: list[str]) -> None:
        """Removes all records of jobs, under the same condition as any other write."""
        if not job_ids:
            return
        removes = [key(job_id) for job_id in job_ids for key in keys.JOB_KEYS]
        if await self._write([], removes=tuple(removes)) is _Outcome.DURABLE:
            self._on_removed(job_ids, self._revision)

    async def _write(self, records: list[store.Put], removes: tuple[str, ...] = ()) -> _Outcome:
        """Retries a write until it is durable or rejected, or this entry is superseded."""
        head = ownership.Head(
            term=self._term,
            number=next(self._numbers),
            nonce=os.urandom(8).hex(),
            lease_s=self._longest_lease_s(),
        )
        puts = [store.Put(key=keys.HEAD, value=msgspec.json.encode(head)), *records]
        retry_delay_s = RETRY_DELAY_S
        while not self._closed:
            condition = store.Condition(key=keys.HEAD, revision=self._revision)
            outcome = await self._store.commit(
                conditions=(condition,), puts=tuple(puts), removes=removes
            )
            if isinstance(outcome, result.Success):
                self._revision = outcome.unwrap()
                return _Outcome.DURABLE
            error = outcome.failure()
            if isinstance(error, store.ConflictError):
                own = self._resolve_conflict(error, head)
                return _Outcome.DURABLE if own else _Outcome.CLOSED
            if isinstance(error, store.RejectedError):
                return _Outcome.REJECTED
            decision_log.write("journal.retry", number=head.number, reason=str(error))
            await self._group.sleep(retry_delay_s)
            retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
        return _Outcome.CLOSED

    def _resolve_conflict(self, error: store.ConflictError, head: ownership.Head) -> bool:
        """Returns whether the conflicting head is of this write, whose answer was lost.

        Otherwise another entry has written: the journal closes and reports that it is superseded.
        """
        value = msgspec.json.encode(head)
        for item in error.items:
            if item.key == keys.HEAD and item.value == value:
                self._revision = item.revision
                return True
        self._closed = True
        self._on_superseded(str(SupersededError(term=self._term)))
        return False
