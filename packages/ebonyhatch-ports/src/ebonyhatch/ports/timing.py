"""Typed protocols for the clock and the timers of a Twisted reactor."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A scheduled call, as `twisted.internet.interfaces.IDelayedCall`."""

    def active(self) -> bool:
        """Returns whether the call is still scheduled."""

    def cancel(self) -> None:
        """Cancels the call."""

    def reset(self, seconds_from_now: float, /) -> None:
        """Reschedules the call to this many seconds from now."""


class Clock(Protocol):
    """Current time and scheduled calls, as `twisted.internet.interfaces.IReactorTime`."""

    def seconds(self) -> float:
        """Returns the current time, seconds."""

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> Any:
        """Schedules `call` after `delay_s` seconds; returns a `Timer`."""


def use_monotonic_clock(reactor: Any) -> None:
    """Makes a reactor measure time by the monotonic clock, before anything is scheduled on it.

    Twisted's reactors use the time of day, so that a step of it fires timers early or holds them
    up, and a suspension of the machine can't be told from running.
    """
    reactor.seconds = time.monotonic
