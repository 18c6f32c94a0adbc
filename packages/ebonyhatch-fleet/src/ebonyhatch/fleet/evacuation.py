"""Saving work from targets that are about to leave.

What still runs on a target when it leaves is lost, and is missed only once the lease there has
lapsed. So a run that would not end in time is stopped while it can go elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import rows, tables
from ebonyhatch.fleet.constraints import registry

REASON = "target-leaves"

LEAST_STAY_S = 2.0
"""Time for which a target stays that doesn't tell how long, seconds; the contract's least."""

STOP_TIME_S = 0.5
"""Time that a stop and the listing of its end may take, seconds."""


class Evacuation:
    """Stops runs on leaving targets, no more than have room on others."""

    def __init__(self, *, all_tables: tables.Tables, stop: Callable[..., None]) -> None:
        self._tables = all_tables
        self._stop = stop
        self._planned_cpu: dict[str, int] = {}
        self._planned_memory: dict[str, int] = {}

    def review(self, context: registry.Context) -> None:
        """Stop what would be lost and can go elsewhere."""
        leaving = [row for row in self._tables.targets.values() if row.leaves_at and row.runs]
        if not leaving:
            return
        self._planned_cpu.clear()
        self._planned_memory.clear()
        for row in leaving:
            for run in row.runs.values():
                if run.stop_reason == REASON:
                    self._plan(run, context)
        for row in leaving:
            for run in list(row.runs.values()):
                if _would_be_lost(run, now=context.now) and self._plan(run, context):
                    self._stop(run, reason=REASON, now=context.now)

    def _plan(self, run: rows.RunRow, context: registry.Context) -> bool:
        """Count the room that a run will take elsewhere; False where there is none.

        Room that is kept for short work is none for long-running tasks: their target may stay
        for longer than it says.
        """
        step = run.task.step
        wanted = step.step
        for row in self._tables.targets.values():
            if registry.failed(step, row, context) or (wanted.long_running and context.kept(row)):
                continue
            cpu = self._planned_cpu.get(row.target_id, 0) + wanted.cpu_millis
            memory = self._planned_memory.get(row.target_id, 0) + wanted.memory_mb
            if memory > row.free_memory or (cpu > row.free_cpu and not wanted.filler):
                continue
            if not wanted.filler:
                self._planned_cpu[row.target_id] = cpu
            self._planned_memory[row.target_id] = memory
            return True
        return False


def _would_be_lost(run: rows.RunRow, *, now: float) -> bool:
    """Tell whether a run is better stopped now than left to its target's end."""
    step = run.task.step.step
    if run.state != rows.RunState.RUNNING or step.gang:
        return False
    if step.long_running:
        return True
    left_s = run.target.leaves_at - now - STOP_TIME_S
    return left_s > 0 and _rest_s(run, now=now) > left_s


def _rest_s(run: rows.RunRow, *, now: float) -> float:
    """Estimate how long a run still takes: by its progress, or as expected before it shows any."""
    if run.percent <= 0:
        return max(0.0, run.task.step.expected_s - (now - run.started_at))
    worked_s = run.progressed_at - run.started_at
    return worked_s * (100 - run.percent) / run.percent - (now - run.progressed_at)
