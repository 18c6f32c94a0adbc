"""Capacity that long-running tasks leave free for short urgent work, which arrives in waves."""

from __future__ import annotations

from ebonyhatch.fleet import rows, tables

MIN_FRACTION = 0.12
"""Minimum fraction of a pool that is reserved, also before any short work arrived: long-running
tasks come first on a new fleet, stay for minutes, and are not stopped for short work."""

PEAK_FACTOR = 1.3
"""Multiple of the recent peak of short work that is reserved; waves grow by about half within
seconds."""

MAX_FRACTION = 0.2
"""Largest fraction of a pool that is reserved, however high the peak was."""

PEAK_HALF_LIFE_S = 30.0
"""Half-life of the recorded peak, seconds."""


class Reserve:
    """Tracks the demand of short work by pool and reserves targets for it.

    This guards against waves of short work that arrive when the fleet is full of long-running work.
    """

    def __init__(self, *, all_tables: tables.Tables) -> None:
        self._tables = all_tables
        self._peaks: dict[str, float] = {}
        self._reserved_ids: set[str] = set()

    def observe(self, *, elapsed_s: float) -> None:
        """Updates the peaks with the present demand."""
        demand: dict[str, int] = {}
        for row in self._tables.targets.values():
            for run in row.runs.values():
                _add_demand(demand, run.task.step, 1)
        for step in self._tables.waiting.values():
            _add_demand(demand, step, len(step.waiting))
        decay = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
        for pool in {*self._peaks, *demand}:
            decayed = self._peaks.get(pool, 0.0) * decay
            self._peaks[pool] = max(decayed, float(demand.get(pool, 0)))

    def choose_targets(self) -> None:
        """Chooses the reserved targets: those with the least long-running work.

        Whole targets are reserved, since scattered capacity fits no wide or large task.
        """
        self._reserved_ids.clear()
        pools: dict[str, list[rows.TargetRow]] = {}
        for row in self._tables.targets.values():
            if row.listed and not row.target.draining:
                pools.setdefault(row.target.pool, []).append(row)
        for pool, members in pools.items():
            total = sum(row.target.cpu_millis for row in members)
            demand_cpu = PEAK_FACTOR * self._peaks.get(pool, 0.0)
            remaining_cpu = min(MAX_FRACTION * total, max(MIN_FRACTION * total, demand_cpu))
            for row in sorted(members, key=lambda row: (row.long_running_cpu, row.target_id)):
                if remaining_cpu <= 0:
                    break
                self._reserved_ids.add(row.target_id)
                remaining_cpu -= row.target.cpu_millis

    def is_reserved(self, row: rows.TargetRow) -> bool:
        """Returns whether a target is reserved for short work."""
        return row.target_id in self._reserved_ids

    def allows(self, task: rows.TaskRow, row: rows.TargetRow) -> bool:
        """Returns whether a task may be placed on a target.

        A long-running task that ran before never has to wait for the reserve, since its service
        lacks it until it runs again.
        """
        return not task.step.step.long_running or bool(task.last_run) or not self.is_reserved(row)


def _is_short(step: rows.StepRow) -> bool:
    return not (step.step.long_running or step.step.filler)


def _add_demand(demand: dict[str, int], step: rows.StepRow, count: int) -> None:
    if _is_short(step):
        pool = step.job.queue.pool
        demand[pool] = demand.get(pool, 0) + count * step.step.cpu_millis
