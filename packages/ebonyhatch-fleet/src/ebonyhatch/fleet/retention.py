"""Retention of ended jobs: callers can query them for a while before their records are removed."""

from __future__ import annotations

import heapq

MAX_REMOVED_PER_WRITE = 10
"""Maximum number of jobs removed in one write: three keys each, and the head, fit the store's limit."""


class Retention:
    """Ended jobs, from the one that ended first on."""

    def __init__(self, *, keep_s: float) -> None:
        self._keep_s = keep_s
        self._ended: list[tuple[float, str]] = []

    @property
    def count(self) -> int:
        """Number of ended jobs that are kept."""
        return len(self._ended)

    def add(self, job_id: str, *, now: float) -> None:
        """Adds a job whose end callers see from `now` on, in seconds of the monotonic clock."""
        heapq.heappush(self._ended, (now, job_id))

    def is_due(self, *, now: float) -> bool:
        """Returns whether the retention period of any job is over."""
        return bool(self._ended) and now - self._ended[0][0] >= self._keep_s

    def pop_due(self, *, now: float) -> list[str]:
        """Removes and returns the due jobs that fit into one write."""
        due: list[str] = []
        while len(due) < MAX_REMOVED_PER_WRITE and self.is_due(now=now):
            due.append(heapq.heappop(self._ended)[1])
        return due
