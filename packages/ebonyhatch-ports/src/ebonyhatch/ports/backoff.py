"""Limits on retries of failed calls: jittered exponential delays, and a retry budget."""

from __future__ import annotations

import random

BASE_S = 0.1
"""Upper bound of the first delay, seconds."""

LIMIT_S = 5.0
"""Upper bound of every delay, seconds."""

DOUBLINGS_LIMIT = 30
"""Number of doublings after which the bound stays constant."""

RETRY_FRACTION = 0.1
"""Retries that each success adds to the budget."""

MAX_SAVED_RETRIES = 10.0
"""Upper bound of the retry budget."""


class Backoff:
    """Delays of one series of attempts: an exponential bound with full jitter below it."""

    def __init__(
        self, *, generator: random.Random, base_s: float = BASE_S, limit_s: float = LIMIT_S
    ) -> None:
        self._generator = generator
        self._base_s = base_s
        self._limit_s = limit_s
        self._failures = 0

    @property
    def failures(self) -> int:
        """Delays that were generated since the last success."""
        return self._failures

    def next_s(self) -> float:
        """Generates the delay before the next attempt, seconds."""
        doublings = min(self._failures, DOUBLINGS_LIMIT)
        self._failures += 1
        return self._generator.uniform(0.0, min(self._limit_s, self._base_s * 2.0**doublings))

    def reset(self) -> None:
        """Resets the delays after a success."""
        self._failures = 0


class RetryBudget:
    """Limits retries to a fraction of successes, so that they don't multiply an overload."""

    def __init__(
        self, *, fraction: float = RETRY_FRACTION, max_saved: float = MAX_SAVED_RETRIES
    ) -> None:
        self._fraction = fraction
        self._max_saved = max_saved
        self._remaining = max_saved

    @property
    def remaining(self) -> float:
        """Retries that remain in the budget."""
        return self._remaining

    def succeeded(self) -> None:
        """Adds the fraction of a retry for one success."""
        self._remaining = min(self._max_saved, self._remaining + self._fraction)

    def spend(self) -> bool:
        """Spends a retry and returns true, if one remains."""
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True
