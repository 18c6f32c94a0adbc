"""Policies of placement: which targets a waiting step leaves to others.

A policy restricts the use of targets only; constraints, the order of steps and the reserve for short
work apply under each of them.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

import msgspec
from ebonyhatch.core import errors
from ebonyhatch.fleet import commands, graph, jobs, ordering, rows, run_times, tables, target_index
from ebonyhatch.fleet.constraints import registry, resource_fit, usable
from ebonyhatch.fleet.lookahead import forecast, holders, reservations

DEFAULT = "greedy"
"""Name of the policy that restricts nothing."""

REVIEW_INTERVAL_S = 0.25
"""Time between two reviews of the waiting steps, and of the forecast of a reservation, seconds: short
against the forecast waits, and long against a tick, so that the work is spread over many ticks."""

SCANNED_STEPS = 256
"""Number of waiting steps that a pass looks at; a review may take several passes."""

MAX_CLAIMS = 4
"""Number of steps for which a review looks for targets, those that have waited for longest of each
priority."""

RETRY_S = 2.0
"""Time after which targets are looked for again if none was found, seconds: short tasks take 0.5 to
2 s."""

MAX_FORECASTS = 4
"""Number of reservations that a pass forecasts anew."""

MIN_WAIT_S = 0.25
"""Time for which a task has to wait before a target is reserved for it, seconds; a step that fits
somewhere is placed by the first passes after its release."""

RESERVED_FRACTION = 0.1
"""Largest fraction of a pool's targets that is reserved at once, except for one gang."""

HOLDER_FRACTION = 0.5
"""Largest fraction of that for one step that isn't a gang, so that several make progress."""

MAX_RESERVED = 32
"""Largest number of reserved targets of a pool, which bounds the time of a pass."""

MAX_CLAIMS_PER_PASS = 1
"""Number of these that a pass looks at."""

SAMPLED_TARGETS = 16
"""Number of targets with the most free processor time that are considered for a step; those are
likely to have capacity first."""

ROTATED_TARGETS = 8
"""Number of further targets, others in each review: long runs may end soon on full targets."""

KEPT_FRACTION = 0.05
"""Fraction of a pool's targets that small tasks use last, so that large ones find whole gaps."""

MAX_KEPT = 16
"""Largest number of such targets of a pool."""

LARGE_SEEN_S = 60.0
"""Time after the last large step was seen waiting in which such targets are chosen, seconds."""

MAX_BACKFILL_STEPS = 32
"""Number of steps in a pass that fit nowhere else and for which the reserved targets are looked at."""

BACKFILL_INTERVAL_S = 0.1
"""Time between two passes that look at steps that fit on reserved targets only, seconds: a tenth of a
short task. Most passes on full targets have nothing else to do."""

SLACK_FRACTION = 0.5
"""Fraction of its objective that urgent work leaves as slack when it begins to ignore reservations;
the other half is enough to place it on the reserved targets."""

_CHECKED: frozenset[registry.Predicate] = frozenset({usable.is_usable, resource_fit.has_capacity})


class UnknownPolicyError(errors.EbonyhatchError):
    """No policy has the name."""

    def __init__(self, *, name: str) -> None:
        super().__init__(
            problem=f"no placement policy is called {name!r}",
            remedy=f"use one of {', '.join(names())}",
        )


class Pass(msgspec.Struct, frozen=True, kw_only=True):
    """A pass of placement that begins.

    Attributes:
        index: Usable targets, up to date.
        context: Context of the constraints.
        wall: Time of day, seconds since 1970.
        reconciled: Whether steps of inherited jobs may be placed.
    """

    index: target_index.TargetIndex
    context: registry.Context
    wall: float
    reconciled: bool


