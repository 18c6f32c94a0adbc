"""Pause between two polls of a target, which grows while this instance is overloaded."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import clocks

MIN_PAUSE_S = 0.025
"""Shortest pause, seconds: ends that follow each other closely are read at once."""

MAX_PAUSE_S = 1.0
"""Longest pause, seconds: a fraction of the targets' lease, which polls renew."""

REVIEW_INTERVAL_S = 0.25
"""Time between two changes of the pause, seconds."""

MAX_LOOP_DELAY_S = 0.15
"""Delay of the loop's callbacks above which the instance counts as overloaded, seconds."""

MAX_LINK_SHARE = 0.8
"""Share of the link in use above which the instance counts as overloaded."""

GROWTH = 1.5
DECAY = 0.85
"""Factors by which the pause changes at each review."""


class PollPace:
    """Adapts the pause to the delay of the loop and to the use of the link.

    Polls that are held up by this instance itself would time out, and targets that answer would
    lose their lease.
    """

    def __init__(
        self,
        *,
        all_clocks: clocks.Clocks,
        loop_delay_s: Callable[[], float],
        link_bytes: Callable[[], int],
        link_bytes_per_s: float,
    ) -> None:
        """Creates a pace.

        Args:
            all_clocks: Clocks of the process.
            loop_delay_s: Returns the largest recent delay of the loop, seconds.
            link_bytes: Returns the bytes sent or received so far, whichever is more.
            link_bytes_per_s: Bandwidth of the link, bytes a second; 0 for no known limit.
        """
        self._clocks = all_clocks
        self._loop_delay_s = loop_delay_s
        self._link_bytes = link_bytes
        self._link_bytes_per_s = link_bytes_per_s
        self._reviewed_at = all_clocks.now()
        self._reviewed_bytes = 0
        self._pause_s = MIN_PAUSE_S

    def pause_s(self) -> float:
        """Returns the present pause, seconds."""
        now = self._clocks.now()
        if now - self._reviewed_at >= REVIEW_INTERVAL_S:
            self._review(now)
        return self._pause_s

    def _review(self, now: float) -> None:
        total = self._link_bytes()
        rate = (total - self._reviewed_bytes) / (now - self._reviewed_at)
        self._reviewed_at, self._reviewed_bytes = now, total
        overloaded = self._loop_delay_s() > MAX_LOOP_DELAY_S or (
            self._link_bytes_per_s > 0.0 and rate > MAX_LINK_SHARE * self._link_bytes_per_s
        )
        if overloaded:
            self._pause_s = min(MAX_PAUSE_S, self._pause_s * GROWTH)
        else:
            self._pause_s = max(MIN_PAUSE_S, self._pause_s * DECAY)
