"""Store calls that are repeated until their outcome is known."""

from __future__ import annotations

import random

import msgspec
from ebonyhatch.node import coroutines
from ebonyhatch.ports import backoff, store
from returns import result


class Written(msgspec.Struct, frozen=True, kw_only=True):
    """The value is in the store, written by this call."""

    version: int


class Superseded(msgspec.Struct, frozen=True, kw_only=True):
    """Another writer's value is in the store; this call wrote nothing."""

    stored: store.Stored


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing was written; the store accepts no writes at present."""

    reason: str


WriteOutcome = Written | Superseded | Refused


class ConfirmedStore:
    """Repeats calls with backoff, and resolves writes with a lost answer by reading back.

    Values must be unique to the writer (they carry a nonce), since a value that is read back
    counts as written by this call when it is equal.
    """

    def __init__(
        self,
        *,
        store_port: store.Store,
        group: coroutines.CoroutineGroup,
        generator: random.Random,
    ) -> None:
        self._store = store_port
        self._group = group
        self._generator = generator

    async def pause(self) -> None:
        """Waits before a stale value is read again."""
        await self._group.sleep(backoff.Backoff(generator=self._generator, base_s=0.5).next_s())

    async def read(self, key: str, *, at_least: int = store.ABSENT) -> store.Stored:
        """Reads a key until the store answers with version `at_least` or a later one."""
        delays = backoff.Backoff(generator=self._generator)
        while True:
            outcome = await self._store.get(key=key)
            if isinstance(outcome, result.Success):
                stored = outcome.unwrap()
                if stored.version >= at_least:
                    return stored
            await self._group.sleep(delays.next_s())

    async def read_once(self, key: str) -> store.Stored | None:
        """Reads a key; None when the store doesn't answer."""
        outcome = await self._store.get(key=key)
        return outcome.unwrap() if isinstance(outcome, result.Success) else None

    async def swap(
        self, key: str, *, expected_version: int, value: bytes, fail_if_refused: bool = False
    ) -> WriteOutcome:
        """Writes a value, and returns only when it is certain whether that took effect.

        Args:
            key: The key.
            expected_version: Version that was read.
            value: New value, unique to this call.
            fail_if_refused: Return `Refused` when the store certainly wrote nothing, rather
                than retry.
        """
        delays = backoff.Backoff(generator=self._generator)
        certain = True
        while True:
            outcome = await self._store.swap(
                key=key, expected_version=expected_version, value=value
            )
            if isinstance(outcome, result.Success):
                return Written(version=outcome.unwrap())
            error = outcome.failure()
            if isinstance(error, store.ConflictError):
                return await self._settle(key, value=value, at_least=error.actual_version)
            if isinstance(error, store.UnknownError):
                certain = False
            elif fail_if_refused and certain:
                return Refused(reason=str(error))
            await self._group.sleep(delays.next_s())

    async def _settle(self, key: str, *, value: bytes, at_least: int) -> WriteOutcome:
        stored = await self.read(key, at_least=at_least)
        if stored.value == value:
            return Written(version=stored.version)
        return Superseded(stored=stored)
