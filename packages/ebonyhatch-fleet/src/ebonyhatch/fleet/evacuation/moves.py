"""Moves of lasting runs from evacuated targets to free capacity elsewhere.

A move is a stop, which saves a checkpoint, and a start elsewhere by the usual placement. A task is
away from its stop until it operates again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ebonyhatch.fleet import commands, rows, tables
from ebonyhatch.fleet.constraints import registry
from ebonyhatch.fleet.evacuation import leaving

REASON = "domain-evacuated"

MIN_REMAINING_S = 10.0
"""Remaining time from which a run with checkpoints is moved, seconds: stop, restart and restore take
about a second, which a shorter run would lose for little."""

REVIEW_INTERVAL_S = 0.1
"""Time between two reviews, seconds: a moved task waits for its end and its start for longer."""

MAX_MOVES_PER_REVIEW = 16
"""Maximum number of runs that are stopped in one review. Each looks at all targets, while polls and
renewals of leases wait."""

MAX_REPORT_AGE_S = 3.0
"""Age of a target's report from which its tasks count as away, seconds: well under the 5.5 s after
which a task that isn't running is away for any cause. Targets that answer are polled every 1 to 2 s."""

_Kind = tuple[object, ...]


class Moves:
    """Stops lasting runs on evacuated targets while they fit elsewhere and their step allows it."""

    def __init__(
        self, *, all_tables: tables.Tables, stop: Callable[..., None], decide: commands.Decide
    ) -> None:
        self._tables = all_tables
        self._stop = stop
        self._decide = decide
        self._next_review_at = 0.0

    def review(self, context: registry.Context) -> None:
        """Stops the most urgent runs that fit on other targets, after all waiting tasks."""
        if context.now < self._next_review_at or self._any_shorter_waits():
            return
        self._next_review_at = context.now + REVIEW_INTERVAL_S
        runs = [
            run
            for row in self._tables.targets.values()
            if row.evacuated
            for run in row.runs.values()
        ]
        candidates = [run for run in runs if _is_lasting(run, now=context.now)]
        if not candidates:
            return
        plan = _Plan(all_targets=self._tables.targets.values(), context=context)
        self._plan_tasks_on_their_way(runs, plan)
        budgets = _Budgets(now=context.now)
        moved = 0
        for run in sorted(candidates, key=_urgency):
            step = run.task.step
            if not (budgets.allows(run) and plan.add(step)):
                continue
            self._decide(
                "evacuation.run_moved",
                run,
                domain=run.target.target.failure_domain,
                budget=step.step.disruption_budget,
                away=budgets.away(step),
                percent=run.percent,
            )
            self._stop(run, reason=REASON, now=context.now)
            budgets.note_stop(step)
            moved += 1
            if moved >= MAX_MOVES_PER_REVIEW:
                return

    def _any_shorter_waits(self) -> bool:
        """Returns whether tasks wait that don't last: moved ones would take what is left to them."""
        return any(not step.step.long_running for step in self._tables.waiting.values())

    def _plan_tasks_on_their_way(self, runs: list[rows.RunRow], plan: _Plan) -> None:
        """Plans capacity for the tasks that were stopped before, so that none is given away twice."""
        for run in runs:
            if run.stop_reason == REASON:
                plan.add(run.task.step)
        for step in self._tables.waiting.values():
            if _lasts(step):
                for task in step.waiting.known:
                    if task.last_run and not plan.add(step):
                        break


