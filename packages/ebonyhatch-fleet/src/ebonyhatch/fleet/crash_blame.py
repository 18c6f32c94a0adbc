"""Crashes of targets under tasks: how they are counted, and which task is given up.

A crash takes all runs of its target along. A task that is at fault crashes the next target too; those
beside it don't, once they run on other targets.

Targets that lose power together have a common cause, which is no evidence against any task. Tasks at
fault that run at the same time crash several targets at once too: each of these then has a suspect
that had just started, while a common cause also takes targets without one.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterable, Sequence

from ebonyhatch.fleet import rows

ISOLATION_CRASHES = 2
"""Number of crashes under a task from which it is isolated from other tasks that saw a crash."""

BLAMED_CRASHES_LIMIT = 2
"""Number of crashes for which a task is blamed after which it is given up."""

CRASHES_LIMIT = 3
"""Number of crashes after which a task is given up that was blamed for one of them."""

TOTAL_CRASHES_LIMIT = 4
"""Number of crashes after which a task is given up in any case."""

SHARED_CRASHES_LIMIT = ISOLATION_CRASHES
"""Number of crashes up to which those of several targets at one moment count, unless a suspect had
just started: they make a task a suspect, but are no reason to give it up."""

JOINT_LOSS_TARGETS = 2
"""Number of other targets lost at the same moment from which a crash is one of several, and number of
targets without a suspect of their own among all of them from which it has a common cause."""

SAME_MOMENT_S = 0.1
"""Time between two losses up to which they count as one moment, seconds."""

SUDDEN_CRASH_S = 0.25
"""Time from the start of a suspect to the last sign of life of its target below which the suspect
explains the loss, seconds."""

LOSS_KEPT_S = 60.0
"""Time for which the loss of a target that has crashed is kept, seconds: longer than targets lost at
one moment take to be back one after the other."""

PROBATION_S = 2.0
"""Time after its order in which a run of a task that saw a crash is kept apart, and after its start in
which a crash of its target is evidence against it, seconds."""

ORDERED_TOGETHER_S = 0.05
"""Difference of the times of two orders below which either run may have started last, seconds."""

SURVIVAL_POLL_S = SUDDEN_CRASH_S + 0.1
"""Time after the start of a suspect at which its target is polled, seconds: an answer shows that the
suspect didn't crash it at once."""

CLEARED_AFTER_S = 60.0
"""Time after which a run isn't held responsible for a crash, seconds."""


class JointLoss(enum.Enum):
    """Whether a target was lost together with others.

    `SUSPECTS` stands for targets that had a suspect each, which had just started there.
    """

    ALONE = "alone"
    SUSPECTS = "suspects"
    COMMON_CAUSE = "common-cause"


class LossHistory:
    """Losses of targets that are back or gone, for those lost together with them and back later.

    A target that crashed answers again, or is replaced by one with another id, before the others; one
    without runs is removed when its registration has expired.
    """

    def __init__(self) -> None:
        self._ended: collections.deque[rows.Loss] = collections.deque()

    def record(
        self, row: rows.TargetRow, all_targets: Iterable[rows.TargetRow], *, now: float
    ) -> JointLoss:
        """Records the loss of a target that is known to have crashed.

        Returns:
            Whether it was lost together with others, and whether suspects explain that.
        """
        while self._ended and now - self._ended[0].by_s > LOSS_KEPT_S:
            self._ended.popleft()
        if row.loss is None:
            return JointLoss.ALONE
        self._end(row, row.loss)
        return self._joint_loss(row.loss, all_targets)

    def note_removal(self, row: rows.TargetRow) -> None:
        """Notes a target that is removed; one that doesn't answer then was lost."""
        if row.loss is not None:
            self._end(row, row.loss)

    def _end(self, row: rows.TargetRow, loss: rows.Loss) -> None:
        if not loss.ended:
            loss.ended = True
            loss.explained = _is_explained(row, loss)
            self._ended.append(loss)

    def _joint_loss(self, loss: rows.Loss, all_targets: Iterable[rows.TargetRow]) -> JointLoss:
        together = 0
        unexplained = int(not loss.explained)
        for other in self._ended:
            if other is not loss and _overlap(loss, other):
                together += 1
                unexplained += not other.explained
        for silent in all_targets:
            if silent.loss is None or silent.loss.ended or not _overlap(loss, silent.loss):
                continue
            together += 1
            unexplained += not _is_explained(silent, silent.loss)
        if together < JOINT_LOSS_TARGETS:
            return JointLoss.ALONE
        if unexplained < JOINT_LOSS_TARGETS:
            return JointLoss.SUSPECTS
        return JointLoss.COMMON_CAUSE


def note_losses(restarted: Iterable[rows.TargetRow], *, now: float) -> None:
    """Notes the losses of targets that a listing shows to have restarted before any poll failed.

    All are noted before the first crash is recorded, so that those lost at one moment are known.
    """
    for row in restarted:
        if row.loss is None:
            row.loss = rows.Loss(from_s=row.last_report_at, by_s=now)


