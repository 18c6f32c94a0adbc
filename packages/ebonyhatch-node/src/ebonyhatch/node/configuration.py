"""Configuration of this entry: in force on all entries within seconds, and never reverted."""

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

PEER_WAIT_S = 2.0
"""Time that a started entry waits for peers before it puts the newest head in force, seconds."""

MAX_START_S = 5.0
"""Maximum duration of the start if neither the store nor a peer answers, seconds."""

MAX_WAITING_WRITES = 16
"""Maximum pending writes at one entry; pending history reads count toward it."""

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
        clock: Source of time and timers.
        seed: Seed of nonces and jitter; must differ between entries and between runs.
        on_change: Called with each configuration that comes into force.
        capacity: Returns the capacity of the workers, or None while it is unknown.
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
        """Configuration in force."""
        return self._current.in_force

    @property
    def generation(self) -> int:
        """Newest known generation; 0 before the first."""
        return self._current.generation

    @property
    def head(self) -> bytes:
        """Encoded head of the newest known generation, for peers; empty before the first."""
        return self._current.raw

    @property
    def encoded_records(self) -> bytes:
        """Records of the newest known generation as operators wrote them, in canonical JSON."""
        head = self._current.head
        return b"[]" if head is None else bytes(head.records)

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the configuration; infinite before the first."""
        return self._current.age_s

    @property
    def faults(self) -> tuple[record_faults.Fault, ...]:
        """Records that are not understood, and faults of the store's responses."""
        return self._current.faults

    def start(self) -> defer.Deferred[None]:
        """Starts to read and watch the configuration.

        Returns:
            Fires once the newest configuration known to the store and the peers is in force, or
            after `MAX_START_S` if neither answers.
        """
        started: defer.Deferred[None] = defer.Deferred()
        self._current.pause_publishing()
        self._watch.start()
        self._group.spawn(self._await_first_head(started))
        return started

    def close(self) -> None:
        """Stops watching; pending writes end with `UnsettledError`."""
        self._group.close()
        for write in list(self._writes):
            write.cancel()

    def offer(self, *, generation: int, head: bytes) -> None:
        """Applies a peer's configuration if it is newer.

        Args:
            generation: Generation at the peer.
            head: The peer's encoded head; empty if it reported only the number.
        """
        if generation <= self._current.generation:
            return
        if head:
            self._current.take(head, source="a peer")
            self._watch.record_answer()
        self._watch.request_reread(generation)

    def check(self, *, records_json: bytes) -> records.ReadResult:
        """Validates a complete set of records without writing it."""
        return records.read(records_json, capacity=self._capacity())

    def write(self, *, records: bytes, expect: int | None) -> WrittenOutcome:
        """Validates a complete set of records and puts it in force by one compare-and-swap.

        Args:
            records: JSON list of records.
            expect: Generation that must be in force; None for any.

        Returns:
            The generation that holds the records, or the error. Writing the records that are
            already in force changes nothing, regardless of `expect`.
        """
        read = self.check(records_json=records)
        if not isinstance(read, result.Success):
            faults = read.failure().faults
            invalid = configuration_errors.InvalidRecordsError(faults=faults)
            return defer.succeed(result.Failure(invalid))
        if len(self._writes) >= MAX_WAITING_WRITES:
            busy = configuration_errors.BusyError(limit=MAX_WAITING_WRITES)
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
        return self._tracked(self._lock.run(lambda: defer.Deferred.fromCoroutine(write.run())))

    def history(self) -> HistoryOutcome:
        """Returns the latest generations as the store holds them, newest first."""
        return self._tracked(defer.Deferred.fromCoroutine(self._history()))

    async def _await_first_head(self, started: defer.Deferred[None]) -> None:
        try:
            await self._group.sleep(PEER_WAIT_S)
            self._watch.first_answer.addTimeout(
                MAX_START_S - PEER_WAIT_S, self._clock  # type: ignore[arg-type]
            )
            await self._watch.first_answer
        except defer.TimeoutError:
            pass
        finally:
            if not self._group.closed:
                self._current.resume_publishing()
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

    def _tracked(self, outcome: defer.Deferred[Any]) -> defer.Deferred[Any]:
        self._writes.add(outcome)

        def end(value: Any) -> Any:
            self._writes.discard(outcome)
            return value

        def cancelled(failure: Any) -> Any:
            failure.trap(defer.CancelledError)
            unresolved = configuration_errors.UnsettledError(reason="this entry is stopping")
            return result.Failure(unresolved)

        outcome.addBoth(end)
        outcome.addErrback(cancelled)
        return outcome
