"""Crashes of targets under tasks: how they are counted, and which task is given up.

A crash takes all runs of its target along. A task that is at fault crashes the next target too; those
beside it don't, once they run on other targets.
"""

from __future__ import annotations

from ebonyhatch.fleet import rows

ISOLATION_CRASHES = 2
"""Number of crashes under a task from which it is isolated from other tasks that saw a crash."""

BLAMED_CRASHES_LIMIT = 2
"""Number of crashes for which a task is blamed after which it is given up."""

CRASHES_LIMIT = 3
"""Number of crashes after which a task is given up that was blamed for one of them."""

TOTAL_CRASHES_LIMIT = 4
"""Number of crashes after which a task is given up in any case."""

PROBATION_S = 2.0
"""Time after its order in which a run of a task that saw a crash is kept apart, seconds."""

ORDERED_TOGETHER_S = 0.05
"""Difference of the times of two orders below which either run may have started last, seconds."""

CLEARED_AFTER_S = 60.0
"""Time after which a run isn't held responsible for a crash, seconds."""


def record_crash(row: rows.TargetRow, *, now: float) -> list[rows.TaskRow]:
    """Counts a crash of a target for the tasks that may have been running there; returns them.

    A task is blamed if its run was the last one that was ordered there; of those that were ordered
    together, the one that saw the most crashes before.
    """
    running = [run for run in row.runs.values() if _may_be_responsible(run, now=now)]
    if not running:
        return []
    last_at = max(run.ordered_at for run in running)
    last = [run for run in running if last_at - run.ordered_at < ORDERED_TOGETHER_S]
    most_crashes = max(run.task.crashes for run in last)
    suspects = [run for run in last if run.task.crashes == most_crashes]
    for run in running:
        run.task.crashes += 1
    if len(suspects) == 1 and last_at:
        suspects[0].task.blamed_crashes += 1
    return [run.task for run in running]


def resolve_trial(task: rows.TaskRow, row: rows.TargetRow | None) -> bool:
    """Ends the trial of a task that no target runs; returns whether its target has crashed.

    Args:
        task: Task with a trial, which a former owner ordered.
        row: The trial's target; None if it is gone.
    """
    trial, task.trial = task.trial, None
    if trial is None:
        return False
    if row is not None and not row.replaced and row.target.born <= trial.born:
        return False
    task.crashes += 1
    task.blamed_crashes += trial.isolated
    return True


def is_given_up(task: rows.TaskRow) -> bool:
    """Returns whether a task must not be started again."""
    return (
        task.blamed_crashes >= BLAMED_CRASHES_LIMIT
        or task.crashes >= TOTAL_CRASHES_LIMIT
        or (task.crashes >= CRASHES_LIMIT and task.blamed_crashes > 0)
    )


def is_isolated(task: rows.TaskRow) -> bool:
    """Returns whether a task must not share a target with others that saw a crash."""
    return task.crashes >= ISOLATION_CRASHES


def note_order(run: rows.RunRow, *, now: float) -> None:
    """Records the order of a run; one of an isolated task keeps other runs off its target."""
    run.ordered_at = now
    if not run.task.crashes:
        return
    isolated = is_isolated(run.task)
    run.target.suspect_until = now + PROBATION_S
    if isolated:
        run.target.isolated_until = now + PROBATION_S
    run.task.trial = rows.Trial(
        run=run.key.run,
        target_id=run.target.target_id,
        born=run.target.target.born,
        isolated=isolated,
    )


def note_end(run: rows.RunRow) -> None:
    """Ends the isolation of a target when the run that it is for has ended."""
    row = run.target
    if not run.task.crashes:
        return
    if run.task.trial is not None and run.task.trial.run == run.key.run:
        run.task.trial = None
    others = [other for other in row.runs.values() if other is not run and other.task.crashes]
    if not others:
        row.suspect_until = 0.0
    if not any(is_isolated(other.task) for other in others):
        row.isolated_until = 0.0


def _may_be_responsible(run: rows.RunRow, *, now: float) -> bool:
    """Returns whether a run may have been on its target at the crash, and not for long.

    An order that has no answer when the crash is seen was sent to a target that was down already.
    """
    recent = not run.started_at or now - run.started_at < CLEARED_AFTER_S
    return run.state != rows.RunState.ORDERED and recent
