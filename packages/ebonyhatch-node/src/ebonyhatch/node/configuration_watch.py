"""Watches the configuration head and re-reads it when a peer reports a newer generation."""

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
"""Maximum time that the store may hold a watch before it answers, seconds."""

ANSWER_GRACE_S = 5.0
"""Time after an answer is due at which the call is abandoned, seconds."""

SPACING_S = 1.0
"""Maximum delay before the next watch, seconds; the delay is random, at least half of this.

It is also the upper bound of the first delay between re-reads.
"""

MAX_REREADS = 5
"""Maximum re-reads for one generation reported by a peer."""


class Watch:
    """Keeps one watch on the head.

    Attributes:
        first_answer: Fires once the store or a peer has answered.

    Args:
        store_port: The store.
        current: Receives the heads that are read.
        group: Runs the coroutines.
        clock: Source of time and timers.
        generator: Source of jitter.
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
        """Reads the head and watches it from now on."""
        self._group.spawn(self._run())

    def request_reread(self, generation: int) -> None:
        """Re-reads the head if a peer's generation is newer and no re-read is in progress."""
        if self._rereading or generation <= self._current.generation:
            return
        self._rereading = True
        self._group.spawn(self._reread(generation))

    def record_answer(self) -> None:
        """Records that the store or a peer has answered."""
        if not self.first_answer.called:
            self.first_answer.callback(None)

    async def _run(self) -> None:
        delays = backoff.Backoff(generator=self._generator)
        wait_s = 0.0
        while True:
            call = self._store.watch(
                key=configuration_head.KEY, after_version=self._version, wait_s=wait_s
            )
            if self._apply_response(await self._with_timeout(call, wait_s=wait_s)):
                delays.reset()
                wait_s = WATCH_WAIT_S
                await self._group.sleep(SPACING_S * self._generator.uniform(0.5, 1.0))
            else:
                await self._group.sleep(delays.next_s())

    async def _reread(self, generation: int) -> None:
        delays = backoff.Backoff(generator=self._generator, base_s=SPACING_S)
        try:
            for _ in range(MAX_REREADS):
                call = self._store.get(key=configuration_head.KEY)
                self._apply_response(await self._with_timeout(call, wait_s=0.0))
                await self._group.sleep(delays.next_s())
                if self._current.generation >= generation:
                    return
        finally:
            self._rereading = False

    async def _with_timeout(self, call: store.StoredOutcome, *, wait_s: float) -> Any:
        call.addTimeout(wait_s + ANSWER_GRACE_S, self._clock)  # type: ignore[arg-type]
        try:
            return await call
        except defer.TimeoutError:
            reason = f"no answer within {wait_s + ANSWER_GRACE_S} s"
            return result.Failure(store.UnknownError(key=configuration_head.KEY, reason=reason))

    def _apply_response(self, outcome: Any) -> bool:
        if not isinstance(outcome, result.Success):
            reason = str(outcome.failure())
            self._current.record_fault(configuration_errors.StoreUnavailableError(reason=reason))
            return False
        self.record_answer()
        stored = outcome.unwrap()
        if stored.version < self._version:
            stale = configuration_errors.StalePastError(
                known_version=self._version, version=stored.version
            )
            self._current.record_fault(stale)
            return False
        if stored.version != store.ABSENT:
            decoded = self._current.take(stored.value, source="the store")
            if not isinstance(decoded, result.Success):
                return False
        self._version = stored.version
        self._current.record_confirmation()
        return True
