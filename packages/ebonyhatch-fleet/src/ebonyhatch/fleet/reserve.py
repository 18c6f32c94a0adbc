"""Capacity that long-running tasks leave free for short urgent work, which arrives in waves."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterable

from ebonyhatch.fleet import jobs, rows, tables, targets

MIN_FRACTION = 0.12
"""Minimum fraction of a pool that is reserved, also before any short work arrived: long-running
tasks come first on a new fleet, stay for minutes, and are not stopped for short work."""

PEAK_FACTOR = 1.3
"""Multiple of the recent peak of short work that is reserved; waves grow by about half within
seconds."""

MAX_FRACTION = 0.2
"""Largest fraction of a pool that is reserved, however high the peak was."""

MAX_FRACTION_FOR_TASK = 0.5
"""Fraction of the capacity that a task could ever use from which on the reserved part of it doesn't
hold the task off: those that are left may stay full, or be none."""

MIN_USED_FRACTION = 0.5
"""Fraction of a pool that has to be in use for the reserve to hold any task off. Below it the tasks
that wait lack a label or a large gap, and not capacity."""

PEAK_HALF_LIFE_S = 30.0
"""Half-life of the recorded peak, seconds."""

_Size = tuple[int, int, int]
"""Processor time, memory and accelerators of a target."""


class Reserve:
    """Tracks the demand of short work by pool and reserves targets for it.

    This guards against waves of short work that arrive when the fleet is full of long-running work.
    """

    def __init__(self, *, all_tables: tables.Tables) -> None:
        self._tables = all_tables
        self._peaks: dict[str, float] = {}
        self._changed = all_tables.observe_targets()
        self._sorted_for: dict[int, tuple[targets.Target, bool, int]] = {}
        self._sums: dict[str, list[int]] = {}
        self._ranks: dict[str, tuple[str, int]] = {}
        self._counts: dict[str, int] = {}
        self._capacity: dict[tuple[str, str, tuple[str, ...]], dict[_Size, list[int]]] = {}
        self._busy_pools: set[str] = set()

    def observe(self, *, elapsed_s: float) -> None:
        """Updates the peaks with the present demand."""
        demand = dict(self._tables.totals.short_cpu)
        for pool, cpu_millis in self._tables.waiting.short_cpu().items():
            demand[pool] = demand.get(pool, 0) + cpu_millis
        decay = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
        for pool in {*self._peaks, *demand}:
            decayed = self._peaks.get(pool, 0.0) * decay
            self._peaks[pool] = max(decayed, float(demand.get(pool, 0)))

    def choose_targets(self) -> None:
        """Chooses the reserved targets: those with the least long-running work.

        Whole targets are reserved, since scattered capacity fits no wide or large task.
        """
        self._capacity.clear()
        self._busy_pools.clear()
        if self._order_changed():
            self._sort_members()
        for pool, sums in self._sums.items():
            total = sums[-1]
            demand_cpu = PEAK_FACTOR * self._peaks.get(pool, 0.0)
            reserved_cpu = min(MAX_FRACTION * total, max(MIN_FRACTION * total, demand_cpu))
            self._counts[pool] = bisect.bisect_left(sums, reserved_cpu)

    def _order_changed(self) -> bool:
        """Returns whether anything that the order of the targets depends on has changed."""
        order_changed = False
        for key, row in self._changed.items():
            if self._tables.targets.get(row.target_id) is not row:
                order_changed |= self._sorted_for.pop(key, None) is not None
                continue
            state = (row.target, row.listed and not row.evacuated, row.long_running_cpu)
            if state != self._sorted_for.get(key):
                self._sorted_for[key] = state
                order_changed = True
        self._changed.clear()
        return order_changed

    def _sort_members(self) -> None:
        """Sorts the targets of each pool, and sums their processor time in this order."""
        pools: dict[str, list[rows.TargetRow]] = {}
        for row in self._tables.targets.values():
            if row.listed and not row.target.draining and not row.evacuated:
                pools.setdefault(row.target.pool, []).append(row)
        self._sums.clear()
        self._ranks.clear()
        for pool, members in pools.items():
            members.sort(key=lambda row: (row.long_running_cpu, row.target_id))
            self._sums[pool] = list(
                itertools.accumulate((row.target.cpu_millis for row in members), initial=0)
            )
            for rank, row in enumerate(members):
                self._ranks[row.target_id] = (pool, rank)

    def is_reserved(self, row: rows.TargetRow) -> bool:
        """Returns whether a target is reserved for short work."""
        pool, rank = self._ranks.get(row.target_id, ("", 0))
        return rank < self._counts.get(pool, 0)

    def allows(
        self, task: rows.TaskRow, row: rows.TargetRow, usable: Iterable[rows.TargetRow]
    ) -> bool:
        """Returns whether a task may be placed on a target.

        A long-running task that ran before never has to wait for the reserve, since its service
        lacks it until it runs again. Others wait only while it leaves them other targets.

        Args:
            task: A waiting task.
            row: A target that has capacity for it.
            usable: The usable targets of the pool, with free capacity or without.
        """
        if not task.step.step.long_running or task.last_run or not self.is_reserved(row):
            return True
        return not (self._leaves_targets(task.step, usable) and self._is_busy(row, usable))

    def _leaves_targets(self, step: rows.StepRow, usable: Iterable[rows.TargetRow]) -> bool:
        """Returns whether most of the capacity that a step could ever use isn't reserved."""
        spec = step.step
        total = reserved = 0
        for size, (all_cpu, reserved_cpu) in self._capacity_by_size(step, usable).items():
            if _fits(spec, size):
                total += all_cpu
                reserved += reserved_cpu
        for target_id, count in step.per_target.items():
            row = self._tables.targets.get(target_id)
            if row is None or not spec.max_per_target or count < spec.max_per_target:
                continue
            total -= row.target.cpu_millis
            reserved -= row.target.cpu_millis if self.is_reserved(row) else 0
        return reserved < MAX_FRACTION_FOR_TASK * total

    def _capacity_by_size(
        self, step: rows.StepRow, usable: Iterable[rows.TargetRow]
    ) -> dict[_Size, list[int]]:
        """Returns the processor time of the targets that a step may use, all and reserved, by size.

        It is summed once after `choose_targets`.
        """
        queue = step.job.queue
        key = (queue.pool, step.step.label, queue.regions)
        capacity = self._capacity.get(key)
        if capacity is None:
            capacity = self._capacity[key] = {}
            for row in usable:
                if key[1] and key[1] not in row.target.labels:
                    continue
                if queue.regions and row.target.region not in queue.regions:
                    continue
                target = row.target
                size = (target.cpu_millis, target.memory_mb, target.accelerators)
                sums = capacity.setdefault(size, [0, 0])
                sums[0] += target.cpu_millis
                sums[1] += target.cpu_millis if self.is_reserved(row) else 0
        return capacity

    def _is_busy(self, row: rows.TargetRow, usable: Iterable[rows.TargetRow]) -> bool:
        """Returns whether enough of a target's pool is in use; until the next choice it remains so."""
        pool = row.target.pool
        if pool not in self._busy_pools:
            total = sum(one.target.cpu_millis for one in usable)
            free = sum(one.free_cpu for one in usable)
            if total - free >= MIN_USED_FRACTION * total:
                self._busy_pools.add(pool)
        return pool in self._busy_pools


def _fits(step: jobs.Step, size: _Size) -> bool:
    demand = (step.cpu_millis, step.memory_mb, step.accelerators)
    return all(asked <= present for asked, present in zip(demand, size, strict=True))