class _Plan:
    """Free capacity outside the evacuated domains, less that of the moves so far."""

    def __init__(self, *, all_targets: Iterable[rows.TargetRow], context: registry.Context) -> None:
        self._context = context
        self._targets = [
            row
            for row in all_targets
            if row.confirmed and not row.evacuated and row.cold_until <= context.now
        ]
        self._cpu: dict[str, int] = {}
        self._memory: dict[str, int] = {}
        self._accelerators: dict[str, int] = {}
        self._tasks: dict[tuple[int, str], int] = {}
        self._unfit: set[_Kind] = set()

    def add(self, step: rows.StepRow) -> bool:
        """Plans capacity for one more task of a step; returns False if there is none.

        Capacity that is reserved for short work doesn't count for long-running tasks.
        """
        kind = _kind(step)
        if kind in self._unfit:
            return False
        for row in self._targets:
            if self._fits(step, row):
                self._take(step, row.target_id)
                return True
        self._unfit.add(kind)
        return False

    def _fits(self, step: rows.StepRow, row: rows.TargetRow) -> bool:
        spec = step.step
        name = row.target_id
        if not spec.filler and self._cpu.get(name, 0) + spec.cpu_millis > row.free_cpu:
            return False
        if self._memory.get(name, 0) + spec.memory_mb > row.free_memory:
            return False
        if self._accelerators.get(name, 0) + spec.accelerators > row.free_accelerators:
            return False
        if spec.max_per_target:
            planned = self._tasks.get((id(step), name), 0) + step.per_target.get(name, 0)
            if planned >= spec.max_per_target:
                return False
        if spec.long_running and self._context.kept(row):
            return False
        return not registry.failed(step, row, self._context)

    def _take(self, step: rows.StepRow, name: str) -> None:
        spec = step.step
        if not spec.filler:
            self._cpu[name] = self._cpu.get(name, 0) + spec.cpu_millis
        self._memory[name] = self._memory.get(name, 0) + spec.memory_mb
        self._accelerators[name] = self._accelerators.get(name, 0) + spec.accelerators
        key = (id(step), name)
        self._tasks[key] = self._tasks.get(key, 0) + 1


class _Budgets:
    """Number of tasks that are away, by step, in one review."""

    def __init__(self, *, now: float) -> None:
        self._now = now
        self._away: dict[int, int] = {}

    def allows(self, run: rows.RunRow) -> bool:
        """Returns whether fewer other tasks of a run's step are away than its budget says."""
        step = run.task.step
        budget = step.step.disruption_budget
        if not budget:
            return True
        others = self.away(step) - is_away(run.task, now=self._now)
        return others < budget

    def away(self, step: rows.StepRow) -> int:
        """Returns the number of tasks of a step that are away."""
        away = self._away.get(id(step))
        if away is None:
            away = sum(is_away(task, now=self._now) for task in step.tasks.known)
            away += step.tasks.fresh_count
            self._away[id(step)] = away
        return away

    def note_stop(self, step: rows.StepRow) -> None:
        """Counts a task that was stopped now."""
        self._away.pop(id(step), None)


def is_away(task: rows.TaskRow, *, now: float) -> bool:
    """Returns whether a task may be down.

    That is said of each task that isn't known to operate: also of one that is starting, whose target
    doesn't answer, or that never ran. So a new owner stops none before it knows the others.
    """
    if task.state == rows.TaskState.DONE:
        return False
    return not any(_operates(run, now=now) for run in task.runs.values())


def _operates(run: rows.RunRow, *, now: float) -> bool:
    row = run.target
    if run.state != rows.RunState.RUNNING or row.loss is not None or not row.reachable:
        return False
    if now - row.last_report_at > MAX_REPORT_AGE_S:
        return False
    return run.percent >= 100 or not run.task.step.step.long_running


def _is_lasting(run: rows.RunRow, *, now: float) -> bool:
    """Returns whether a run in progress is moved; others may end where they are."""
    step = run.task.step.step
    if run.state != rows.RunState.RUNNING or not _lasts(run.task.step):
        return False
    return step.long_running or leaving.remaining_s(run, now=now) > MIN_REMAINING_S


def _lasts(step: rows.StepRow) -> bool:
    """Returns whether tasks of a step may be moved; members of a gang can't be one by one."""
    return (step.step.long_running or step.step.checkpoints) and not step.step.gang


def _urgency(run: rows.RunRow) -> tuple[int, bool, bool]:
    """Returns the sort key of a run: priority, then serving tasks and long-running ones first."""
    step = run.task.step
    return (step.job.queue.priority, not step.step.tail_limit_s, not step.step.long_running)


def _kind(step: rows.StepRow) -> _Kind:
    """Returns what makes two steps fit on the same targets."""
    spec = step.step
    if spec.max_per_target or spec.filler:
        return (id(step),)
    amounts = (spec.cpu_millis, spec.memory_mb, spec.accelerators)
    queue = step.job.queue
    return (queue.pool, queue.regions, spec.label, spec.long_running, *amounts)
