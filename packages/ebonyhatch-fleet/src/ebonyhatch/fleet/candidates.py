"""Targets that one pass of placement may use, ranked once for all steps that rank them alike.

Within a pass runs are only added, so that free capacity and the scores of short steps only decrease.
"""

from __future__ import annotations

import heapq
import itertools

from ebonyhatch.fleet import jobs, rows, target_index, waiting_steps
from ebonyhatch.fleet.constraints import registry, resource_fit, usable
from ebonyhatch.fleet.lookahead import policy as policy_module

_Amounts = tuple[int, int, int]

_Kind = tuple[str, str, bool, str, tuple[str, ...]]

MAX_REJECTED_AMOUNTS = 32
"""Number of rejected amounts that are remembered for each kind of step; each step of the kind is compared
with them."""

HELD_TARGET_SCORE = 5.0
"""Score of a target that is reserved for the step: above the scores of free capacity, so that the
reservation is used first."""

_CHECKED: frozenset[registry.Predicate] = frozenset({usable.is_usable, resource_fit.has_capacity})
"""Predicates that hold for the usable targets with free capacity."""


class Candidates:
    """Usable targets in the order of the table, and what is known not to fit on any of them."""

    def __init__(
        self,
        *,
        index: target_index.TargetIndex,
        step: rows.StepRow,
        context: registry.Context,
        policy: policy_module.Policy | None = None,
    ) -> None:
        self._context = context
        self._policy = policy or policy_module.Policy()
        self._index = index
        self._step = step
        index.refresh(step, context)
        self._pools: dict[str, list[rows.TargetRow]] = {}
        self._free_cpu: tuple[dict[str, float], dict[str, float]] = ({}, {})
        for pool in index.pools():
            self._look(pool, False)
            self._look(pool, True)
        self._least_cpu: dict[tuple[str, bool], int] = {}
        self._rankings: dict[target_index.RankingKey, list[target_index.Entry]] = {}
        self._beside: list[rows.StepRow] = []
        self._set_aside: dict[target_index.RankingKey, list[rows.TargetRow]] = {}
        self._rejected: dict[_Kind, list[_Amounts]] = {}
        self._examined = 0

    @property
    def examined(self) -> int:
        """Number of targets that were examined for single steps so far."""
        return self._examined

    def targets(self, pool: str) -> list[rows.TargetRow]:
        """Returns the usable targets of a pool."""
        pool_targets = self._pools.get(pool)
        if pool_targets is None:
            pool_targets = self._pools[pool] = self._index.targets(pool)
        return pool_targets

    def scores(self, step: rows.StepRow, selection: registry.Selection) -> dict[str, float]:
        """Returns the scores of the targets that a step may use, by target id."""
        context = self._context
        self._index.refresh(step, context)
        with_processor_time = self._index.targets_with(
            step.job.queue.pool, cpu_millis=step.step.cpu_millis, filler=step.step.filler
        )
        self._examined += len(with_processor_time)
        scores = {
            row.target_id: selection.score(step, row, context)
            for row in with_processor_time
            if resource_fit.has_capacity(step, row, context)
            and selection.allows_beyond(_CHECKED, step, row, context)
        }
        if self._policy.restricts:
            for row in with_processor_time:
                if row.target_id in scores and not self._policy.may_use(step, row):
                    del scores[row.target_id]
            for row in self._policy.reserved_for(step):
                if row.target_id in scores:
                    scores[row.target_id] += HELD_TARGET_SCORE
        return scores

    def targets_for_gang(self, step: rows.StepRow) -> list[rows.TargetRow]:
        """Returns the usable targets among which those of a gang's members are chosen."""
        pool_targets = self.targets(step.job.queue.pool)
        self._examined += len(pool_targets)
        if self._policy.restricts:
            return [row for row in pool_targets if self._policy.may_use(step, row)]
        return pool_targets

    def may_fit(self, step: rows.StepRow) -> bool:
        """Returns False if no target had enough free processor time when last looked at."""
        spec = step.step
        return spec.cpu_millis <= self._free_cpu[spec.filler].get(step.job.queue.pool, -1)

    def fitting(
        self, waiting: waiting_steps.WaitingSteps, *, reconciled: bool
    ) -> list[rows.StepRow]:
        """Returns the steps that may fit; the pass may place no others.

        Args:
            waiting: All steps with waiting tasks.
            reconciled: Whether those of inherited jobs may be placed.
        """
        free_cpu, leftover_cpu = self._free_cpu
        if self._policy.restricts:
            reserved = {row.target_id for row in self._policy.reserved_targets}
            beside_cpu = {
                pool: self._index.most_free_cpu_beside(pool, reserved)
                for pool in self._index.pools()
            }
            if not self._policy.backfill_due():
                free_cpu = beside_cpu
        fitting = [
            step
            for step in waiting.fitting(free_cpu=free_cpu, leftover_cpu=leftover_cpu)
            if reconciled or not step.job.inherited
        ]
        if self._policy.restricts:
            fitting, self._beside = self._part(fitting, beside_cpu)
        for step in itertools.chain(fitting, self._beside):
            key = (step.job.queue.pool, step.step.filler)
            cpu_millis = step.step.cpu_millis
            if cpu_millis < self._least_cpu.get(key, cpu_millis + 1):
                self._least_cpu[key] = cpu_millis
        return fitting

    @property
    def beside(self) -> list[rows.StepRow]:
        """Steps that hold targets, and some of those that fit on reserved targets only."""
        return self._beside

    def _part(
        self, fitting: list[rows.StepRow], free_cpu: dict[str, float]
    ) -> tuple[list[rows.StepRow], list[rows.StepRow]]:
        """Returns the steps that may fit on targets that aren't reserved, and some of the others."""
        main, others = [], []
        for step in fitting:
            if step.step.filler or step.step.cpu_millis <= free_cpu[step.job.queue.pool]:
                main.append(step)
            else:
                others.append(step)
        held = self._policy.holding_steps
        beside = {id(step): step for step in (*held, *self._policy.choose_beside(others))}
        return main, list(beside.values())

    def exhausted(self) -> bool:
        """Looks at all targets again; returns whether the least demand of each pool fits nowhere.

        Reserved targets don't count: they are left to their holders and to backfill.
        """
        self._index.refresh(self._step, self._context)
        ignored = {row.target_id for row in self._policy.reserved_targets}
        if not ignored:
            return all(
                cpu_millis > self._look(pool, filler)
                for (pool, filler), cpu_millis in self._least_cpu.items()
            )
        for pool, filler in self._least_cpu:
            self._look(pool, filler)
        return all(
            cpu_millis
            > (
                self._free_cpu[True].get(pool, -1)
                if filler
                else self._index.most_free_cpu_beside(pool, ignored)
            )
            for (pool, filler), cpu_millis in self._least_cpu.items()
        )

    def reject(self, step: rows.StepRow) -> None:
        """Records that no target allows a step for a reason that holds for the whole pass."""
        if step.step.max_per_target:
            return
        rejected = self._rejected.setdefault(_kind(step), [])
        if len(rejected) < MAX_REJECTED_AMOUNTS:
            rejected.append(_amounts(step.step))

    def rejected(self, step: rows.StepRow) -> bool:
        """Returns whether a step asks for at least as much as one that no target allows.

        A reserved target may allow it all the same.
        """
        return self._asks_too_much(step) and not (
            self._policy.restricts and self._policy.may_backfill(step)
        )

    def _asks_too_much(self, step: rows.StepRow) -> bool:
        cpu_millis, memory_mb, accelerators = _amounts(step.step)
        return any(
            cpu_millis >= amounts[0] and memory_mb >= amounts[1] and accelerators >= amounts[2]
            for amounts in self._rejected.get(_kind(step), ())
        )

    def best(self, step: rows.StepRow, selection: registry.Selection) -> rows.TargetRow | None:
        """Returns the allowed target with the best score, the first of equals; None if none is.

        The step must be one for which `ranks_alike` holds.
        """
        restricted = None
        if self._policy.restricts:
            restricted = self._policy.restricted
            held = self._held(step, selection)
            if held is not None:
                return held
            if self._asks_too_much(step):
                return self._best_of(self._policy.reserved_targets, step, selection)
        ranking = self._ranking(step, selection)
        least_cpu = self._least_cpu[(step.job.queue.pool, False)]
        too_small = []
        best = None
        while ranking:
            cost, position, row = ranking[0]
            if row.closed_until > self._context.now:
                heapq.heappop(ranking)
                continue
            present_cost = -selection.score(step, row, self._context)
            if present_cost != cost:
                heapq.heapreplace(ranking, (present_cost, position, row))
            elif resource_fit.has_capacity(step, row, self._context):
                if restricted is not None and row.target_id in restricted:
                    # For the whole pass, so that each ranking meets it once.
                    heapq.heappop(ranking)
                    self._set_aside.setdefault(target_index.ranking_key(step), []).append(row)
                    continue
                best = row
                break
            elif row.free_cpu < least_cpu:
                heapq.heappop(ranking)
            else:
                too_small.append(heapq.heappop(ranking))
        self._examined += 1 + len(too_small)
        for entry in too_small:
            heapq.heappush(ranking, entry)
        if best is None and restricted is not None:
            set_aside = self._set_aside.get(target_index.ranking_key(step), [])
            best = self._best_of(set_aside, step, selection)
        return best

    def _held(self, step: rows.StepRow, selection: registry.Selection) -> rows.TargetRow | None:
        """Returns a target that is reserved for a step and has capacity for it."""
        for row in self._policy.reserved_for(step):
            if selection.allows(step, row, self._context):
                return row
        return None

    def _best_of(
        self, some: list[rows.TargetRow], step: rows.StepRow, selection: registry.Selection
    ) -> rows.TargetRow | None:
        """Returns the best of some reserved or kept targets that a step may use, or None."""
        allowed = [
            row
            for row in some
            if selection.allows(step, row, self._context) and self._policy.may_use(step, row)
        ]
        return max(allowed, key=lambda row: selection.score(step, row, self._context), default=None)

    def _ranking(
        self, step: rows.StepRow, selection: registry.Selection
    ) -> list[target_index.Entry]:
        """Returns the targets as a heap; a sorted list is one."""
        key = target_index.ranking_key(step)
        ranking = self._rankings.get(key)
        if ranking is None:
            self._index.refresh(step, self._context)
            ranking = self._rankings[key] = self._index.ranking(step, selection, self._context)
        return ranking

    def _look(self, pool: str, filler: bool) -> float:
        """Returns the most free processor time that a target of a pool has, and remembers it."""
        if filler:
            free_cpu = self._index.most_leftover_cpu(pool)
        else:
            free_cpu = self._index.most_free_cpu(pool)
        self._free_cpu[filler][pool] = free_cpu
        return free_cpu


def ranks_alike(step: jobs.Step) -> bool:
    """Returns whether targets rank for a step as for all short steps of its pool, label and rack."""
    return not (step.filler or step.long_running or step.tail_limit_s or step.max_per_target)


def _kind(step: rows.StepRow) -> _Kind:
    spec = step.step
    image = spec.image if spec.filler else ""
    queue = step.job.queue
    return (queue.pool, spec.label, spec.filler, image, queue.regions)


def _amounts(step: jobs.Step) -> _Amounts:
    return (step.cpu_millis, step.memory_mb, step.accelerators)
