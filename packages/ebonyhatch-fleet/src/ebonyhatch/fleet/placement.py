"""Placement of waiting tasks on targets, step by step in their order.

A gang is a step whose tasks make progress only while all of them run; its tasks are its members.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from ebonyhatch.fleet import (
    candidates,
    commands,
    crash_blame,
    interference,
    ordering,
    reserve,
    rows,
    tables,
    target_index,
    targets,
)
from ebonyhatch.fleet.constraints import registry
from ebonyhatch.fleet.lookahead import policy as policy_module

AVOIDED_TARGET_PENALTY = 5.0
"""Penalty of the target where the task's last run failed: it is used only if no other target has
free capacity."""

MAX_ORDERS_PER_PASS = 64
"""Number of orders after which a pass places no further step. Polls and renewals of leases wait
while a pass runs."""

MAX_RUNS_PER_JOB = 1_000
"""Largest number of runs of a job with which a short task is started: when it is cancelled, all of them
have to be stopped within seconds."""

MAX_EXAMINED_PER_PASS = 25_000
"""Number of targets that a pass examines for single steps before it stops. The next pass goes on with the
steps that it didn't reach."""

LOOK_AGAIN_STEPS = 32
"""Number of remaining steps above which the free capacity is looked at again after an order."""


class Placement:
    """Reserves capacity for waiting tasks and orders their runs.

    Attributes:
        run_number_base: Number above which the runs of this term are numbered.
    """

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        model: interference.InterferenceModel,
        reserved: reserve.Reserve,
        emit: commands.Emit,
        decide: commands.Decide,
        mark_urgent: Callable[[rows.JobRow], None],
        policy: policy_module.Policy | None = None,
    ) -> None:
        self._policy = policy or policy_module.Policy()
        self._model = model
        self._margins = interference.KeptMargins(model=model)
        self._reserve = reserved
        self._tables = all_tables
        self._index = target_index.TargetIndex(all_tables=all_tables)
        self._emit = emit
        self._decide = decide
        self._mark_urgent = mark_urgent
        self.run_number_base = 0
        self._blocked_tasks: frozenset[str] = frozenset()
        self._orders_left = MAX_ORDERS_PER_PASS
        self._tried: dict[int, rows.StepRow] = {}

    @property
    def cut_short(self) -> bool:
        """Whether the last pass stopped at one of its limits, so that the next one is due."""
        return self._orders_left <= 0 or bool(self._tried)

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
        self._tables.waiting.drop_empty()
        self._reserve.choose_targets()
        self._orders_left = min(MAX_ORDERS_PER_PASS, order_limit)
        if self._tables.waiting and self._orders_left > 0:
            self._place_steps(self.context(now), wall, reconciled)
        elif not self._tables.waiting:
            self._tried.clear()
            self._policy.clear()

    def context(self, now: float) -> registry.Context:
        """Returns the context of the constraints at a time in seconds, for one pass."""
        self._margins = interference.KeptMargins(model=self._model)
        return registry.Context(now=now, tails=self._margins, kept=self._reserve.is_reserved)

    def order_run(self, task: rows.TaskRow, row: rows.TargetRow, *, run: int, now: float) -> None:
        """Reserves capacity for a run of a task and orders it."""
        self._orders_left -= 1
        is_first = task.last_run == 0
        task.state = rows.TaskState.PLACED
        task.last_run = run
        self._tables.waiting.touch(task.step)
        run_row = rows.RunRow(
            key=targets.RunKey(task=task.name, run=run),
            task=task,
            target=row,
            progressed_at=now,
            is_first=is_first,
        )
        tables.reserve(run_row)
        crash_blame.note_order(run_row, now=now)
        if task.crashes:
            # The next owner has to know where the task ran, if the target crashes meanwhile.
            self._mark_urgent(task.step.job)
        if row.cold_until > now:
            row.full_until = max(row.full_until, now + row.cold_interval_s)
        self._margins.forget(row)
        if self._policy.restricts:
            self._policy.note_order(run_row)
        self._decide(
            "run.order",
            run_row,
            waited_s=round(now - task.waiting_since, 3),
            born=row.target.born or None,
            again=None if is_first else True,
        )
        self._emit(commands.StartRun(run=run_row))

    def next_run_number(self, tasks: Iterable[rows.TaskRow]) -> int:
        """Returns a number above that of every run of the tasks that any owner may have ordered."""
        return max(self.run_number_base, *(task.last_run for task in tasks)) + 1

    def _place_steps(self, context: registry.Context, wall: float, reconciled: bool) -> None:
        """Places steps in their order until nothing fits or the limit of orders is reached."""
        waiting = self._tables.waiting
        usable = candidates.Candidates(
            index=self._index, step=waiting.first(), context=context, policy=self._policy
        )
        self._policy.begin_pass(
            policy_module.Pass(index=self._index, context=context, wall=wall, reconciled=reconciled)
        )
        fitting = usable.fitting(waiting, reconciled=reconciled)
        if self._tried:
            fitting = [step for step in fitting if id(step) not in self._tried]
        orders_seen = self._orders_left
        tried = []
        for number, step in enumerate(ordering.in_order(fitting, wall=wall)):
            self._place_step(step, context, usable)
            if self._orders_left <= 0:
                # Capacity may have become free for steps that were tried before.
                self._tried.clear()
                return
            tried.append(step)
            if usable.examined >= MAX_EXAMINED_PER_PASS:
                self._tried.update((id(step), step) for step in tried)
                return
            if self._orders_left < orders_seen and len(fitting) - number > LOOK_AGAIN_STEPS:
                orders_seen = self._orders_left
                if usable.exhausted():
                    break
        self._tried.clear()
        if self._policy.restricts:
            self._place_beside(usable, context, wall)

    def _place_beside(
        self, usable: candidates.Candidates, context: registry.Context, wall: float
    ) -> None:
        """Places steps that hold targets, and a few that fit on reserved targets only."""
        present = [step for step in usable.beside if step in self._tables.waiting]
        for step in ordering.in_order(present, wall=wall):
            if self._orders_left <= 0:
                return
            self._place_step(step, context, usable)

    def _place_step(
        self, step: rows.StepRow, context: registry.Context, usable: candidates.Candidates
    ) -> None:
        if step.step.gang:
            self._place_gang(step, context, usable)
        else:
            self._place_tasks(step, context, usable)
        if not step.waiting:
            self._tables.waiting.discard(step)

    def _place_tasks(
        self, step: rows.StepRow, context: registry.Context, usable: candidates.Candidates
    ) -> None:
        if not usable.may_fit(step) or usable.rejected(step):
            return
        selection = registry.select(step.step)
        if candidates.ranks_alike(step.step) and not any(
            task.avoid_target or task.crashes for task in step.waiting.known
        ):
            self._place_ranked(step, context, usable, selection)
        else:
            self._place_scored(step, context, usable, selection)

    def _place_ranked(
        self,
        step: rows.StepRow,
        context: registry.Context,
        usable: candidates.Candidates,
        selection: registry.Selection,
    ) -> None:
        """Places tasks of a short step, whose targets are ranked once in a pass."""
        deferred = []
        while step.waiting and self._orders_left > 0 and _may_start(step):
            # The target comes before the task, so that a task which doesn't fit gets no row.
            row = usable.best(step, selection)
            if row is None:
                usable.reject(step)
                break
            while step.waiting:
                task = step.waiting.popleft()
                if task.retry_at > context.now or task.name in self._blocked_tasks:
                    deferred.append(task)
                    continue
                self.order_run(task, row, run=self.next_run_number([task]), now=context.now)
                break
        step.waiting.extendleft(reversed(deferred))

    def _place_scored(
        self,
        step: rows.StepRow,
        context: registry.Context,
        usable: candidates.Candidates,
        selection: registry.Selection,
    ) -> None:
        """Places tasks of a step for which all targets are scored anew."""
        now = context.now
        pool_targets = usable.targets(step.job.queue.pool)
        scores = usable.scores(step, selection)
        if not scores:
            usable.reject(step)
        deferred = []
        new_tasks_rejected = False
        while step.waiting and scores and self._orders_left > 0 and _may_start(step):
            if new_tasks_rejected and not step.waiting.known:
                break
            task = step.waiting.popleft()
            if task.retry_at > now or task.name in self._blocked_tasks:
                deferred.append(task)
                continue
            name = _best_target(scores, task, self._tables.targets, now=now)
            if not name or not self._reserve.allows(task, self._tables.targets[name], pool_targets):
                deferred.append(task)
                new_tasks_rejected = new_tasks_rejected or not (task.last_run or task.crashes)
                continue
            row = self._tables.targets[name]
            self.order_run(task, row, run=self.next_run_number([task]), now=now)
            if selection.allows(step, row, context) and self._policy.may_use(step, row):
                scores[row.target_id] = selection.score(step, row, context)
            else:
                del scores[row.target_id]
        step.waiting.extendleft(reversed(deferred))

    def _place_gang(
        self, step: rows.StepRow, context: registry.Context, usable: candidates.Candidates
    ) -> None:
        """Places all members or none, since each member waits for the others."""
        now = context.now
        if not usable.may_fit(step):
            return
        if len(step.waiting) < step.remaining_count or not _may_start(step):
            return
        members = [task for task in step.tasks if task.state != rows.TaskState.DONE]
        waiting = [
            task
            for task in members
            if not task.runs and task.retry_at <= now and task.name not in self._blocked_tasks
        ]
        if len(waiting) < len(members):
            return
        pool_targets = usable.targets_for_gang(step)
        chosen = _choose_gang_targets(step, pool_targets, len(members), context)
        if not chosen:
            return
        run = self.next_run_number(members)
        step.waiting.clear()
        for task, row in zip(members, chosen, strict=True):
            self.order_run(task, row, run=run, now=now)


