"""Journal of a cell: grouped writes to a ring of slots, snapshots, takeover by a seal.

A seal is an empty write that a new owner puts at the end of the log, so that older owners can't
append to it any more.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import msgspec
from ebonyhatch.core import errors, journal_entries
from ebonyhatch.node import (
    cell_state,
    confirmed_store,
    coroutines,
    journal_log,
    snapshots,
    store_values,
)
from ebonyhatch.ports import backoff, store, timing
from returns import result
from twisted.internet import defer

WRITE_INTERVAL_S = 0.1
"""Minimum time between two writes of one cell, seconds."""

MAX_WRITE_ENTRIES = 500
"""Maximum number of entries of one write; bounds the work that its commit does at once."""

MAX_WRITE_BYTES = 500_000
"""Maximum total size of the entries of one write, bytes; a single larger entry is still written."""

MAX_ENTRY_BYTES = 400_000
"""Maximum size of an entry, bytes."""

SNAPSHOT_INTERVAL_WRITES = 128
"""Number of writes after which the state is saved as a snapshot."""

SLOW_WRITE_TIMEOUT_S = 3.0
"""Time after which a write without an answer makes the journal unavailable, seconds."""

RESERVED_SEAL_SLOTS = 64
"""Slots of the ring that stay reserved for seals when snapshots lag."""


class UnavailableError(errors.EbonyhatchError):
    """An entry was certainly not written."""

    def __init__(self, *, cell: str, reason: str) -> None:
        super().__init__(
            problem=f"the journal of cell {cell} accepts no entries: {reason}",
            remedy="try again when the store answers",
        )
        self.cell = cell


class LostWriteError(errors.EbonyhatchError):
    """It is unknown whether an entry was written."""

    def __init__(self, *, cell: str) -> None:
        super().__init__(
            problem=f"the outcome of a write to the journal of cell {cell} is unknown",
            remedy="ask the cell's current owner",
        )
        self.cell = cell


class EntryTooLargeError(errors.EbonyhatchError):
    """An entry exceeds the size limit."""

    def __init__(self, *, size_bytes: int) -> None:
        super().__init__(
            problem=f"a journal entry has {size_bytes} bytes, the limit is {MAX_ENTRY_BYTES}",
            remedy="keep the payload elsewhere and submit a reference to it",
        )
        self.size_bytes = size_bytes


_JOURNAL_NUMBERS = itertools.count()
"""Numbers the journals of this process, so that two of one epoch share no nonce.

