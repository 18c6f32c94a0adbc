"""Writes of the configuration: one compare-and-swap each, lost answers settled."""

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

TRIES = 10
"""Most rounds of read and compare-and-swap of one write."""

NONCE_BITS = 96


class Written(msgspec.Struct, frozen=True, kw_only=True):
    """A write that was accepted.

    Attributes:
        generation: Generation that holds the records.
        changed: False when they were in force already.
    """

    generation: int
    changed: bool


Outcome = result.Result[Written, configuration_errors.ConfigurationError]


class Write:
    """One write of a validated set of records.

    Args:
        store_port: The store.
        current: What this entry knows.
        group: Sleeps.
        clock: Tells time.
        generator: Draws the nonce and the jitter.
        encoded: The records in canonical JSON.
        expect: Generation that must be in force; None for whichever is.
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
        self._least_version = store.ABSENT
        self._sent = False
        self._reason = ""
        self._error: configuration_errors.ConfigurationError | None = None

    async def run(self) -> Outcome:
        """Read, decide and swap until the outcome is certain or the tries are used up."""
        for _ in range(TRIES):
            settled = await self._round()
            if settled is not None:
                return settled
            await self._group.sleep(self._delays.next_s())
        if self._sent:
            return result.Failure(configuration_errors.UnsettledError(reason=self._reason))
        error = self._error or configuration_errors.StoreUnavailableError(reason=self._reason)
        return result.Failure(error)

    async def _round(self) -> Outcome | None:
        read = await self._store.get(key=configuration_head.KEY)
        if not isinstance(read, result.Success):
            return self._again(str(read.failure()))
        stored = read.unwrap()
        if stored.version < self._least_version:
            return self._again("the store answers from its past")
        if stored.version != store.ABSENT:
            decoded = self._current.take(stored.value, source="the store")
            if not isinstance(decoded, result.Success):
                return self._again(str(decoded.failure()), decoded.failure())
        return self._landed() or await self._decide(version=stored.version)

    def _landed(self) -> Outcome | None:
        head = self._current.head
        generation = None if head is None else head.remembers(self._nonce)
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
        if self._sent and generation - self._expect > configuration_head.HISTORY_LENGTH:
            reason = f"generation {generation} doesn't remember so far back"
            return result.Failure(configuration_errors.UnsettledError(reason=reason))
        changes: tuple[record_changes.Changes, ...] = ()
        if self._current.head is not None:
            changes = self._current.head.changes_since(self._expect)
        error = configuration_errors.GenerationConflictError(
            expected=self._expect, generation=generation, changes=changes
        )
        if generation < self._expect:
            return self._again("the store answers from its past", error)
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
            self._least_version = max(self._least_version, error.actual_version)
        elif isinstance(error, store.UnknownError):
            self._sent = self._sent or written.changed
        return self._again(str(error))

    def _again(
        self, reason: str, error: configuration_errors.ConfigurationError | None = None
    ) -> Outcome | None:
        self._reason = reason
        self._error = error
        return None


def encode(raw: bytes) -> bytes:
    """Encode a validated set in canonical form."""
    return records.canonical(raw)
