"""Runs in progress on a target, for tests of decisions that depend on them."""

from __future__ import annotations

from ebonyhatch.fleet import rows, tables, targets


def run_on(row: rows.TargetRow, step: rows.StepRow, index: int) -> rows.RunRow:
    """Returns the first run of a task of a step, in progress on a target."""
    task = step.tasks[index]
    run = rows.RunRow(
        key=targets.RunKey(task=task.name, run=1),
        task=task,
        target=row,
        state=rows.RunState.RUNNING,
    )
    tables.reserve(run)
    return run
