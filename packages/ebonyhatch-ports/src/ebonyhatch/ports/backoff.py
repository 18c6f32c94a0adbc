"""When a failed call may be tried again: jittered delays, and a budget of retries."""

from __future__ import annotations

import random

BASE_S = 0.1
"""Upper bound of the first delay, seconds."""

LIMIT_S = 5.0
"""Upper bound of every delay, seconds."""

DOUBLINGS_LIMIT = 30
"""Doublings after which the bound is not worked out any more."""

RETRY_SHARE = 0.1
"""Retries allowed for each success."""

RETRY_RESERVE = 10.0
"""Retries that may be saved up."""


class Backoff:
    """Delays of one series of tries: exponential bound, full jitter below it."""

    def __init__(
        self, *, generator: random.Random, base_s: float = BASE_S, limit_s: float = LIMIT_S
    ) -> None:
        self._generator = generator
        self._base_s = base_s
        self._limit_s = limit_s
        self._failures = 0

    @property
    def failures(self) -> int:
        """Delays that were drawn since the last success."""
        return self._failures

    def next_s(self) -> float:
        """Draw the delay before the next try, seconds."""
        doublings = min(self._failures, DOUBLINGS_LIMIT)
        self._failures += 1
        return self._generator.uniform(0.0, min(self._limit_s, self._base_s * 2.0**doublings))

    def reset(self) -> None:
        """Begin anew after a success."""
        self._failures = 0


class RetryBudget:
    """Retries as a share of successes, so that retries don't multiply an overload."""

    def __init__(self, *, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE) -> None:
        self._share = share
        self._reserve = reserve
        self._left = reserve

    @property
    def left(self) -> float:
        """Retries that are allowed now."""
        return self._left

    def succeeded(self) -> None:
        """Earn a share of a retry."""
        self._left = min(self._reserve, self._left + self._share)

    def take(self) -> bool:
        """Use up a retry if one is allowed."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
