"""Background coroutines of one component, cancelled when the component closes."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

from ebonyhatch.ports import timing
from twisted.internet import defer
from twisted.python import failure, log

T = TypeVar("T")


class CoroutineGroup:
    """Runs coroutines as Deferreds, and cancels those still running on `close`."""

    def __init__(self, *, clock: timing.Clock) -> None:
        self._clock = clock
        self._running: set[defer.Deferred[Any]] = set()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether `close` was called."""
        return self._closed

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine in the background; an unexpected error is logged."""
        if self._closed:
            coroutine.close()
            return
        running = defer.Deferred.fromCoroutine(coroutine)
        self._running.add(running)
        running.addErrback(_log_unexpected)
        running.addBoth(self._forget, running)

    async def sleep(self, seconds: float) -> None:
        """Waits for a time on the component's clock."""
        slept: defer.Deferred[None] = defer.Deferred(lambda _: timer.cancel())
        timer = self._clock.callLater(seconds, slept.callback, None)
        await slept

    def close(self) -> None:
        """Cancels all coroutines that are still running; later ones are not started."""
        self._closed = True
        for running in list(self._running):
            running.cancel()

    def _forget(self, value: Any, running: defer.Deferred[Any]) -> None:
        self._running.discard(running)


def _log_unexpected(reason: failure.Failure) -> None:
    if reason.check(defer.CancelledError) is None:
        log.err(reason, "unexpected error in a background coroutine")
