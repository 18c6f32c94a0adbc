"""Placing waiting tasks on targets, step by step in their order."""

from __future__ import annotations

from collections.abc import Iterable

from ebonyhatch.fleet import commands, ordering, reserve, rows, tables, tails, targets
from ebonyhatch.fleet.constraints import registry

AVOID_COST = 5.0
"""Score that the target of a task's last failure costs: used only when nothing else has room."""


class Placing:
    """Reserves room for waiting tasks and orders their runs."""

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        model: tails.TailModel,
        kept: reserve.Reserve,
        emit: commands.Emit,
        decide: commands.Decide,
    ) -> None:
        self._model = model
        self._reserve = kept
        self._tables = all_tables
        self._emit = emit
        self._decide = decide
        self.run_base = 0
        self._blocked: frozenset[str] = frozenset()

    def place(self, *, now: float, wall: float, settled: bool, blocked: frozenset[str]) -> None:
        """Place what has room, in the order of the steps.

        Args:
            now: The steady time, seconds.
            wall: Time of day, seconds since 1970.
            settled: Runs of a former owner are known, but for those of `blocked`.
            blocked: Tasks that may still run on a target that wasn't heard.
        """
        self._blocked = blocked
        self._tables.drop_settled()
        steps = [step for step in self._tables.waiting.values() if self._may_place(step, settled)]
        steps.sort(key=lambda step: ordering.key(step, wall=wall))
        self._reserve.begin_pass()
        context = self.context(now)
        for step in steps:
            if step.step.gang:
                self._place_gang(step, context)
            else:
                self._place_tasks(step, context)
            if not step.waiting:
                self._tables.waiting.pop(id(step), None)

    def context(self, now: float) -> registry.Context:
        """Give what the constraints need to know, at a time in seconds."""
        return registry.Context(now=now, tails=self._model, kept=self._reserve.keeps)

    def order(self, task: rows.TaskRow, row: rows.TargetRow, *, run: int, now: float) -> None:
        """Reserve room for a run of a task and order it."""
        task.state = rows.TaskState.PLACED
        task.last_run = run
        made = rows.RunRow(
            key=targets.RunKey(task=task.name, run=run),
            task=task,
            target=row,
            progressed_at=now,
        )
        tables.reserve(made)
        self._decide("run.order", made, waited_s=round(now - task.waiting_since, 3))
        self._emit(commands.StartRun(run=made))

    def next_run(self, tasks: Iterable[rows.TaskRow]) -> int:
        """Give a number above every run of the tasks that any owner may have ordered."""
        return max(self.run_base, *(task.last_run for task in tasks)) + 1

    def _may_place(self, step: rows.StepRow, settled: bool) -> bool:
        return settled or not step.job.inherited

    def _place_tasks(self, step: rows.StepRow, context: registry.Context) -> None:
        now = context.now
        scores = {
            target_id: registry.score(step, row, context)
            for target_id, row in self._tables.targets.items()
            if not registry.failed(step, row, context)
        }
        later = []
        while step.waiting and scores:
            task = step.waiting.popleft()
            if task.retry_at > now or task.name in self._blocked:
                later.append(task)
                continue
            row = self._tables.targets[_best(scores, task)]
            if not self._reserve.allows(task, row):
                later.append(task)
                continue
            self.order(task, row, run=self.next_run([task]), now=now)
            if registry.failed(step, row, context):
                del scores[row.target_id]
            else:
                scores[row.target_id] = registry.score(step, row, context)
        step.waiting.extendleft(reversed(later))

    def _place_gang(self, step: rows.StepRow, context: registry.Context) -> None:
        """Place all members or none, since members wait for each other."""
        now = context.now
        members = [task for task in step.tasks if task.state != rows.TaskState.DONE]
        waiting = [
            task
            for task in members
            if not task.runs and task.retry_at <= now and task.name not in self._blocked
        ]
        if len(waiting) < len(members):
            return
        chosen = self._gang_rows(step, len(members), context)
        if not chosen:
            return
        run = self.next_run(members)
        step.waiting.clear()
        for task, row in zip(members, chosen, strict=True):
            self.order(task, row, run=run, now=now)

    def _gang_rows(
        self, step: rows.StepRow, count: int, context: registry.Context
    ) -> list[rows.TargetRow]:
        """Choose a target for each member; within one rack where that is faster and possible."""
        every = list(self._tables.targets.values())
        if step.step.same_rack:
            racks = sorted({row.target.rack for row in every})
            for rack in racks:
                within = [row for row in every if row.target.rack == rack]
                chosen = _fill(step, within, count, context)
                if chosen:
                    return chosen
        return _fill(step, every, count, context)


def _best(scores: dict[str, float], task: rows.TaskRow) -> str:
    if not task.avoid:
        return max(scores, key=scores.__getitem__)
    return max(scores, key=lambda name: scores[name] - AVOID_COST * (name == task.avoid))


def _fill(
    step: rows.StepRow, candidates: list[rows.TargetRow], count: int, context: registry.Context
) -> list[rows.TargetRow]:
    """Choose targets that hold all members together; empty when they can't."""
    wanted = step.step
    chosen: list[rows.TargetRow] = []
    allowed = [row for row in candidates if not registry.failed(step, row, context)]
    for row in sorted(allowed, key=lambda row: -registry.score(step, row, context)):
        fits = [count - len(chosen)]
        for want, free in (
            (wanted.cpu_millis, row.free_cpu),
            (wanted.memory_mb, row.free_memory),
            (wanted.accelerators, row.free_accelerators),
        ):
            if want:
                fits.append(free // want)
        if wanted.max_per_target:
            fits.append(wanted.max_per_target - step.per_target.get(row.target_id, 0))
        chosen.extend([row] * max(0, min(fits)))
        if len(chosen) == count:
            return chosen
    return []
