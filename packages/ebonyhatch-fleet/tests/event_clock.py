"""A clock for large fleets: it stops at the time of each due call, so that no step is too coarse."""

from __future__ import annotations

import heapq
import itertools

from twisted.internet import base


class EventClock:
    """Has the calls of `twisted.internet.task.Clock` that a fleet uses."""

    def __init__(self) -> None:
        self._now = 0.0
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, base.DelayedCall]] = []

    def seconds(self) -> float:
        return self._now

    def callLater(self, delay, call, *args, **kwargs):  # noqa: N802
        delayed = base.DelayedCall(
            self._now + delay, call, args, kwargs, lambda _: None, self._push, self.seconds
        )
        self._push(delayed)
        return delayed

    def advance(self, amount: float) -> None:
        until = self._now + amount
        while self._due and self._due[0][0] <= until:
            at, _, delayed = heapq.heappop(self._due)
            if not delayed.active():
                continue
            if delayed.getTime() > at:
                self._push(delayed)
                continue
            self._now = max(self._now, at)
            delayed.called = 1
            delayed.func(*delayed.args, **delayed.kw)
        self._now = until

    def _push(self, delayed: base.DelayedCall) -> None:
        heapq.heappush(self._due, (delayed.getTime(), next(self._numbers), delayed))
