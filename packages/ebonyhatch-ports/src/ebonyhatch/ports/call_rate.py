"""A limit on calls a second."""

from __future__ import annotations

from ebonyhatch.ports import timing

PRIORITY_SHARE = 0.25
"""Share of the limit that only calls of priority may use."""


class CallRate:
    """Tokens that come back at a steady rate; a second's worth can be saved up."""

    def __init__(self, *, clock: timing.Clock, calls_per_s: float) -> None:
        self._clock = clock
        self._calls_per_s = calls_per_s
        self._tokens = calls_per_s
        self._counted_at = clock.seconds()

    def take(self, *, priority: bool) -> bool:
        """Use up a token if one is there for a call of this priority."""
        self._count()
        kept = 0.0 if priority else self._calls_per_s * PRIORITY_SHARE
        if self._tokens < kept + 1.0:
            return False
        self._tokens -= 1.0
        return True

    def drain(self) -> None:
        """Use up what was saved, but for one call of each kind."""
        self._count()
        self._tokens = min(self._tokens, self._calls_per_s * PRIORITY_SHARE + 1.0)

    def _count(self) -> None:
        now = self._clock.seconds()
        earned = (now - self._counted_at) * self._calls_per_s
        self._tokens = min(self._calls_per_s, self._tokens + earned)
        self._counted_at = now
