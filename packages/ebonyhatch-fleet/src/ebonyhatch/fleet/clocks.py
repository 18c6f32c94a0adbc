"""Clocks: the loop's, one that counts suspensions, and the time of day."""

from __future__ import annotations

import time
from typing import Any

from ebonyhatch.ports import timing

WALL_START_S = 1_700_000_000.0
"""Time of day at which a test's clock begins, seconds since 1970."""


class Clocks:
    """The clocks of one process.

    Leases are judged by the clock that counts suspensions: the steady clock stands still
    while a machine is suspended, and a lease doesn't.
    """

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor

    @property
    def loop(self) -> timing.Clock:
        """The loop's clock."""
        return self._reactor

    def now(self) -> float:
        """Tell the steady time, seconds."""
        return float(self._reactor.seconds())

    def boottime(self) -> float:
        """Tell the steady time with suspensions counted, seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Tell the time of day, seconds since 1970."""
        return time.time()


class MemoryClocks(Clocks):
    """Clocks of one process in a test, over a shared `twisted.internet.task.Clock`.

    Attributes:
        suspended_s: Time for which the process was suspended, which its steady clock misses.
        wall_offset_s: By how much its time of day is wrong.
    """

    def __init__(self, *, clock: Any) -> None:
        super().__init__(reactor=clock)
        self.suspended_s = 0.0
        self.wall_offset_s = 0.0

    def boottime(self) -> float:
        """Tell the steady time with suspensions counted, seconds."""
        return self.now() + self.suspended_s

    def wall(self) -> float:
        """Tell the time of day, seconds since 1970."""
        return WALL_START_S + self.now() + self.wall_offset_s
