"""Fake clock that keeps its timers in a heap, so that many timers cost little."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timer:
    """A delayed call with the interface of `twisted.internet.interfaces.IDelayedCall`."""

    __slots__ = ("_call", "_clock", "at")

    def __init__(self, *, clock: HeapClock, call: Callable[[], Any]) -> None:
        self._clock = clock
        self._call: Callable[[], Any] | None = call
        self.at = 0.0

    def active(self) -> bool:
        """Returns whether the call is still pending."""
        return self._call is not None

    def cancel(self) -> None:
        """Cancels the call."""
        self._call = None

    def reset(self, seconds_from_now: float, /) -> None:
        """Reschedules the call to `seconds_from_now` seconds from now."""
        self._clock.schedule(self, seconds_from_now)

    def fire(self, *, at: float) -> None:
        """Makes the call unless it was cancelled or rescheduled to another time."""
        if at != self.at:
            return
        call, self._call = self._call, None
        if call is not None:
            call()


class HeapClock:
    """A clock with the interface of `twisted.internet.task.Clock`, advanced by hand."""

    __slots__ = ("_now", "_order", "_timers")

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._timers: list[tuple[float, int, Timer]] = []

    def seconds(self) -> float:
        """Returns the time, seconds."""
        return self._now

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> Timer:
        """Schedules a call in `delay_s` seconds."""
        timer = Timer(clock=self, call=lambda: call(*args, **kwargs))
        self.schedule(timer, delay_s)
        return timer

    def schedule(self, timer: Timer, delay_s: float) -> None:
        """Schedules a timer in `delay_s` seconds."""
        timer.at = self._now + delay_s
        heapq.heappush(self._timers, (timer.at, next(self._order), timer))

    def advance(self, seconds: float) -> None:
        """Advances the time and makes the calls that become due."""
        until = self._now + seconds
        while self._timers and self._timers[0][0] <= until:
            self._now, _, timer = heapq.heappop(self._timers)
            timer.fire(at=self._now)
        self._now = until
