"""Clocks: the loop's, one that counts suspensions, and the time of day."""

from __future__ import annotations

import time
from typing import Any

from ebonyhatch.ports import timing


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

    def awake_and_suspended(self) -> float:
        """Tell the steady time with suspensions counted, seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Tell the time of day, seconds since 1970."""
        return time.time()
