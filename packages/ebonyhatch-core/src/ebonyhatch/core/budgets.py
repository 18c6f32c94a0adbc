"""Token buckets that limit evictions and retries."""

from __future__ import annotations


class EvictionBudget:
    """Evictions allowed now; tokens are added evenly over time."""

    __slots__ = ("_tokens", "_refilled_at")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._refilled_at = -1.0

    @property
    def tokens(self) -> float:
        """Number of evictions that may be ordered now."""
        return self._tokens

    def refill(self, *, now: float, limit: float, refill_s: float) -> None:
        """Adds the tokens of the time since the last refill; the first refill fills the bucket."""
        if self._refilled_at < 0 and limit > 0:
            self._tokens = limit
        elif self._refilled_at >= 0:
            self._tokens += (now - self._refilled_at) * limit / refill_s
        self._tokens = min(self._tokens, limit)
        if limit > 0:
            self._refilled_at = now

    def spend(self, *, amount: float = 1.0) -> bool:
        """Spends tokens; returns False if there are too few."""
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


RETRIES_PER_SUCCESS = 0.2
"""Number of retries that one success adds to the budget."""

MAX_RETRY_TOKENS = 100.0
"""Capacity of the retry budget."""


class RetryBudget:
    """Retries allowed now; each success adds a fraction of a token."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS

    @property
    def tokens(self) -> float:
        """Number of retries that may be sent now."""
        return self._tokens

    def record_success(self) -> None:
        """Adds the tokens of one success."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRIES_PER_SUCCESS)

    def spend(self) -> bool:
        """Spends one token; returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
