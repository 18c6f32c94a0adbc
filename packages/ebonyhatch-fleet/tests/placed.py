"""Runs that are under way on a target, for tests of what is decided beside them."""

from __future__ import annotations

from ebonyhatch.fleet import rows, tables, targets


def run_on(row: rows.TargetRow, step: rows.StepRow, index: int) -> rows.RunRow:
    """Put a task of a step on a target, as its first run."""
    task = step.tasks[index]
    run = rows.RunRow(
        key=targets.RunKey(task=task.name, run=1),
        task=task,
        target=row,
        state=rows.RunState.RUNNING,
    )
    tables.reserve(run)
    return run