A nonce is unique to a write, by which an owner recognizes its own write when it reads it back.
"""

AppendOutcome = defer.Deferred[result.Result[None, errors.EbonyhatchError]]


class _Pending(msgspec.Struct, kw_only=True):
    entry: journal_entries.AnyEntry
    size_bytes: int
    droppable: bool
    outcome: AppendOutcome


class Journal:
    """Appends entries, and applies each to the state once it is durable."""

    def __init__(
        self,
        *,
        cell: str,
        epoch: int,
        writer: str,
        store_port: store.Store,
        clock: timing.Clock,
        seed: int,
        on_fault: Callable[[errors.EbonyhatchError], None],
    ) -> None:
        self._cell = cell
        self._writer = f"{writer}/{epoch}/{next(_JOURNAL_NUMBERS)}"
        self._clock = clock
        self._random = random.Random(f"{seed}/{cell}/{epoch}")
        self._on_fault = on_fault
        self._group = coroutines.CoroutineGroup(clock=clock)
        calls = confirmed_store.ConfirmedStore(
            store_port=store_port, group=self._group, generator=self._random
        )
        self._calls = calls
        self._log = journal_log.JournalLog(cell=cell, epoch=epoch, calls=calls)
        self._snapshots = snapshots.Snapshots(cell=cell, epoch=epoch, calls=calls)
        self._epoch = epoch
        self._state = cell_state.CellState()
        self._pending: list[_Pending] = []
        self._batch: list[_Pending] = []
        self._probing = False
        self._seq = 0
        self._writing = False
        self._saving_snapshot = False
        self._available = False
        self._fault: errors.EbonyhatchError | None = None
        self._idle_waiters: list[defer.Deferred[None]] = []

    @property
    def state(self) -> cell_state.CellState:
        """State after all durable entries."""
        return self._state

    @property
    def seq(self) -> int:
        """Number of the last durable write."""
        return self._seq

    @property
    def available(self) -> bool:
        """Whether entries can be written, as far as known.

        This ends when the store refuses a write or is slow to answer it, until the store answers
        again; an error that stops the journal ends it for good.
        """
        return self._available and self._fault is None

    async def recover(self) -> None:
        """Takes the journal over: reads and replays it, and fences older owners off.

        Raises:
            EbonyhatchError: When a newer owner exists or a value can't be read.
        """
        await self._snapshots.claim(nonce=self._nonce())
        body = await self._snapshots.load()
        try:
            self._state.restore(body)
        except msgspec.MsgspecError as error:
            key = snapshots.head_key(self._cell)
            raise store_values.CorruptValueError(key=key, reason=str(error)) from error
        self._seq, entries = await self._log.read_to_end(
            after=self._snapshots.seq, nonce=self._nonce()
        )
        for entry in entries:
            self._state.apply(entry)
        self._available = True
        self._save_snapshot_when_due()

    def append(self, entry: journal_entries.AnyEntry, *, droppable: bool = False) -> AppendOutcome:
        """Writes an entry; the Deferred fires once it is durable and applied to the state.

        Args:
            entry: The entry.
            droppable: Fail with `UnavailableError` while the store refuses writes, rather than
                keep the entry until writes are possible again.
        """
        size_bytes = len(msgspec.msgpack.encode(entry))
        if size_bytes > MAX_ENTRY_BYTES:
            return defer.succeed(result.Failure(EntryTooLargeError(size_bytes=size_bytes)))
        if self._fault is not None:
            return defer.succeed(result.Failure(self._fault))
        if droppable and not self.available:
            return defer.succeed(result.Failure(self._unavailable("the store does not answer")))
        outcome: AppendOutcome = defer.Deferred()
        self._pending.append(
            _Pending(entry=entry, size_bytes=size_bytes, droppable=droppable, outcome=outcome)
        )
        self._write_soon()
        return outcome

    def flushed(self) -> defer.Deferred[None]:
        """Fires once no entry is pending, or none can be written any more."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._idle_waiters.append(waiter)
        self._notify_idle()
        return waiter

    def close(self) -> None:
        """Stops writing and fails the entries that are still pending."""
        self._group.close()
        self._stop(self._fault or self._unavailable("the cell is closed"))

    def _write_soon(self) -> None:
        if not self._writing and self._pending and self._fault is None:
            self._writing = True
            self._group.spawn(self._write_all())

    async def _write_all(self) -> None:
        delays = backoff.Backoff(generator=self._random)
        try:
            await self._group.sleep(0)
            while self._pending:
                written = await self._write_batch()
                await self._group.sleep(WRITE_INTERVAL_S if written else delays.next_s())
                if written:
                    delays.reset()
        except errors.EbonyhatchError as error:
            self._stop(error)
        finally:
            self._writing = False
            self._notify_idle()

    async def _write_batch(self) -> bool:
        if self._seq - self._snapshots.seq >= journal_log.RING_SLOTS - RESERVED_SEAL_SLOTS:
            return False
        self._batch = batch = self._next_batch()
        slot = journal_log.Slot(
            seq=self._seq + 1,
            epoch=self._epoch,
            nonce=self._nonce(),
            entries=tuple(pending.entry for pending in batch),
        )
        self._watch_slow_write(slot.seq)
        write_outcome = await self._log.write(slot, fail_if_refused=True)
        if isinstance(write_outcome, confirmed_store.Superseded):
            self._fail_batch(
                certainly_unwritten=self._log.contains_write(write_outcome.stored, seq=slot.seq)
            )
            raise self._log.superseded_error(write_outcome.stored)
        self._batch = []
        if isinstance(write_outcome, confirmed_store.Refused):
            self._fail_droppable(batch, reason=write_outcome.reason)
            return False
        self._commit(slot.seq, batch)
        return True

    def _next_batch(self) -> list[_Pending]:
        size_bytes = 0
        for index, pending in enumerate(self._pending[:MAX_WRITE_ENTRIES]):
            size_bytes += pending.size_bytes
            if size_bytes > MAX_WRITE_BYTES:
                return self._split_pending(max(index, 1))
        return self._split_pending(MAX_WRITE_ENTRIES)

    def _split_pending(self, count: int) -> list[_Pending]:
        batch, self._pending = self._pending[:count], self._pending[count:]
        return batch

    def _commit(self, seq: int, batch: list[_Pending]) -> None:
        self._seq = seq
        self._available = True
        for pending in batch:
            self._state.apply(pending.entry)
        for pending in batch:
            pending.outcome.callback(result.Success(None))
        self._save_snapshot_when_due()

    def _fail_batch(self, *, certainly_unwritten: bool) -> None:
        batch, self._batch = self._batch, []
        lost = LostWriteError(cell=self._cell)
        error = self._unavailable("another owner writes to it") if certainly_unwritten else lost
        for pending in batch:
            pending.outcome.callback(result.Failure(error))

    def _fail_droppable(self, batch: list[_Pending], *, reason: str) -> None:
        self._mark_unavailable()
        unwritten = batch + self._pending
        self._pending = [pending for pending in unwritten if not pending.droppable]
        for pending in unwritten:
            if pending.droppable:
                pending.outcome.callback(result.Failure(self._unavailable(reason)))

    def _watch_slow_write(self, seq: int) -> None:
        async def check() -> None:
            await self._group.sleep(SLOW_WRITE_TIMEOUT_S)
            if self._seq < seq:
                self._mark_unavailable()

        self._group.spawn(check())

    def _mark_unavailable(self) -> None:
        self._available = False
        if not self._probing:
            self._probing = True
            self._group.spawn(self._probe())

    async def _probe(self) -> None:
        """Reads until the store answers, so that the journal is available again without a write."""
        await self._calls.pause()
        await self._calls.read(snapshots.head_key(self._cell))
        self._probing = False
        if not self._writing:
            self._available = True

    def _save_snapshot_when_due(self) -> None:
        due = self._seq - self._snapshots.seq >= SNAPSHOT_INTERVAL_WRITES
        if due and not self._saving_snapshot and self._fault is None:
            self._saving_snapshot = True
            self._group.spawn(self._save_snapshot())

    async def _save_snapshot(self) -> None:
        try:
            await self._snapshots.save(
                seq=self._seq, body=self._state.encode(), nonce=self._nonce()
            )
        except errors.EbonyhatchError as error:
            self._stop(error)
        finally:
            self._saving_snapshot = False

    def _stop(self, error: errors.EbonyhatchError) -> None:
        first = self._fault is None
        self._fault = self._fault or error
        self._fail_batch(certainly_unwritten=False)
        pending, self._pending = self._pending, []
        for entry in pending:
            entry.outcome.callback(result.Failure(self._fault))
        self._notify_idle()
        if first and not self._group.closed:
            self._on_fault(error)

    def _notify_idle(self) -> None:
        if (self._pending or self._writing) and self._fault is None:
            return
        waiters, self._idle_waiters = self._idle_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def _unavailable(self, reason: str) -> UnavailableError:
        return UnavailableError(cell=self._cell, reason=reason)

    def _nonce(self) -> str:
        return f"{self._writer}/{self._random.getrandbits(64):016x}"
