"""Bounded sets of metric labels."""

from __future__ import annotations

OTHER = "other"
"""Value that stands for all values beyond the bound."""

LENGTH_LIMIT = 64


class LabelSet:
    """Lets the first `limit` distinct values through and folds the rest into `other`."""

    __slots__ = ("_limit", "_seen")

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._seen: set[str] = set()

    def fold(self, value: str) -> str:
        """Give the value under which `value` is counted."""
        if value in self._seen:
            return value
        if len(value) > LENGTH_LIMIT or len(self._seen) >= self._limit:
            return OTHER
        self._seen.add(value)
        return value


class PairSet:
    """Bounds pairs of class and tenant; beyond the bound the tenant is folded first."""

    __slots__ = ("_classes", "_limit", "_seen")

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._classes = LabelSet(limit=limit)
        self._seen: set[tuple[str, str]] = set()

    def fold(self, work_class: str, tenant: str) -> tuple[str, str]:
        """Give the pair under which a pair is counted; at most twice the limit exist."""
        pair = (work_class, tenant)
        if pair in self._seen:
            return pair
        if len(tenant) > LENGTH_LIMIT or len(self._seen) >= self._limit:
            return self._classes.fold(work_class), OTHER
        folded = (self._classes.fold(work_class), tenant)
        self._seen.add(folded)
        return folded