def _may_start(step: rows.StepRow) -> bool:
    """Returns whether the number of runs of its job allows another one of a step.

    A gang counts as one: its members are started together.
    """
    return step.step.long_running or step.job.run_count < MAX_RUNS_PER_JOB


def _best_target(
    scores: dict[str, float],
    task: rows.TaskRow,
    all_targets: Mapping[str, rows.TargetRow],
    *,
    now: float,
) -> str:
    """Returns the target with the best score for a task; empty if none is allowed."""
    if not (task.avoid_target or task.crashes):
        return max(scores, key=scores.__getitem__)
    suspects = {name for name in scores if task.crashes and all_targets[name].suspect_until > now}
    isolated = crash_blame.is_isolated(task)
    return max(
        (name for name in scores if not (isolated and name in suspects)),
        key=lambda name: scores[name]
        - AVOIDED_TARGET_PENALTY * (name == task.avoid_target or name in suspects),
        default="",
    )


def _choose_gang_targets(
    step: rows.StepRow, usable: list[rows.TargetRow], count: int, context: registry.Context
) -> list[rows.TargetRow]:
    """Returns a target for each member, within one rack if that is faster and possible."""
    if step.step.same_rack:
        racks = sorted({row.target.rack for row in usable})
        for rack in racks:
            rack_targets = [row for row in usable if row.target.rack == rack]
            chosen = _choose_for_all(step, rack_targets, count, context)
            if chosen:
                return chosen
    return _choose_for_all(step, usable, count, context)


def _choose_for_all(
    step: rows.StepRow, usable: list[rows.TargetRow], count: int, context: registry.Context
) -> list[rows.TargetRow]:
    """Returns targets that can hold all members together; empty if they can't."""
    spec = step.step
    chosen: list[rows.TargetRow] = []
    selection = registry.select(spec)
    allowed = [row for row in usable if selection.allows(step, row, context)]
    for row in sorted(allowed, key=lambda row: -selection.score(step, row, context)):
        fits = [count - len(chosen)]
        if row.cold_until > context.now:
            fits.append(1)
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
