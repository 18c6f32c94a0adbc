"""How long ended jobs are kept: callers may ask for them a while longer, then their records go."""

from __future__ import annotations

import collections

MAX_REMOVED_PER_WRITE = 10
"""Most jobs removed in one write: three keys each, beside the head, within the store's limit."""


class Retention:
    """Jobs that have ended, in the order in which callers could see it."""

    def __init__(self, *, keep_s: float) -> None:
        self._keep_s = keep_s
        self._ended: collections.deque[tuple[float, str]] = collections.deque()

    @property
    def count(self) -> int:
        """Ended jobs that are kept."""
        return len(self._ended)

    def add(self, job_id: str, *, now: float) -> None:
        """Note a job whose end callers see from now on, seconds of the steady clock."""
        self._ended.append((now, job_id))

    def is_due(self, *, now: float) -> bool:
        """Tell whether some job has been kept for its time."""
        return bool(self._ended) and now - self._ended[0][0] >= self._keep_s

    def pop_due(self, *, now: float) -> list[str]:
        """Give the jobs to remove in one write."""
        due: list[str] = []
        while len(due) < MAX_REMOVED_PER_WRITE and self.is_due(now=now):
            due.append(self._ended.popleft()[1])
        return due
