"""Placement of waiting tasks on targets, step by step in their order.

A gang is a step whose tasks make progress only while all of them run; its tasks are its members.
"""

from __future__ import annotations

from collections.abc import Iterable

from ebonyhatch.fleet import commands, interference, ordering, reserve, rows, tables, targets
from ebonyhatch.fleet.constraints import registry

AVOIDED_TARGET_PENALTY = 5.0
"""Penalty of the target where the task's last run failed: it is used only if no other target has
free capacity."""


class Placement:
    """Reserves capacity for waiting tasks and orders their runs.

    Attributes:
        run_number_base: Number above which the runs of this term are numbered.
        orders_held_back: Whether the last placement stopped at its limit of orders.
    """

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        model: interference.InterferenceModel,
        reserved: reserve.Reserve,
        emit: commands.Emit,
        decide: commands.Decide,
    ) -> None:
        self._model = model
        self._reserve = reserved
        self._tables = all_tables
        self._emit = emit
        self._decide = decide
        self.run_number_base = 0
        self.orders_held_back = False
        self._orders_left = 0
        self._blocked_tasks: frozenset[str] = frozenset()

    def place(
        self,
        *,
        now: float,
        wall: float,
        reconciled: bool,
        blocked_tasks: frozenset[str],
        order_limit: int,
    ) -> None:
        """Places the tasks that fit, in the order of the steps.

        Args:
            now: Time on the scheduler's clock, seconds.
            wall: Time of day, seconds since 1970.
            reconciled: Whether the runs of a former owner are known, except those of
                `blocked_tasks`.
            blocked_tasks: Tasks that may still run on a target without a status report.
            order_limit: Number of runs after which no more are ordered; a gang isn't divided.
        """
        self._blocked_tasks = blocked_tasks
        self._orders_left = order_limit
        self.orders_held_back = False
        self._tables.drop_empty_steps()
        steps = [
            step for step in self._tables.waiting.values() if self._may_place(step, reconciled)
        ]
        steps.sort(key=lambda step: ordering.key(step, wall=wall))
        self._reserve.choose_targets()
        context = self.context(now)
        for step in steps:
            if self._orders_left <= 0:
                self.orders_held_back = True
                return
            if step.step.gang:
                self._place_gang(step, context)
            else:
                self._place_tasks(step, context)
            if not step.waiting:
                self._tables.waiting.pop(id(step), None)

    def context(self, now: float) -> registry.Context:
        """Returns the context of the constraints at a time in seconds."""
        return registry.Context(now=now, tails=self._model, kept=self._reserve.is_reserved)

    def order_run(self, task: rows.TaskRow, row: rows.TargetRow, *, run: int, now: float) -> None:
        """Reserves capacity for a run of a task and orders it."""
        self._orders_left -= 1
        task.state = rows.TaskState.PLACED
        task.last_run = run
        run_row = rows.RunRow(
            key=targets.RunKey(task=task.name, run=run),
            task=task,
            target=row,
            progressed_at=now,
        )
        tables.reserve(run_row)
        self._decide("run.order", run_row, waited_s=round(now - task.waiting_since, 3))
        self._emit(commands.StartRun(run=run_row))

    def next_run_number(self, tasks: Iterable[rows.TaskRow]) -> int:
        """Returns a number above that of every run of the tasks that any owner may have ordered."""
        return max(self.run_number_base, *(task.last_run for task in tasks)) + 1

    def _may_place(self, step: rows.StepRow, reconciled: bool) -> bool:
        return reconciled or not step.job.inherited

    def _place_tasks(self, step: rows.StepRow, context: registry.Context) -> None:
        now = context.now
        scores = {
            target_id: registry.score(step, row, context)
            for target_id, row in self._tables.targets.items()
            if not registry.failed(step, row, context)
        }
        deferred = []
        while step.waiting and scores and self._orders_left > 0:
            task = step.waiting.popleft()
            if task.retry_at > now or task.name in self._blocked_tasks:
                deferred.append(task)
                continue
            row = self._tables.targets[_best_target(scores, task)]
            if not self._reserve.allows(task, row):
                deferred.append(task)
                continue
            self.order_run(task, row, run=self.next_run_number([task]), now=now)
            if registry.failed(step, row, context):
                del scores[row.target_id]
            else:
                scores[row.target_id] = registry.score(step, row, context)
        step.waiting.extendleft(reversed(deferred))

    def _place_gang(self, step: rows.StepRow, context: registry.Context) -> None:
        """Places all members or none, since each member waits for the others."""
        now = context.now
        members = [task for task in step.tasks if task.state != rows.TaskState.DONE]
        waiting = [
            task
            for task in members
            if not task.runs and task.retry_at <= now and task.name not in self._blocked_tasks
        ]
        if len(waiting) < len(members):
            return
        chosen = self._choose_gang_targets(step, len(members), context)
        if not chosen:
            return
        run = self.next_run_number(members)
        step.waiting.clear()
        for task, row in zip(members, chosen, strict=True):
            self.order_run(task, row, run=run, now=now)

    def _choose_gang_targets(
        self, step: rows.StepRow, count: int, context: registry.Context
    ) -> list[rows.TargetRow]:
        """Returns a target for each member, within one rack if that is faster and possible."""
        all_targets = list(self._tables.targets.values())
        if step.step.same_rack:
            racks = sorted({row.target.rack for row in all_targets})
            for rack in racks:
                rack_targets = [row for row in all_targets if row.target.rack == rack]
                chosen = _choose_for_all(step, rack_targets, count, context)
                if chosen:
                    return chosen
        return _choose_for_all(step, all_targets, count, context)


def _best_target(scores: dict[str, float], task: rows.TaskRow) -> str:
    if not task.avoid_target:
        return max(scores, key=scores.__getitem__)
    return max(
        scores, key=lambda name: scores[name] - AVOIDED_TARGET_PENALTY * (name == task.avoid_target)
    )


def _choose_for_all(
    step: rows.StepRow, candidates: list[rows.TargetRow], count: int, context: registry.Context
) -> list[rows.TargetRow]:
    """Returns targets that can hold all members together; empty if they can't."""
    spec = step.step
    chosen: list[rows.TargetRow] = []
    allowed = [row for row in candidates if not registry.failed(step, row, context)]
    for row in sorted(allowed, key=lambda row: -registry.score(step, row, context)):
        fits = [count - len(chosen)]
        for demand, free in (
            (spec.cpu_millis, row.free_cpu),
            (spec.memory_mb, row.free_memory),
            (spec.accelerators, row.free_accelerators),
        ):
            if demand:
                fits.append(free // demand)
        if spec.max_per_target:
            fits.append(spec.max_per_target - step.per_target.get(row.target_id, 0))
        chosen.extend([row] * max(0, min(fits)))
        if len(chosen) == count:
            return chosen
    return []
