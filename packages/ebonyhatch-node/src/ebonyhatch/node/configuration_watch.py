"""The watch on the head, and re-reads of it when a peer knows a newer generation."""

from __future__ import annotations

import random
from typing import Any

from ebonyhatch.node import (
    configuration_current,
    configuration_errors,
    configuration_head,
    coroutines,
)
from ebonyhatch.ports import backoff, store, timing
from returns import result
from twisted.internet import defer

WATCH_WAIT_S = 30.0
"""How long the store may hold a watch."""

ANSWER_GRACE_S = 5.0
"""How much later than due an answer may come before the call is given up."""

SPACING_S = 1.0
"""Longest pause before the next watch or re-read; at least half of it is kept."""

REREAD_TRIES = 5
"""Most re-reads for one hint."""


class Watch:
    """Keeps one watch on the head.

    Attributes:
        first_answer: Fires once the store or a peer has answered.

    Args:
        store_port: The store.
        current: Takes what is read.
        group: Runs the loops.
        clock: Tells time.
        generator: Draws the jitter.
    """

    def __init__(
        self,
        *,
        store_port: store.Store,
        current: configuration_current.Current,
        group: coroutines.CoroutineGroup,
        clock: timing.Clock,
        generator: random.Random,
    ) -> None:
        self._store = store_port
        self._current = current
        self._group = group
        self._clock = clock
        self._generator = generator
        self._version = store.ABSENT
        self._rereading = False
        self.first_answer: defer.Deferred[None] = defer.Deferred()

    def start(self) -> None:
        """Read the head and watch it from now on."""
        self._group.spawn(self._run())

    def hint(self, generation: int) -> None:
        """Read the head again because a peer knows this generation."""
        if self._rereading or generation <= self._current.generation:
            return
        self._rereading = True
        self._group.spawn(self._reread(generation))

    def answered(self) -> None:
        """Note that the store or a peer has answered once."""
        if not self.first_answer.called:
            self.first_answer.callback(None)

    async def _run(self) -> None:
        delays = backoff.Backoff(generator=self._generator)
        wait_s = 0.0
        while True:
            call = self._store.watch(
                key=configuration_head.KEY, after_version=self._version, wait_s=wait_s
            )
            if self._take(await self._bounded(call, wait_s=wait_s)):
                delays.reset()
                wait_s = WATCH_WAIT_S
                await self._group.sleep(SPACING_S * self._generator.uniform(0.5, 1.0))
            else:
                await self._group.sleep(delays.next_s())

    async def _reread(self, generation: int) -> None:
        delays = backoff.Backoff(generator=self._generator, base_s=SPACING_S)
        try:
            for _ in range(REREAD_TRIES):
                call = self._store.get(key=configuration_head.KEY)
                self._take(await self._bounded(call, wait_s=0.0))
                await self._group.sleep(delays.next_s())
                if self._current.generation >= generation:
                    return
        finally:
            self._rereading = False

    async def _bounded(self, call: store.StoredOutcome, *, wait_s: float) -> Any:
        call.addTimeout(wait_s + ANSWER_GRACE_S, self._clock)  # type: ignore[arg-type]
        try:
            return await call
        except defer.TimeoutError:
            reason = f"no answer within {wait_s + ANSWER_GRACE_S} s"
            return result.Failure(store.UnknownError(key=configuration_head.KEY, reason=reason))

    def _take(self, outcome: Any) -> bool:
        if not isinstance(outcome, result.Success):
            reason = str(outcome.failure())
            self._current.note(configuration_errors.StoreUnavailableError(reason=reason))
            return False
        self.answered()
        stored = outcome.unwrap()
        if stored.version < self._version:
            stale = configuration_errors.StalePastError(
                known_version=self._version, version=stored.version
            )
            self._current.note(stale)
            return False
        if stored.version != store.ABSENT:
            decoded = self._current.take(stored.value, source="the store")
            if not isinstance(decoded, result.Success):
                return False
        self._version = stored.version
        self._current.confirm()
        return True
