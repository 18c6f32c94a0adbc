"""Delay of the event loop: how late it runs a callback that is scheduled at a fixed interval."""

from __future__ import annotations

import collections

from ebonyhatch.fleet import clocks, decision_log
from ebonyhatch.ports import timing

INTERVAL_S = 0.1
"""Time from one callback to the next, seconds."""

WINDOW_S = 1.0
"""Time for which a delay counts as recent, and least time between two log lines, seconds."""

LOGGED_DELAY_S = 0.25
"""Delay above which a log line is written, seconds."""


class LoopDelay:
    """Measures the delay of the event loop from `start` until `close`."""

    def __init__(self, *, all_clocks: clocks.Clocks) -> None:
        self._clocks = all_clocks
        # Decreasing delays with the times at which they were measured: each entry is larger than
        # all later ones, so the first one is the largest in the window.
        self._window: collections.deque[tuple[float, float]] = collections.deque()
        self._timer: timing.Timer | None = None
        self._due_at = 0.0
        self._recent_s = 0.0
        self._delayed_since: float | None = None
        self._logged_at = -WINDOW_S

    @property
    def recent_s(self) -> float:
        """Largest delay measured in the last `WINDOW_S`, seconds; 0 while closed."""
        return self._recent_s

    def start(self) -> None:
        """Starts to measure."""
        self._logged_at = self._clocks.now() - WINDOW_S
        self._schedule()

    def close(self) -> None:
        """Stops measuring, and forgets what was measured."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._window.clear()
        self._recent_s = 0.0
        self._delayed_since = None

    def _schedule(self) -> None:
        self._due_at = self._clocks.now() + INTERVAL_S
        self._timer = self._clocks.loop.callLater(INTERVAL_S, self._measure)

    def _measure(self) -> None:
        now = self._clocks.now()
        self._record(max(0.0, now - self._due_at), now=now)
        self._log(now=now)
        self._schedule()

    def _record(self, delay_s: float, *, now: float) -> None:
        while self._window and self._window[-1][1] <= delay_s:
            self._window.pop()
        self._window.append((now, delay_s))
        while now - self._window[0][0] >= WINDOW_S:
            self._window.popleft()
        self._recent_s = self._window[0][1]

    def _log(self, *, now: float) -> None:
        """Logs a recent delay; `since` is when the first late callback of the period was due.

        A period of delays ends once there is no recent one above `LOGGED_DELAY_S`.
        """
        if self._recent_s <= LOGGED_DELAY_S:
            self._delayed_since = None
            return
        if self._delayed_since is None:
            self._delayed_since = self._clocks.wall() - self._recent_s
        if now - self._logged_at < WINDOW_S:
            return
        self._logged_at = now
        decision_log.write(
            "loop.delayed",
            delay_s=round(self._recent_s, 3),
            since=round(self._delayed_since, 3),
        )
