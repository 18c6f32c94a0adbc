"""A rate limit on calls: a token bucket."""

from __future__ import annotations

from ebonyhatch.ports import timing

PRIORITY_FRACTION = 0.25
"""Fraction of the limit that is reserved for priority calls."""


class CallRate:
    """Tokens that are refilled at a constant rate, up to those of one second."""

    def __init__(self, *, clock: timing.Clock, calls_per_s: float) -> None:
        self._clock = clock
        self._calls_per_s = calls_per_s
        self._tokens = calls_per_s
        self._refilled_at = clock.seconds()

    def acquire(self, *, priority: bool) -> bool:
        """Uses a token and returns true, if one is available for a call of this priority."""
        self._refill()
        reserved = 0.0 if priority else self._calls_per_s * PRIORITY_FRACTION
        if self._tokens < reserved + 1.0:
            return False
        self._tokens -= 1.0
        return True

    def drain(self) -> None:
        """Discards saved tokens except the reserved fraction and the token of one other call."""
        self._refill()
        self._tokens = min(self._tokens, self._calls_per_s * PRIORITY_FRACTION + 1.0)

    def _refill(self) -> None:
        now = self._clock.seconds()
        refill = (now - self._refilled_at) * self._calls_per_s
        self._tokens = min(self._calls_per_s, self._tokens + refill)
        self._refilled_at = now
