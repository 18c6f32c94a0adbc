"""Counts of an owner's jobs, tasks and targets, for callers and metrics."""

from __future__ import annotations

import collections

from ebonyhatch.fleet import clocks, tables

PENDING_VALID_S = 0.25
"""Age up to which the counts of pending jobs are used again, seconds: counting takes a look at each
job."""


class FleetCounts:
    """Counts what the tables of an owner hold."""

    def __init__(self, *, all_tables: tables.Tables, all_clocks: clocks.Clocks) -> None:
        self._tables = all_tables
        self._clocks = all_clocks
        self._pending: collections.Counter[str] = collections.Counter()
        self._pending_at: float | None = None

    def pending(self, queue: str) -> int:
        """Returns the number of jobs of a queue of which no task has started."""
        now = self._clocks.now()
        if self._pending_at is None or now - self._pending_at > PENDING_VALID_S:
            self._pending_at = now
            self._pending = collections.Counter(
                row.job.queue
                for row in self._tables.jobs.values()
                if not row.begun and not row.ended
            )
        return self._pending[queue]

    def gauges(self) -> dict[str, float]:
        """Returns the current counts for metrics."""
        targets_now = self._tables.targets.values()
        return {
            "jobs": len(self._tables.jobs),
            "tasks_waiting": sum(len(step.waiting) for step in self._tables.waiting.values()),
            "tasks_running": self._tables.totals.runs,
            "targets": len(targets_now),
            "targets_unreachable": sum(not row.reachable for row in targets_now),
            "targets_barred": sum(
                row.quarantined_until > self._clocks.now() for row in targets_now
            ),
        }
