"""The configuration of this entry: in force within seconds everywhere, never reverting."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.core import configuration, record_faults, records
from ebonyhatch.node import (
    configuration_current,
    configuration_errors,
    configuration_head,
    configuration_watch,
    configuration_writes,
    coroutines,
)
from ebonyhatch.ports import store, timing
from returns import result
from twisted.internet import defer

PEERS_SETTLE_S = 2.0
"""How long a fresh entry waits for peers before it puts what it has read in force."""

START_LIMIT_S = 5.0
"""Longest start when neither the store nor a peer answers."""

WAITING_WRITES = 16
"""Most writes that wait at one entry."""

OnChange = configuration_current.OnChange
Past = configuration_head.Past
Written = configuration_writes.Written
ConfigurationError = configuration_errors.ConfigurationError
WrittenOutcome = defer.Deferred[result.Result[Written, ConfigurationError]]
HistoryOutcome = defer.Deferred[result.Result[tuple[Past, ...], ConfigurationError]]


class Configuration:
    """Keeps the newest accepted configuration in force and writes new ones.

    Args:
        store: The platform's store.
        clock: Tells time.
        seed: Seed of nonces and jitter; must differ between entries and between runs.
        on_change: Called with each configuration that comes in force.
        capacity: What the workers hold, or None while it isn't known.
    """

    def __init__(
        self,
        *,
        store: store.Store,
        clock: timing.Clock,
        seed: int,
        on_change: OnChange,
        capacity: Callable[[], records.Capacity | None] = lambda: None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._capacity = capacity
        self._generator = random.Random(seed)
        self._group = coroutines.CoroutineGroup(clock=clock)
        self._current = configuration_current.Current(clock=clock, on_change=on_change)
        self._watch = configuration_watch.Watch(
            store_port=store,
            current=self._current,
            group=self._group,
            clock=clock,
            generator=self._generator,
        )
        self._lock = defer.DeferredLock()
        self._writes: set[defer.Deferred[Any]] = set()

    @property
    def in_force(self) -> configuration.InForce:
        """What is in force."""
        return self._current.in_force

    @property
    def generation(self) -> int:
        """The newest generation that is known; 0 before the first."""
        return self._current.generation

    @property
    def head(self) -> bytes:
        """The encoded head of that generation, for peers; empty before the first."""
        return self._current.raw

    @property
    def encoded_records(self) -> bytes:
        """The records of that generation as operators wrote them, in canonical JSON."""
        head = self._current.head
        return b"[]" if head is None else bytes(head.records)

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed it; infinite before the first time."""
        return self._current.age_s

    @property
    def faults(self) -> tuple[record_faults.Fault, ...]:
        """What isn't understood, and what is wrong with the store's answers."""
        return self._current.faults

    def start(self) -> defer.Deferred[None]:
        """Begin to read and watch.

        Returns:
            Fires once the newest of what the store and the peers know is in force, or after
            `START_LIMIT_S` without either.
        """
        started: defer.Deferred[None] = defer.Deferred()
        self._current.hold()
        self._watch.start()
        self._group.spawn(self._settle(started))
        return started

    def close(self) -> None:
        """Stop watching; writes that are open end as unsettled."""
        self._group.close()
        for write in list(self._writes):
            write.cancel()

    def offer(self, *, generation: int, head: bytes) -> None:
        """Take what a peer knows.

        Args:
            generation: Generation at the peer.
            head: The peer's encoded head; empty if only the number was told.
        """
        if generation <= self._current.generation:
            return
        if head:
            self._current.take(head, source="a peer")
            self._watch.answered()
        self._watch.hint(generation)

    def check(self, *, records_json: bytes) -> records.ReadResult:
        """Validate a whole set of records without writing it."""
        return records.read(records_json, capacity=self._capacity())

    def write(self, *, records: bytes, expect: int | None) -> WrittenOutcome:
        """Validate a whole set of records and put it in force by one compare-and-swap.

        Args:
            records: JSON list of records.
            expect: Generation that must be in force; None for whichever is.

        Returns:
            The generation that holds the records, or the error. Writing what is in force
            already changes nothing, whatever `expect` says.
        """
        read = self.check(records_json=records)
        if not isinstance(read, result.Success):
            faults = read.failure().faults
            invalid = configuration_errors.InvalidRecordsError(faults=faults)
            return defer.succeed(result.Failure(invalid))
        if len(self._writes) >= WAITING_WRITES:
            busy = configuration_errors.BusyError(limit=WAITING_WRITES)
            return defer.succeed(result.Failure(busy))
        write = configuration_writes.Write(
            store_port=self._store,
            current=self._current,
            group=self._group,
            clock=self._clock,
            generator=self._generator,
            encoded=configuration_writes.encode(records),
            expect=expect,
        )
        return self._guarded(self._lock.run(lambda: defer.Deferred.fromCoroutine(write.run())))

    def history(self) -> HistoryOutcome:
        """List the last generations as the store holds them, newest first."""
        return self._guarded(defer.Deferred.fromCoroutine(self._history()))

    async def _settle(self, started: defer.Deferred[None]) -> None:
        try:
            await self._group.sleep(PEERS_SETTLE_S)
            self._watch.first_answer.addTimeout(
                START_LIMIT_S - PEERS_SETTLE_S, self._clock  # type: ignore[arg-type]
            )
            await self._watch.first_answer
        except defer.TimeoutError:
            pass
        finally:
            if not self._group.closed:
                self._current.release()
            started.callback(None)

    async def _history(self) -> result.Result[tuple[Past, ...], ConfigurationError]:
        read = await self._store.get(key=configuration_head.KEY)
        if not isinstance(read, result.Success):
            reason = str(read.failure())
            return result.Failure(configuration_errors.StoreUnavailableError(reason=reason))
        stored = read.unwrap()
        if stored.version != store.ABSENT:
            decoded = self._current.take(stored.value, source="the store")
            if not isinstance(decoded, result.Success):
                return result.Failure(decoded.failure())
        newest = self._current.head
        return result.Success(() if newest is None else newest.history[::-1])

    def _guarded(self, outcome: defer.Deferred[Any]) -> defer.Deferred[Any]:
        self._writes.add(outcome)

        def end(value: Any) -> Any:
            self._writes.discard(outcome)
            return value

        def cancelled(failure: Any) -> Any:
            failure.trap(defer.CancelledError)
            unsettled = configuration_errors.UnsettledError(reason="this entry is stopping")
            return result.Failure(unsettled)

        outcome.addBoth(end)
        outcome.addErrback(cancelled)
        return outcome