class Policy:
    """Restricts nothing; the base of all policies."""

    @property
    def restricts(self) -> bool:
        """Whether some targets are reserved or kept in this pass."""
        return False

    @property
    def restricted(self) -> Collection[str]:
        """Ids of the targets that steps use last or not at all."""
        return ()

    def begin_pass(self, begun: Pass) -> None:
        """Reviews the reservations before a pass."""

    def clear(self) -> None:
        """Drops all reservations, as no step waits."""

    def may_use(self, step: rows.StepRow, row: rows.TargetRow) -> bool:
        """Returns whether a target is free of reservations that a task of a step would delay."""
        return True

    def reserved_for(self, step: rows.StepRow) -> Sequence[rows.TargetRow]:
        """Returns the targets that a step holds."""
        return ()

    def backfill_due(self) -> bool:
        """Returns whether this pass looks at steps that fit on reserved targets only."""
        return False

    def choose_beside(self, steps: list[rows.StepRow]) -> list[rows.StepRow]:
        """Returns the steps that a pass looks at, of those that fit on reserved targets only."""
        return steps

    @property
    def reserved_targets(self) -> list[rows.TargetRow]:
        """All reserved targets."""
        return []

    @property
    def holding_steps(self) -> list[rows.StepRow]:
        """Steps that hold a target with capacity for them."""
        return []

    def may_backfill(self, step: rows.StepRow) -> bool:
        """Returns whether a step that fits nowhere else may use a reserved target."""
        return False

    def note_order(self, run: rows.RunRow) -> None:
        """Records that a run was ordered."""

    def gauges(self) -> dict[str, float]:
        """Returns the current state for metrics."""
        return {}


class Factory(Protocol):
    """Builds a policy."""

    def __call__(
        self, *, all_tables: tables.Tables, times: run_times.RunTimes, decide: commands.Decide
    ) -> Policy:
        """Returns a policy for the tables of one scheduler."""


_POLICIES: dict[str, Factory] = {}


def policy(name: str) -> Callable[[Factory], Factory]:
    """Registers a policy."""

    def register(factory: Factory) -> Factory:
        _POLICIES[name] = factory
        return factory

    return register


def names() -> list[str]:
    """Returns the names of all policies."""
    return sorted(_POLICIES)


def check(name: str) -> None:
    """Raises `UnknownPolicyError` if no policy has the name."""
    if name not in _POLICIES:
        raise UnknownPolicyError(name=name)


def build(
    name: str, *, all_tables: tables.Tables, times: run_times.RunTimes, decide: commands.Decide
) -> Policy:
    """Returns a policy by name; raises `UnknownPolicyError`."""
    check(name)
    return _POLICIES[name](all_tables=all_tables, times=times, decide=decide)


@policy(DEFAULT)
def _greedy(
    *, all_tables: tables.Tables, times: run_times.RunTimes, decide: commands.Decide
) -> Policy:
    return Policy()


