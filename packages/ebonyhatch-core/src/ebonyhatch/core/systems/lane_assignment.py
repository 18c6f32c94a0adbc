"""Moves waiting jobs between lanes as the estimates of their run times change."""

from __future__ import annotations

from ebonyhatch.core import rows, tables


def run(state: tables.Tables) -> None:
    """Reclassifies all waiting jobs when the estimates may have changed much."""
    if state.run_times.version == state.lanes_version:
        return
    state.lanes_version = state.run_times.version
    for row in state.jobs.values():
        if row.task is None and not row.parked:
            _reclassify(state, row)


def _reclassify(state: tables.Tables, row: rows.Job) -> None:
    lane = state.lane_of(row)
    if lane is row.lane:
        return
    priority = state.priority_of(row.job.work_class)
    if state.batch_queue.remove(row, priority=priority):
        row.lane = lane
        state.batch_queue.push(row, priority=priority, first=row.attempts > 0)
        state.batch_placement_due = True
