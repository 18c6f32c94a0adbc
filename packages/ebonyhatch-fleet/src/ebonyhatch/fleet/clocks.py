"""Clocks: the event loop's, one that counts suspensions, and the time of day."""

from __future__ import annotations

import time
from typing import Any

from ebonyhatch.ports import timing

WALL_START_S = 1_700_000_000.0
"""Time of day at which the clock of a test starts, seconds since 1970."""


class Clocks:
    """The clocks of one process.

    The validity of leases is determined by the clock that counts suspensions: the monotonic clock
    stops while a machine is suspended, and a lease doesn't.
    """

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor

    @property
    def loop(self) -> timing.Clock:
        """Clock of the event loop."""
        return self._reactor

    def now(self) -> float:
        """Returns the monotonic time, seconds."""
        return float(self._reactor.seconds())

    def boottime(self) -> float:
        """Returns the monotonic time including suspensions, seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns the time of day, seconds since 1970."""
        return time.time()


class MemoryClocks(Clocks):
    """Clocks of one process in a test, over a shared `twisted.internet.task.Clock`.

    Attributes:
        suspended_s: Time for which the process was suspended, which its monotonic clock omits.
        wall_offset_s: Error of its time of day, seconds.
    """

    def __init__(self, *, clock: Any) -> None:
        super().__init__(reactor=clock)
        self.suspended_s = 0.0
        self.wall_offset_s = 0.0

    def boottime(self) -> float:
        """Returns the monotonic time including suspensions, seconds."""
        return self.now() + self.suspended_s

    def wall(self) -> float:
        """Returns the time of day, seconds since 1970."""
        return WALL_START_S + self.now() + self.wall_offset_s