@policy("look-ahead")
class LookAhead(Policy):
    """Reserves targets for large steps and lets others use them only as far as that delays nothing."""

    def __init__(
        self, *, all_tables: tables.Tables, times: run_times.RunTimes, decide: commands.Decide
    ) -> None:
        self._tables = all_tables
        self._decide = decide
        self._holders = holders.Holders()
        self._reserved = reservations.Reservations()
        self._kept: set[str] = set()
        self._restricted: frozenset[str] = frozenset()
        self._large_seen_at: dict[str, float] = {}
        self._forecast = forecast.Forecast(times=times)
        self._unseen: list[rows.StepRow] = []
        self._claims: list[rows.StepRow] = []
        self._retry_at: dict[int, float] = {}
        self._now = 0.0
        self._wall = 0.0
        self._reviewed_at = -REVIEW_INTERVAL_S
        self._rotation = 0
        self._backfill_steps_left = 0
        self._beside_from = 0
        self._backfilled_at = -BACKFILL_INTERVAL_S

    @property
    def restricts(self) -> bool:
        """Whether some targets are reserved or kept in this pass."""
        return bool(self._restricted)

    @property
    def restricted(self) -> Collection[str]:
        """Ids of the targets that are reserved or kept in this pass."""
        return self._restricted

    def begin_pass(self, begun: Pass) -> None:
        """Drops the reservations that have ended, and continues the review of the waiting steps."""
        now = self._now = begun.context.now
        self._wall = begun.wall
        self._backfill_steps_left = MAX_BACKFILL_STEPS
        self._forecast.advance(now)
        self._drop_ended(begun.context)
        self._update_forecasts()
        if now - self._reviewed_at >= REVIEW_INTERVAL_S and not (self._unseen or self._claims):
            self._reviewed_at = now
            self._rotation += 1
            self._holders.measure(begun.index, now=now)
            self._keep_targets(begun.index)
            self._unseen = self._tables.waiting.values()
        if self._unseen:
            self._scan(begun)
        if self._claims and not self._unseen:
            self._reserve_targets(begun)
        if self._restricted or self._reserved or self._kept:
            self._restricted = frozenset(self._kept.union(self._reserved.target_ids))

    def clear(self) -> None:
        """Drops all reservations, as no step waits."""
        for reservation in self._reserved.values():
            self._drop(reservation)

    def may_use(self, step: rows.StepRow, row: rows.TargetRow) -> bool:
        """Returns whether a target is free of reservations that a task of a step would delay."""
        reservation = self._reserved.on(row)
        return (
            reservation is None
            or reservation.holder is step
            or self._ends_before(step, reservation)
            or _fits_beside(step.step, reservation)
            or self._overrides(step, reservation)
        )

    def reserved_for(self, step: rows.StepRow) -> Sequence[rows.TargetRow]:
        """Returns the targets that a step holds."""
        return [reservation.target for reservation in self._reserved.of(step)]

    def backfill_due(self) -> bool:
        """Returns whether this pass looks at steps that fit on reserved targets only."""
        if self._now - self._backfilled_at < BACKFILL_INTERVAL_S:
            return False
        self._backfilled_at = self._now
        return True

    def choose_beside(self, steps: list[rows.StepRow]) -> list[rows.StepRow]:
        """Returns the steps that a pass looks at, of those that fit on reserved targets only.

        Half of them are urgent ones, which may use a reserved target before their objective is
        missed. The passes take turns over all steps.
        """
        self._beside_from += MAX_BACKFILL_STEPS // 2
        urgent = [step for step in steps if not step.job.queue.priority]
        others = [step for step in steps if step.job.queue.priority]
        chosen = []
        for group in (urgent, others):
            if len(group) > MAX_BACKFILL_STEPS // 2:
                first = self._beside_from % len(group)
                group = (group[first:] + group[:first])[: MAX_BACKFILL_STEPS // 2]
            chosen += group
        return chosen

    @property
    def reserved_targets(self) -> list[rows.TargetRow]:
        """All reserved targets."""
        return [reservation.target for reservation in self._reserved.values()]

    @property
    def holding_steps(self) -> list[rows.StepRow]:
        """Steps that hold a target with capacity for them."""
        found = {
            id(one.holder): one.holder
            for one in self._reserved.values()
            if one.holder.step.cpu_millis <= one.target.free_cpu
        }
        return [step for step in found.values() if self._fits_held(step)]

    def may_backfill(self, step: rows.StepRow) -> bool:
        """Returns whether a step that fits nowhere else may use a reserved target."""
        cpu_millis, memory_mb, accelerators = forecast.demands(step.step)
        counted = False
        for reservation in self._reserved.values():
            row = reservation.target
            if (
                cpu_millis > row.free_cpu
                or memory_mb > row.free_memory
                or accelerators > row.free_accelerators
            ):
                continue
            if reservation.holder is step:
                return True
            if not counted:
                if self._backfill_steps_left <= 0:
                    return self._fits_held(step)
                self._backfill_steps_left -= 1
                counted = True
            if self.may_use(step, row):
                return True
        return False

    def note_order(self, run: rows.RunRow) -> None:
        """Ends a reservation that is used, and takes backfilled runs from its spare capacity."""
        reservation = self._reserved.on(run.target)
        if reservation is None:
            return
        step = run.task.step
        if reservation.holder is step:
            reservation.tasks -= 1
            if reservation.tasks <= 0:
                self._reserved.remove(reservation)
        elif not self._ends_before(step, reservation):
            cpu_millis, memory_mb, accelerators = forecast.demands(step.step)
            spare = reservation.spare
            reservation.spare = (
                spare[0] - cpu_millis,
                spare[1] - memory_mb,
                spare[2] - accelerators,
            )

    def gauges(self) -> dict[str, float]:
        """Returns the current state for metrics."""
        return {
            "lookahead_holders": self._reserved.holders(),
            "lookahead_targets_reserved": len(self._reserved),
            "lookahead_targets_kept": len(self._kept),
        }

    def _fits_held(self, step: rows.StepRow) -> bool:
        """Returns whether a target that a step holds has capacity for it."""
        return any(
            forecast.fitting_count(step.step, _free(row), limit=1)
            for row in self.reserved_for(step)
        )

    def _ends_before(self, step: rows.StepRow, reservation: reservations.Reservation) -> bool:
        return self._now + self._forecast.run_s(step) <= reservation.starts_at

    def _overrides(self, step: rows.StepRow, reservation: reservations.Reservation) -> bool:
        """Returns whether urgent work has too little slack left to wait for a reservation."""
        priority = step.job.queue.priority
        if priority and priority >= reservation.holder.job.queue.priority:
            return False
        slack_s = step.due_at - self._wall
        slack_s -= graph.remaining_chain_s(step, step.job.occurrences[step.occurrence])
        return slack_s <= SLACK_FRACTION * (step.due_at - step.objective_from)

    def _drop_ended(self, context: registry.Context) -> None:
        """Drops the reservations whose holder, target or time has ended."""
        for reservation in self._reserved.values():
            holder = reservation.holder
            if holder.job.ended or not holder.waiting or holder not in self._tables.waiting:
                self._drop(reservation)
            elif not self._is_usable(reservation, context):
                self._give_up(reservation, reason="target-lost")
            elif context.now >= reservation.expires_at:
                self._give_up(reservation, reason="forecast-wrong")

    def _is_usable(self, reservation: reservations.Reservation, context: registry.Context) -> bool:
        row = reservation.target
        return (
            self._tables.targets.get(row.target_id) is row
            and row.target.born == reservation.born
            and usable.is_usable(reservation.holder, row, context)
        )

    def _drop(self, reservation: reservations.Reservation) -> None:
        """Drops a reservation whose holder no longer waits."""
        if reservation.holder.job.ended:
            self._give_up(reservation, reason="holder-ended")
        else:
            self._reserved.remove(reservation)

    def _give_up(self, reservation: reservations.Reservation, *, reason: str) -> None:
        """Gives a reservation up; a gang needs all of its targets and loses the others too."""
        if self._reserved.on(reservation.target) is not reservation:
            return
        holder = reservation.holder
        given_up = list(self._reserved.of(holder)) if holder.step.gang else [reservation]
        self._reserved.give_up(given_up, now=self._now)
        self._decide(
            "lookahead.given_up",
            None,
            job_id=holder.job.job.job_id,
            queue=holder.job.queue.name,
            step=holder.index,
            target=reservation.target.target_id,
            targets=len(given_up),
            held_s=round(self._now - reservation.made_at, 3),
            starts_in_s=round(reservation.starts_at - self._now, 3),
            reason=reason,
        )

    def _update_forecasts(self) -> None:
        """Forecasts some reservations anew; gives up those that can't be used in time."""
        left = MAX_FORECASTS
        for reservation in self._reserved.values():
            if self._now - reservation.forecast_at < REVIEW_INTERVAL_S:
                continue
            left -= 1
            if left < 0:
                return
            reservation.forecast_at = self._now
            row, spec = reservation.target, reservation.holder.step
            slots = self._forecast.slot_times(row, spec, limit=reservation.tasks)
            if len(slots) < reservation.tasks or self._now + slots[-1] > reservation.expires_at:
                self._give_up(reservation, reason="forecast-wrong")
                continue
            reservation.starts_at = min(reservation.starts_at, self._now + slots[-1])
            reservation.spare = self._spare(reservation, slots[-1])

    def _spare(self, reservation: reservations.Reservation, after_s: float) -> forecast.Amounts:
        free = self._forecast.free_at(reservation.target, after_s)
        cpu_millis, memory_mb, accelerators = forecast.demands(reservation.holder.step)
        tasks = reservation.tasks
        return (
            free[0] - tasks * cpu_millis,
            free[1] - tasks * memory_mb,
            free[2] - tasks * accelerators,
        )

    def _scan(self, begun: Pass) -> None:
        """Looks for steps that starve; puts them in the order of placement once all are seen."""
        seen, self._unseen = self._unseen[:SCANNED_STEPS], self._unseen[SCANNED_STEPS:]
        for step in seen:
            if self._holders.may_hold(step) and (begun.reconciled or not step.job.inherited):
                self._large_seen_at[step.job.queue.pool] = self._now
                retried = self._retry_at.get(id(step), 0.0) <= self._now
                if retried and _has_waited(step, now=self._now) and self._lacking(step):
                    self._claims.append(step)
        if not self._unseen:
            self._retry_at = {key: at for key, at in self._retry_at.items() if at > self._now}
            claims = heapq.nsmallest(MAX_CLAIMS, self._claims, key=_wait_order)
            # In reverse, as the steps are taken from the end.
            self._claims = list(ordering.in_order(claims, wall=begun.wall))[::-1]

    def _lacking(self, step: rows.StepRow) -> int:
        """Returns the number of waiting tasks without a reservation; a gang holds all or none."""
        held = sum(reservation.tasks for reservation in self._reserved.of(step))
        if held and step.step.gang:
            return 0
        return max(0, len(step.waiting) - held)

    def _reserve_targets(self, begun: Pass) -> None:
        """Reserves targets for the next of the steps that starve."""
        looked = 0
        while self._claims and looked < MAX_CLAIMS_PER_PASS:
            step = self._claims.pop()
            if step.job.ended or step not in self._tables.waiting or not self._lacking(step):
                continue
            pool = step.job.queue.pool
            budget = _budget(begun.index.count(pool))
            reserved = self._reserved.in_pool(pool)
            left = budget - reserved
            if step.step.gang and not reserved:
                left = begun.index.count(pool)
            if left > 0:
                looked += 1
                self._reserve_for(step, begun, limit=left, budget=budget)

    def _reserve_for(self, step: rows.StepRow, begun: Pass, *, limit: int, budget: int) -> None:
        """Reserves up to `limit` targets for a step."""
        now = self._now
        if step.step.gang:
            chosen = self._choose_for_gang(step, begun)
            if len(chosen) > limit:
                chosen = []
        else:
            own = max(1, int(HOLDER_FRACTION * budget)) - len(self._reserved.of(step))
            chosen = self._choose_for_tasks(step, begun, count=min(limit, own, self._lacking(step)))
        for row, tasks, after_s in chosen:
            reservation = reservations.Reservation(
                holder=step,
                target=row,
                born=row.target.born,
                tasks=tasks,
                made_at=now,
                starts_at=now + after_s,
                expires_at=reservations.expiry(made_at=now, starts_at=now + after_s),
                forecast_at=now,
            )
            reservation.spare = self._spare(reservation, after_s)
            self._reserved.add(reservation)
        if not chosen:
            self._retry_at[id(step)] = now + RETRY_S
        else:
            self._decide(
                "lookahead.reserved",
                None,
                job_id=step.job.job.job_id,
                queue=step.job.queue.name,
                priority=step.job.queue.priority,
                step=step.index,
                target=chosen[0][0].target_id,
                targets=len(chosen),
                tasks=sum(tasks for _, tasks, _ in chosen),
                cpu_millis=step.step.cpu_millis,
                memory_mb=step.step.memory_mb,
                starts_in_s=round(max(after_s for _, _, after_s in chosen), 3),
                waited_s=round(now - step.waiting[0].waiting_since, 3),
            )

    def _choose_for_tasks(
        self, step: rows.StepRow, begun: Pass, *, count: int
    ) -> list[tuple[rows.TargetRow, int, float]]:
        """Returns the targets that have capacity for one task first, one task on each."""
        if count <= 0:
            return []
        found = []
        sampled = self._sample(step, begun, count=SAMPLED_TARGETS + count)
        for number, row in enumerate(sampled):
            slots = self._forecast.slot_times(row, step.step, limit=1)
            if slots and slots[0] <= reservations.MAX_AGE_S:
                found.append((slots[0], number, row))
        return [(row, 1, after_s) for after_s, _, row in heapq.nsmallest(count, found)]

    def _choose_for_gang(
        self, step: rows.StepRow, begun: Pass
    ) -> list[tuple[rows.TargetRow, int, float]]:
        """Returns targets for all members at the earliest time, in one rack if that is possible."""
        members = step.remaining_count
        count = max(SAMPLED_TARGETS, 2 * members)
        slots: list[tuple[float, int, rows.TargetRow]] = []
        for number, row in enumerate(self._sample(step, begun, count=count)):
            limit = min(members, step.step.max_per_target or members)
            times = self._forecast.slot_times(row, step.step, limit=limit)
            slots.extend((after_s, number, row) for after_s in times)
        slots = sorted(slot for slot in slots if slot[0] <= reservations.MAX_AGE_S)
        groups = [slots]
        if step.step.same_rack:
            racks: dict[str, list[tuple[float, int, rows.TargetRow]]] = {}
            for slot in slots:
                racks.setdefault(slot[2].target.rack, []).append(slot)
            complete = [group for group in racks.values() if len(group) >= members]
            groups = sorted(complete, key=lambda group: group[members - 1][0]) or groups
        chosen = groups[0][:members]
        if len(chosen) < members:
            return []
        tasks: dict[str, int] = {}
        for _, _, row in chosen:
            tasks[row.target_id] = tasks.get(row.target_id, 0) + 1
        after_s = chosen[-1][0]
        return [(self._tables.targets[name], number, after_s) for name, number in tasks.items()]

    def _sample(self, step: rows.StepRow, begun: Pass, *, count: int) -> list[rows.TargetRow]:
        """Returns targets that a step may use once they have capacity, at most about `count`."""
        index, context, spec = begun.index, begun.context, step.step
        pool = step.job.queue.pool
        if spec.label or spec.data_rack:
            sampled = [
                row
                for row in index.targets(pool)
                if not spec.label or spec.label in row.target.labels
            ]
            near = [row for row in sampled if row.target.rack == spec.data_rack]
            sampled = heapq.nlargest(count, near or sampled, key=_free_cpu)
        else:
            sampled = index.emptiest(pool, count=count)
            first = self._rotation * ROTATED_TARGETS % max(1, index.count(pool))
            known = {row.target_id for row in sampled}
            further = index.some(pool, first=first, count=ROTATED_TARGETS)
            sampled += [row for row in further if row.target_id not in known]
        selection = registry.select(spec)
        return [
            row
            for row in sampled
            if self._reserved.may_reserve(row, now=context.now)
            and usable.is_usable(step, row, context)
            and selection.allows_beyond(_CHECKED, step, row, context)
        ]

    def _keep_targets(self, index: target_index.TargetIndex) -> None:
        """Chooses the targets with the largest joint share of free processor time and memory."""
        self._kept.clear()
        for pool, seen_at in list(self._large_seen_at.items()):
            if self._now - seen_at > LARGE_SEEN_S:
                del self._large_seen_at[pool]
                continue
            count = min(MAX_KEPT, max(1, int(KEPT_FRACTION * index.count(pool))))
            sampled = index.emptiest(pool, count=2 * count)
            self._kept.update(
                row.target_id for row in heapq.nlargest(count, sampled, key=_joint_share)
            )


def _budget(target_count: int) -> int:
    """Returns the number of targets of a pool that may be reserved at once."""
    return max(1, min(MAX_RESERVED, int(RESERVED_FRACTION * target_count)))


def _has_waited(step: rows.StepRow, *, now: float) -> bool:
    """Returns whether a step has a task that could have been placed for some time."""
    if not step.waiting:
        return False
    task = step.waiting[0]
    return task.retry_at <= now and now - task.waiting_since >= MIN_WAIT_S


def _wait_order(step: rows.StepRow) -> tuple[int, float]:
    return (step.job.queue.priority, step.waiting[0].waiting_since if step.waiting else 0.0)


def _fits_beside(spec: jobs.Step, reservation: reservations.Reservation) -> bool:
    """Returns whether a task leaves the holder's capacity; a gang may put several on the target."""
    return not spec.gang and forecast.fitting_count(spec, reservation.spare, limit=1) > 0


def _free(row: rows.TargetRow) -> forecast.Amounts:
    return (row.free_cpu, row.free_memory, row.free_accelerators)


def _free_cpu(row: rows.TargetRow) -> int:
    return row.free_cpu


def _joint_share(row: rows.TargetRow) -> float:
    """Returns the smaller of the free shares of processor time and memory."""
    target = row.target
    return min(row.free_cpu / (target.cpu_millis or 1), row.free_memory / (target.memory_mb or 1))
