"""Health of the store as seen by this entry: calls by kind and outcome, age of the last answer."""

from __future__ import annotations

from ebonyhatch.node import metrics
from ebonyhatch.ports import guarded_store, timing

ANSWERED = frozenset(
    {
        guarded_store.CallOutcome.OK,
        guarded_store.CallOutcome.CONFLICT,
        guarded_store.CallOutcome.REFUSED,
    }
)
"""Outcomes that come from the store itself, rather than from a failure to reach it."""


class StoreHealth:
    """Counts calls, and keeps the time of the last answer."""

    def __init__(self, *, clock: timing.Clock, measures: metrics.Metrics) -> None:
        self._clock = clock
        self._measures = measures
        self._answered_at: float | None = None
        self._reachable = False

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._reachable

    @property
    def age_s(self) -> float | None:
        """Seconds since the last answer; None before the first."""
        return None if self._answered_at is None else self._clock.seconds() - self._answered_at

    def observe(self, kind: guarded_store.Kind, outcome: guarded_store.CallOutcome) -> None:
        """Records the outcome of one call."""
        self._measures.record_store_call(kind=kind.value, outcome=outcome.value)
        self._reachable = outcome in ANSWERED
        if self._reachable:
            self._answered_at = self._clock.seconds()
