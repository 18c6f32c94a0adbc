"""Delays between tries: exponential, with jitter and an upper limit."""

from __future__ import annotations

import random

BASE_S = 0.1
"""Upper bound of the first delay, seconds."""

LIMIT_S = 5.0
"""Upper bound of every delay, seconds."""


class Backoff:
    """Delays of one series of tries."""

    def __init__(
        self, *, generator: random.Random, base_s: float = BASE_S, limit_s: float = LIMIT_S
    ) -> None:
        self._generator = generator
        self._base_s = base_s
        self._limit_s = limit_s
        self._tries = 0

    @property
    def tries(self) -> int:
        """Failed tries since the last success."""
        return self._tries

    def next_s(self) -> float:
        """Delay before the next try, seconds; at least half of its upper bound."""
        bound = min(self._limit_s, self._base_s * 2.0 ** min(self._tries, 30))
        self._tries += 1
        return bound * (0.5 + 0.5 * self._generator.random())

    def reset(self) -> None:
        """Start over after a success."""
        self._tries = 0
