"""Bounded sets of metric labels."""

from __future__ import annotations

OTHER = "other"
"""Label value that replaces all values beyond the limit."""

LENGTH_LIMIT = 64


class LabelSet:
    """Keeps the first `limit` distinct values and replaces all others by `other`."""

    __slots__ = ("_limit", "_seen")

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._seen: set[str] = set()

    def fold(self, value: str) -> str:
        """Returns the label value under which `value` is counted."""
        if value in self._seen:
            return value
        if len(value) > LENGTH_LIMIT or len(self._seen) >= self._limit:
            return OTHER
        self._seen.add(value)
        return value


class PairSet:
    """Bounds pairs of class and tenant; beyond the limit the tenant is replaced first."""

    __slots__ = ("_classes", "_limit", "_seen")

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._classes = LabelSet(limit=limit)
        self._seen: set[tuple[str, str]] = set()

    def fold(self, work_class: str, tenant: str) -> tuple[str, str]:
        """Returns the pair under which a pair is counted; at most twice the limit exist."""
        pair = (work_class, tenant)
        if pair in self._seen:
            return pair
        if len(tenant) > LENGTH_LIMIT or len(self._seen) >= self._limit:
            return self._classes.fold(work_class), OTHER
        folded = (self._classes.fold(work_class), tenant)
        self._seen.add(folded)
        return folded