def record_crash(
    row: rows.TargetRow, *, now: float, joint: JointLoss = JointLoss.ALONE
) -> list[rows.TaskRow]:
    """Counts a crash of a target for the tasks that may have been running there; returns them.

    A task is blamed if its run was the last one that was ordered there; of those that were ordered
    together, the one that saw the most crashes before. Nobody is blamed for a common cause, nor for
    the crash of a target on which its run outlived its probation.
    """
    running = [run for run in row.runs.values() if _may_be_responsible(run, now=now)]
    if not running:
        return []
    last_at = max(run.ordered_at for run in running)
    last = [run for run in running if last_at - run.ordered_at < ORDERED_TOGETHER_S]
    most_crashes = max(run.task.crashes for run in last)
    suspects = [run for run in last if run.task.crashes == most_crashes]
    for run in running:
        # Beside the only run there no other task can be at fault.
        sole = joint == JointLoss.SUSPECTS and len(running) == 1
        sudden = joint == JointLoss.COMMON_CAUSE and _is_sudden(run, row.loss)
        _count_crash(run.task, in_full=joint == JointLoss.ALONE or sole or sudden)
    blame = len(suspects) == 1 and last_at and joint != JointLoss.COMMON_CAUSE
    if blame and not _outlived_probation(suspects[0], row.loss):
        suspects[0].task.blamed_crashes += 1
    return [run.task for run in running]


def resolve_trial(task: rows.TaskRow, row: rows.TargetRow | None) -> rows.Trial | None:
    """Ends the trial of a task that no target runs; returns it if its target has crashed.

    Args:
        task: Task with a trial, which a former owner ordered.
        row: The trial's target; None if it is gone.
    """
    trial, task.trial = task.trial, None
    if trial is None:
        return None
    if row is not None and not row.replaced and row.target.born <= trial.born:
        return None
    return trial


def record_unseen_crashes(
    crashed: Sequence[tuple[rows.TaskRow, rows.Trial]],
) -> dict[str, JointLoss]:
    """Counts the crashes under trials that no owner saw, as `record_crash` does.

    When the targets were lost is unknown, so that all of them count as one moment. Only an isolated
    task explains a loss.

    Returns:
        By target, whether it was lost together with others.
    """
    lost = {trial.target_id for _, trial in crashed}
    unexplained = lost - {trial.target_id for _, trial in crashed if trial.isolated}
    joint = {name: _joint_loss_among(name, lost, unexplained) for name in lost}
    for task, trial in crashed:
        kind = joint[trial.target_id]
        _count_crash(task, in_full=kind == JointLoss.ALONE)
        if trial.isolated and kind != JointLoss.COMMON_CAUSE:
            task.blamed_crashes += 1
    return joint


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

    An order that has no answer when the crash is seen was sent to a target that was down already. A
    run that an earlier crash was counted for, and that no report has shown since, isn't there either.
    """
    recent = not run.started_at or now - run.started_at < CLEARED_AFTER_S
    counted = run.deadline_void and not run.listed_at
    return run.state != rows.RunState.ORDERED and recent and not counted


def _outlived_probation(run: rows.RunRow, loss: rows.Loss | None) -> bool:
    return loss is not None and bool(run.started_at) and loss.from_s - run.started_at > PROBATION_S


def _joint_loss_among(name: str, lost: set[str], unexplained: set[str]) -> JointLoss:
    if len(unexplained - {name}) >= JOINT_LOSS_TARGETS:
        return JointLoss.COMMON_CAUSE
    return JointLoss.SUSPECTS if len(lost) > JOINT_LOSS_TARGETS else JointLoss.ALONE


def _count_crash(task: rows.TaskRow, *, in_full: bool) -> None:
    """Counts a crash; one that isn't counted in full only makes the task a suspect."""
    if in_full:
        task.crashes += 1
    else:
        task.crashes = max(task.crashes, min(task.crashes + 1, SHARED_CRASHES_LIMIT))


def _overlap(one: rows.Loss, other: rows.Loss) -> bool:
    return one.from_s - SAME_MOMENT_S <= other.by_s and other.from_s - SAME_MOMENT_S <= one.by_s


def _is_explained(row: rows.TargetRow, loss: rows.Loss) -> bool:
    """Returns whether a suspect had just started on a target when it was lost.

    This is determined once, before the target's runs are released: the crash of another target that
    was lost at the same moment may be found later.
    """
    if loss.explained is None:
        loss.explained = any(_is_sudden(run, loss) for run in row.runs.values())
    return loss.explained


def _is_sudden(run: rows.RunRow, loss: rows.Loss | None) -> bool:
    """Returns whether a run is that of a suspect which had just started when its target was lost."""
    trial = run.task.trial
    return (
        loss is not None
        and trial is not None
        and trial.run == run.key.run
        and bool(run.started_at)
        and loss.from_s - run.started_at < SUDDEN_CRASH_S
    )
