"""Capacity that long-running tasks leave free for short urgent work, which arrives in waves."""

from __future__ import annotations

from ebonyhatch.fleet import rows, tables, targets

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
        self._sorted_for: list[tuple[rows.TargetRow, targets.Target, bool, int]] = []
        self._pools: dict[str, tuple[int, list[rows.TargetRow]]] = {}

    def observe(self, *, elapsed_s: float) -> None:
        """Updates the peaks with the present demand."""
        demand: dict[str, int] = {}
        for row in self._tables.targets.values():
            for pool, cpu_millis in row.short_cpu.items():
                demand[pool] = demand.get(pool, 0) + cpu_millis
        for step in self._tables.waiting.values():
            spec = step.step
            if not (spec.long_running or spec.filler):
                pool = step.job.queue.pool
                demand[pool] = demand.get(pool, 0) + len(step.waiting) * spec.cpu_millis
        decay = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
        for pool in {*self._peaks, *demand}:
            decayed = self._peaks.get(pool, 0.0) * decay
            self._peaks[pool] = max(decayed, float(demand.get(pool, 0)))

    def choose_targets(self) -> None:
        """Chooses the reserved targets: those with the least long-running work.

        Whole targets are reserved, since scattered capacity fits no wide or large task.
        """
        self._reserved_ids.clear()
        self._sort_members()
        for pool, (total, members) in self._pools.items():
            demand_cpu = PEAK_FACTOR * self._peaks.get(pool, 0.0)
            remaining_cpu = min(MAX_FRACTION * total, max(MIN_FRACTION * total, demand_cpu))
            for row in members:
                if remaining_cpu <= 0:
                    break
                self._reserved_ids.add(row.target_id)
                remaining_cpu -= row.target.cpu_millis

    def _sort_members(self) -> None:
        """Sorts the targets of each pool, if anything that the order depends on has changed."""
        state = [
            (row, row.target, row.listed, row.long_running_cpu)
            for row in self._tables.targets.values()
        ]
        if state == self._sorted_for:
            return
        self._sorted_for = state
        pools: dict[str, list[rows.TargetRow]] = {}
        for row in self._tables.targets.values():
            if row.listed and not row.target.draining:
                pools.setdefault(row.target.pool, []).append(row)
        self._pools = {
            pool: (
                sum(row.target.cpu_millis for row in members),
                sorted(members, key=lambda row: (row.long_running_cpu, row.target_id)),
            )
            for pool, members in pools.items()
        }

    def is_reserved(self, row: rows.TargetRow) -> bool:
        """Returns whether a target is reserved for short work."""
        return row.target_id in self._reserved_ids

    def allows(self, task: rows.TaskRow, row: rows.TargetRow) -> bool:
        """Returns whether a task may be placed on a target.

        A long-running task that ran before never has to wait for the reserve, since its service
        lacks it until it runs again.
        """
        return not task.step.step.long_running or bool(task.last_run) or not self.is_reserved(row)
