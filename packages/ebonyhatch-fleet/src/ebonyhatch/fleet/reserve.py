"""Room that long-running tasks leave for short urgent work, which comes in waves."""

from __future__ import annotations

import dataclasses

from ebonyhatch.fleet import rows, tables

LEAST_SHARE = 0.08
"""Share of a pool that long-running tasks leave while no short work was seen: they come first on
a new fleet, stay for minutes, and can't be taken back."""

PEAK_FACTOR = 1.3
"""Times the recent peak of short work that is kept; waves grow by about half within seconds."""

MOST_SHARE = 0.2
"""Most of a pool that is kept, however high the peak was."""

PEAK_HALF_LIFE_S = 30.0
"""Time in which a past peak counts half, seconds."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Peak:
    """Peak of the processor time that short work asked for, thousandths of a core."""

    cpu: float = 0.0


class Reserve:
    """Follows the demand of short work by pool. Answers waves of short work on a full fleet."""

    def __init__(self, *, all_tables: tables.Tables) -> None:
        self._tables = all_tables
        self._peaks: dict[str, _Peak] = {}

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
            peak = self._peaks.setdefault(pool, _Peak())
            peak.cpu = max(peak.cpu * fading, demand.get(pool, 0))

    def allows(self, task: rows.TaskRow) -> bool:
        """Tell whether a task leaves enough room.

        One that ran before is never kept waiting: it is missing where it is needed.
        """
        step = task.step
        if not step.step.long_running or task.last_run:
            return True
        pool = step.job.queue.pool
        members = [row for row in self._tables.targets.values() if row.target.pool == pool]
        total = sum(row.target.cpu_millis for row in members)
        short = sum(
            run.task.step.step.cpu_millis
            for row in members
            for run in row.runs.values()
            if _is_short(run.task.step)
        )
        peak = self._peaks.get(pool)
        wanted = PEAK_FACTOR * (0.0 if peak is None else peak.cpu)
        kept = min(MOST_SHARE * total, max(LEAST_SHARE * total, wanted))
        free = sum(row.free_cpu for row in members) + short
        return free - step.step.cpu_millis >= kept


def _is_short(step: rows.StepRow) -> bool:
    return not (step.step.long_running or step.step.filler)


def _add(demand: dict[str, int], step: rows.StepRow, count: int) -> None:
    if _is_short(step):
        pool = step.job.queue.pool
        demand[pool] = demand.get(pool, 0) + count * step.step.cpu_millis
