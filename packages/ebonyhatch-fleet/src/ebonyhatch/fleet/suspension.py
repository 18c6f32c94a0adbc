"""Detection of times in which the whole process was suspended."""

from __future__ import annotations

from ebonyhatch.fleet import clocks

MIN_SUSPENSION_S = 0.5
"""Minimum suspension that counts, seconds."""


class SuspensionWatch:
    """Compares the clock that stands still during a suspension with the one that goes on."""

    def __init__(self, *, all_clocks: clocks.Clocks) -> None:
        self._clocks = all_clocks
        self._checked_at = all_clocks.now()
        self._checked_boottime = all_clocks.boottime()

    def suspended_s(self) -> float:
        """Returns the length of a suspension since the last call, seconds; 0 if there was none."""
        now, boottime = self._clocks.now(), self._clocks.boottime()
        gap_s = (boottime - self._checked_boottime) - (now - self._checked_at)
        self._checked_at, self._checked_boottime = now, boottime
        return gap_s if gap_s > MIN_SUSPENSION_S else 0.0
