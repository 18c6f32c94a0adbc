"""Budgets of evictions and of retries: token buckets."""

from __future__ import annotations


class EvictionBudget:
    """Tokens that come back evenly over time."""

    __slots__ = ("_tokens", "_refilled_at")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._refilled_at = -1.0

    @property
    def tokens(self) -> float:
        """Evictions that may be ordered now."""
        return self._tokens

    def refill(self, *, now: float, limit: float, refill_s: float) -> None:
        """Add what came back since the last refill; the first one fills it."""
        if self._refilled_at < 0 and limit > 0:
            self._tokens = limit
        elif self._refilled_at >= 0:
            self._tokens += (now - self._refilled_at) * limit / refill_s
        self._tokens = min(self._tokens, limit)
        if limit > 0:
            self._refilled_at = now

    def take(self, *, amount: float = 1.0) -> bool:
        """Spend tokens, if there are enough."""
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


RETRY_SHARE = 0.2
"""Retries that one success pays for."""

RETRY_TOKENS = 100.0
"""Most retries that may be saved up."""


class RetryBudget:
    """Tokens that successes pay in."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = RETRY_TOKENS

    @property
    def tokens(self) -> float:
        """Retries that may be sent now."""
        return self._tokens

    def succeed(self) -> None:
        """Pay in for one success."""
        self._tokens = min(RETRY_TOKENS, self._tokens + RETRY_SHARE)

    def take(self) -> bool:
        """Spend one token, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
