"""Evacuation of targets that are about to leave.

Runs that are still on a target when it leaves are lost, and the loss is noticed only when their
lease expires. A run that would not end in time is therefore stopped while another target has
capacity for it.
"""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import rows, tables
from ebonyhatch.fleet.constraints import registry

REASON = "target-leaves"

MIN_STAY_S = 2.0
"""Stay of a draining target that reports none, seconds: the minimum that the targets' contract
guarantees."""

STOP_DURATION_S = 0.5
"""Time that a stop and the report of its end may take, seconds."""


class Evacuation:
    """Stops runs on leaving targets, no more than fit on other targets."""

    def __init__(self, *, all_tables: tables.Tables, stop: Callable[..., None]) -> None:
        self._tables = all_tables
        self._stop = stop
        self._planned_cpu: dict[str, int] = {}
        self._planned_memory: dict[str, int] = {}

    def review(self, context: registry.Context) -> None:
        """Stops the runs that would be lost and that fit on other targets."""
        leaving = [row for row in self._tables.targets.values() if row.leaves_at and row.runs]
        if not leaving:
            return
        self._planned_cpu.clear()
        self._planned_memory.clear()
        for row in leaving:
            for run in row.runs.values():
                if run.stop_reason == REASON:
                    self._plan_move(run, context)
        for row in leaving:
            for run in list(row.runs.values()):
                if _would_be_lost(run, now=context.now) and self._plan_move(run, context):
                    self._stop(run, reason=REASON, now=context.now)

    def _plan_move(self, run: rows.RunRow, context: registry.Context) -> bool:
        """Plans capacity for a run on another target; returns False if there is none.

        Capacity that is reserved for short work doesn't count for long-running tasks: their target
        may stay for longer than it reports.
        """
        step = run.task.step
        spec = step.step
        for row in self._tables.targets.values():
            if registry.failed(step, row, context) or (spec.long_running and context.kept(row)):
                continue
            planned_cpu = self._planned_cpu.get(row.target_id, 0) + spec.cpu_millis
            planned_memory = self._planned_memory.get(row.target_id, 0) + spec.memory_mb
            if planned_memory > row.free_memory or (planned_cpu > row.free_cpu and not spec.filler):
                continue
            if not spec.filler:
                self._planned_cpu[row.target_id] = planned_cpu
            self._planned_memory[row.target_id] = planned_memory
            return True
        return False


def _would_be_lost(run: rows.RunRow, *, now: float) -> bool:
    """Returns whether stopping a run now is better than leaving it until its target leaves."""
    step = run.task.step.step
    if run.state != rows.RunState.RUNNING or step.gang:
        return False
    if step.long_running:
        return True
    stay_s = run.target.leaves_at - now - STOP_DURATION_S
    return stay_s > 0 and remaining_s(run, now=now) > stay_s


def remaining_s(run: rows.RunRow, *, now: float) -> float:
    """Returns the estimated remaining time of a run, seconds.

    The estimate follows from its progress, or from the expected run time before there is any.
    """
    if run.percent <= 0:
        return max(0.0, run.task.step.expected_s - (now - run.started_at))
    worked_s = run.progressed_at - run.started_at
    return worked_s * (100 - run.percent) / run.percent - (now - run.progressed_at)
