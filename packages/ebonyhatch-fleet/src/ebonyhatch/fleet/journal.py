"""The owner's journal: progress of jobs, written in batches, each write fenced by the previous one."""

from __future__ import annotations

import itertools
import os
from collections.abc import Callable, Iterator

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


class Journal:
    """Writes the progress of changed jobs, one write at a time.

    A write replaces the head, the key that identifies the last write, on condition that it has the
    revision of the previous write. So a write whose answer was lost can't take effect after a later
    one, and no write of an older owner can. Writes are grouped into numbered rounds; a round covers
    all changes that were pending at its start.
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
        on_removed: Callable[[list[str]], None],
        on_durable: Callable[[list[tuple[rows.JobRow, rows.JobState]]], None],
        on_superseded: Callable[[str], None],
        link_bytes_per_s: float = 0.0,
    ) -> None:
        self._store = store_port
        self._clocks = all_clocks
        self._link_bytes_per_s = link_bytes_per_s
        self._next_write_at = 0.0
        self._term = term
        self._revision = head_revision
        self._collect_changed = collect_changed
        self._collect_auxiliary_records = collect_auxiliary_records
        self._collect_expired = collect_expired
        self._on_removed = on_removed
        self._on_durable = on_durable
        self._on_superseded = on_superseded
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._numbers = itertools.count(1)
        self._started_round = 0
        self._durable_round = 0
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
                self._group.spawn(self._write_rounds())
            return
        self._write_requested = True
        if not self._writing:
            self._group.spawn(self._write_rounds())

    async def _write_rounds(self) -> None:
        if not self._urgent:
            await self._group.sleep(BATCH_DELAY_S)
        if self._writing or not self._write_requested:
            return
        self._writing = True
        try:
            while self._write_requested and not self._closed:
                await self._write_round()
        finally:
            self._writing = False

    async def _write_round(self) -> None:
        self._write_requested = self._urgent = False
        self._started_round += 1
        number = self._started_round
        changed = self._collect_changed()
        states = [(row, row.state) for row in changed]
        records = [
            store.Put(key=keys.progress(row.job.job_id), value=progress.encode(row))
            for row in changed
        ]
        records += self._collect_auxiliary_records()
        for puts in _batches(records):
            if not await self._write_paced(puts):
                return
        self._durable_round = number
        self._on_durable(states)
        for _ in range(MAX_REMOVALS_PER_ROUND):
            expired = self._collect_expired()
            if not expired:
                return
            await self._remove_jobs(expired)

    async def _write_paced(self, puts: list[store.Put]) -> bool:
        """Writes records once the journal's share of the link allows it."""
        delay_s = self._next_write_at - self._clocks.now()
        if delay_s > 0:
            await self._group.sleep(delay_s)
        interval_s = MIN_WRITE_INTERVAL_S
        if self._link_bytes_per_s:
            size_bytes = sum(len(put.value) for put in puts) * ENCODED_SIZE_RATIO
            interval_s = max(interval_s, size_bytes / (self._link_bytes_per_s * MAX_LINK_SHARE))
        self._next_write_at = self._clocks.now() + min(interval_s, MAX_WRITE_DELAY_S)
        return await self._write(puts)

    async def _remove_jobs(self, job_ids: list[str]) -> None:
        """Removes all records of jobs, under the same condition as any other write."""
        if not job_ids:
            return
        removes = [key(job_id) for job_id in job_ids for key in keys.JOB_KEYS]
        if await self._write([], removes=tuple(removes)):
            self._on_removed(job_ids)

    async def _write(self, records: list[store.Put], removes: tuple[str, ...] = ()) -> bool:
        """Retries a write until it is durable or this entry is superseded; returns whether durable."""
        head = ownership.Head(
            term=self._term, number=next(self._numbers), nonce=os.urandom(8).hex()
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
                return True
            error = outcome.failure()
            if isinstance(error, store.ConflictError):
                return self._resolve_conflict(error, head)
            decision_log.write("journal.retry", number=head.number, reason=str(error))
            await self._group.sleep(retry_delay_s)
            retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
        return False

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


def _batches(records: list[store.Put]) -> Iterator[list[store.Put]]:
    """Splits the records of a round into writes, by the limits of their number and their size."""
    batch: list[store.Put] = []
    size_bytes = 0
    for record in records:
        if batch and (len(batch) == MAX_RECORDS_PER_WRITE or size_bytes >= MAX_WRITE_BYTES):
            yield batch
            batch, size_bytes = [], 0
        batch.append(record)
        size_bytes += len(record.value)
    if batch:
        yield batch
