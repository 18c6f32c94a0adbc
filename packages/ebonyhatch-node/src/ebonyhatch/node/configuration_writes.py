"""Writes of the configuration: one compare-and-swap each, with lost responses resolved."""

from __future__ import annotations

import random

import msgspec
from ebonyhatch.core import record_changes, records
from ebonyhatch.node import (
    configuration_current,
    configuration_errors,
    configuration_head,
    coroutines,
)
from ebonyhatch.ports import backoff, store, timing
from returns import result

MAX_ROUNDS = 10
"""Maximum rounds of read and compare-and-swap for one write."""

NONCE_BITS = 96


class Written(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted write.

    Attributes:
        generation: Generation that holds the records.
        changed: False if the records were already in force.
    """

    generation: int
    changed: bool


Outcome = result.Result[Written, configuration_errors.ConfigurationError]


class Write:
    """One write of a validated set of records.

    Args:
        store_port: The store.
        current: Newest configuration known to this entry.
        group: Coroutine group in which the write sleeps between rounds.
        clock: Source of time.
        generator: Source of the nonce and of jitter.
        encoded: The records in canonical JSON.
        expect: Generation that must be in force; None for any.
    """

    def __init__(
        self,
        *,
        store_port: store.Store,
        current: configuration_current.Current,
        group: coroutines.CoroutineGroup,
        clock: timing.Clock,
        generator: random.Random,
        encoded: bytes,
        expect: int | None,
    ) -> None:
        self._store = store_port
        self._current = current
        self._group = group
        self._clock = clock
        self._delays = backoff.Backoff(generator=generator)
        self._nonce = f"{generator.getrandbits(NONCE_BITS):024x}"
        self._encoded = encoded
        self._expect = expect
        self._min_version = store.ABSENT
        self._maybe_written = False
        self._reason = ""
        self._error: configuration_errors.ConfigurationError | None = None

    async def run(self) -> Outcome:
        """Repeats rounds until the outcome is certain or `MAX_ROUNDS` is reached."""
        for _ in range(MAX_ROUNDS):
            outcome = await self._round()
            if outcome is not None:
                return outcome
            await self._group.sleep(self._delays.next_s())
        if self._maybe_written:
            return result.Failure(configuration_errors.UnsettledError(reason=self._reason))
        error = self._error or configuration_errors.StoreUnavailableError(reason=self._reason)
        return result.Failure(error)

    async def _round(self) -> Outcome | None:
        read = await self._store.get(key=configuration_head.KEY)
        if not isinstance(read, result.Success):
            return self._record_retry(str(read.failure()))
        stored = read.unwrap()
        if stored.version < self._min_version:
            return self._record_retry("the store returned an outdated version")
        if stored.version != store.ABSENT:
            decoded = self._current.take(stored.value, source="the store")
            if not isinstance(decoded, result.Success):
                return self._record_retry(str(decoded.failure()), decoded.failure())
        return self._find_accepted() or await self._decide(version=stored.version)

    def _find_accepted(self) -> Outcome | None:
        head = self._current.head
        generation = None if head is None else head.generation_of_nonce(self._nonce)
        if generation is None:
            return None
        return result.Success(Written(generation=generation, changed=True))

    async def _decide(self, *, version: int) -> Outcome | None:
        newest = self._current.head
        if newest is not None and bytes(newest.records) == self._encoded:
            written = Written(generation=newest.generation, changed=False)
            return await self._swap(version=version, raw=self._current.raw, written=written)
        generation = self._current.generation
        if self._expect is None:
            self._expect = generation
        if not self._meets_expectation(generation):
            return self._conflict(generation=generation)
        head = configuration_head.successor(
            former=newest,
            records=self._encoded,
            nonce=self._nonce,
            written_at_s=self._clock.seconds(),
            generation=generation + 1,
        )
        raw = configuration_head.encode(head)
        if len(raw) > store.VALUE_LIMIT_BYTES:
            error = configuration_errors.TooLargeError(
                size_bytes=len(raw), limit_bytes=store.VALUE_LIMIT_BYTES
            )
            return result.Failure(error)
        written = Written(generation=generation + 1, changed=True)
        return await self._swap(version=version, raw=raw, written=written)

    def _meets_expectation(self, generation: int) -> bool:
        return generation == self._expect

    def _conflict(self, *, generation: int) -> Outcome | None:
        assert self._expect is not None
        if self._maybe_written and generation - self._expect > configuration_head.HISTORY_LENGTH:
            reason = f"the history of generation {generation} does not reach that far back"
            return result.Failure(configuration_errors.UnsettledError(reason=reason))
        changes: tuple[record_changes.Changes, ...] = ()
        if self._current.head is not None:
            changes = self._current.head.changes_since(self._expect)
        error = configuration_errors.GenerationConflictError(
            expected=self._expect, generation=generation, changes=changes
        )
        if generation < self._expect:
            return self._record_retry("the store returned an outdated version", error)
        return result.Failure(error)

    async def _swap(self, *, version: int, raw: bytes, written: Written) -> Outcome | None:
        outcome = await self._store.swap(
            key=configuration_head.KEY, expected_version=version, value=raw
        )
        if isinstance(outcome, result.Success):
            self._current.take(raw, source="this entry")
            return result.Success(written)
        error = outcome.failure()
        if isinstance(error, store.ConflictError):
            self._min_version = max(self._min_version, error.actual_version)
        elif isinstance(error, store.UnknownError):
            self._maybe_written = self._maybe_written or written.changed
        return self._record_retry(str(error))

    def _record_retry(
        self, reason: str, error: configuration_errors.ConfigurationError | None = None
    ) -> Outcome | None:
        self._reason = reason
        self._error = error
        return None


def encode(raw: bytes) -> bytes:
    """Encodes a validated set of records in canonical form."""
    return records.canonical(raw)
