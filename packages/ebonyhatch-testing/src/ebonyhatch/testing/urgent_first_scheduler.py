"""The stronger baseline: urgent work first, first fit, one retry, no reserve, no eviction."""

from __future__ import annotations

import collections

from ebonyhatch.core import rows, scheduler
from ebonyhatch.testing import simple_scheduler


@scheduler.policy("urgent-first")
class UrgentFirstScheduler(simple_scheduler.SimpleScheduler):
    """Places requests in order of arrival, then jobs in order of arrival."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed)
        self._urgent: collections.deque[rows.Request] = collections.deque()

    def _enqueue_request(self, row: rows.Request) -> None:
        self._urgent.append(row)

    def _queued_urgent(self) -> int:
        return len(self._urgent)

    def _place(self) -> None:
        while self._urgent:
            if not self._place_request(self._urgent[0]):
                return
            self._urgent.popleft()
        while self._queue:
            job = self._jobs.get(self._queue[0])
            is_waiting = job is not None and job.task is None and not job.parked
            if is_waiting and job is not None and not self._place_job(job):
                return
            self._queue.popleft()
