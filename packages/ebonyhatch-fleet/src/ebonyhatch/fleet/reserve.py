"""Room that long-running tasks leave for short urgent work, which comes in waves."""

from __future__ import annotations

from ebonyhatch.fleet import rows, tables

LEAST_SHARE = 0.12
"""Share of a pool that long-running tasks leave while no short work was seen: they come first on
a new fleet, stay for minutes, and can't be taken back."""

PEAK_FACTOR = 1.3
"""Times the recent peak of short work that is kept; waves grow by about half within seconds."""

MOST_SHARE = 0.2
"""Most of a pool that is kept, however high the peak was."""

PEAK_HALF_LIFE_S = 30.0
"""Time in which a past peak counts half, seconds."""


class Reserve:
    """Follows the demand of short work by pool. Answers waves of short work on a full fleet."""

    def __init__(self, *, all_tables: tables.Tables) -> None:
        self._tables = all_tables
        self._peaks: dict[str, float] = {}
        self._kept: set[str] = set()

    def observe(self, *, elapsed_s: float) -> None:
        """Take in the present demand."""
        demand: dict[str, int] = {}
        for row in self._tables.targets.values():
            for run in row.runs.values():
                _add(demand, run.task.step, 1)
        for step in self._tables.waiting.values():
            _add(demand, step, len(step.waiting))
        fading = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
        for pool in {*self._peaks, *demand}:
            faded = self._peaks.get(pool, 0.0) * fading
            self._peaks[pool] = max(faded, float(demand.get(pool, 0)))

    def begin_pass(self) -> None:
        """Choose the targets that are kept: those with the least long-running work.

        Whole targets are kept, since room that is spread in pieces holds no wide or large task.
        """
        self._kept.clear()
        pools: dict[str, list[rows.TargetRow]] = {}
        for row in self._tables.targets.values():
            if row.listed and not row.target.draining:
                pools.setdefault(row.target.pool, []).append(row)
        for pool, members in pools.items():
            total = sum(row.target.cpu_millis for row in members)
            wanted = PEAK_FACTOR * self._peaks.get(pool, 0.0)
            left = min(MOST_SHARE * total, max(LEAST_SHARE * total, wanted))
            for row in sorted(members, key=lambda row: (row.lasting_cpu, row.target_id)):
                if left <= 0:
                    break
                self._kept.add(row.target_id)
                left -= row.target.cpu_millis

    def keeps(self, row: rows.TargetRow) -> bool:
        """Tell whether a target is kept free of long-running work."""
        return row.target_id in self._kept

    def allows(self, task: rows.TaskRow, row: rows.TargetRow) -> bool:
        """Tell whether a task may go to a target.

        A long-running task that ran before is never kept waiting: it is missing where it is
        needed.
        """
        return not task.step.step.long_running or bool(task.last_run) or not self.keeps(row)


def _is_short(step: rows.StepRow) -> bool:
    return not (step.step.long_running or step.step.filler)


def _add(demand: dict[str, int], step: rows.StepRow, count: int) -> None:
    if _is_short(step):
        pool = step.job.queue.pool
        demand[pool] = demand.get(pool, 0) + count * step.step.cpu_millis
