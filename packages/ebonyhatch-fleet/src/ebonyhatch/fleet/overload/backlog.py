"""Backlog of short work, the rate at which it is worked off, and the wait of a job submitted now.

All work is in core-seconds by expected run times, so that errors of declared times that are common to
all work cancel out.
"""

from __future__ import annotations

import dataclasses

from ebonyhatch.fleet import ordering, queues, rows, tables

RATE_TIME_S = 4.0
"""Time over which the rate is averaged, seconds; overloads last as long or longer."""

MIN_MEASURED_S = 1.0
"""Time with a backlog and without free capacity after which the rate counts as measured, seconds."""

FREE_FRACTION = 0.1
"""Fraction of a pool's processor time that is free above which no wait is reported: refusing is the
last resort there, and what waits lacks a label or a large gap."""

MIN_EFFICIENCY, MAX_EFFICIENCY = 0.25, 2.0
"""Bounds of the core-seconds of expected work that a core finishes in a second: run times are longer
than expected by 1.5 on average, and more on slow targets."""

CONFIRM_S = 0.5
"""Time for which a wait has to last before it is reported, seconds: a burst that is placed meanwhile
isn't an overload."""

RESUME_FRACTION = 0.75
"""Fraction of a queue's limit below which its wait is no longer reported, once it was."""

MAX_STEPS = 2_000
"""Number of waiting steps above which a sample of them is measured, since the owner does it four times
a second."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Pool:
    """Work of one pool.

    Attributes:
        started: Work that was started since the last observation, core-seconds.
        efficiency: Work that a core in use for short work finishes in a second, core-seconds.
        measured_s: Time over which it was measured, seconds.
    """

    started: float = 0.0
    efficiency: float = 0.0
    measured_s: float = 0.0

    def learn(self, *, cores: float, elapsed_s: float) -> None:
        """Applies the work that was started in an interval without free capacity."""
        if elapsed_s <= 0 or cores <= 0:
            return
        self.measured_s += elapsed_s
        weight = min(1.0, elapsed_s / min(self.measured_s, RATE_TIME_S))
        self.efficiency += weight * (self.started / (cores * elapsed_s) - self.efficiency)


class Backlog:
    """Estimates the wait of new jobs by queue. Reads no clock and changes no table."""

    def __init__(self, *, all_tables: tables.Tables) -> None:
        self._tables = all_tables
        self._pools: dict[str, _Pool] = {}
        self._observed_at: float | None = None
        self._recent: dict[str, list[tuple[float, float]]] = {}
        self._reported: frozenset[str] = frozenset()

    def note_start(self, run: rows.RunRow) -> None:
        """Counts a run that is ordered."""
        step = run.task.step
        if _is_short(step):
            pool = self._pools.setdefault(step.job.queue.pool, _Pool())
            pool.started += step.step.cpu_millis / 1000 * step.expected_s

    def waits_s(
        self, configuration: queues.Configuration, *, now: float, wall: float
    ) -> dict[str, float]:
        """Returns, by queue, how long a job that is submitted now would wait, seconds.

        Queues without a wait that could make a job useless are left out.

        Args:
            configuration: The configuration in force.
            now: Time on the scheduler's clock, seconds.
            wall: Time of day, seconds since 1970.
        """
        elapsed_s = 0.0 if self._observed_at is None else now - self._observed_at
        self._observed_at = now
        waiting = self._waiting(wall)
        full = self._full_pools(now)
        for name in [name for name in self._pools if name not in waiting]:
            # Without a backlog the rate of starts is that of arrivals. It is measured anew.
            del self._pools[name]
        for name in waiting:
            pool = self._pools.setdefault(name, _Pool())
            if name in full:
                cores = self._tables.totals.short_cpu.get(name, 0) / 1000
                pool.learn(cores=cores, elapsed_s=elapsed_s)
            pool.started = 0.0
        waits_s = {}
        for queue in configuration.queues:
            wait_s = self._wait_s(queue, waiting, full)
            wait_s = self._confirmed(queue.name, wait_s, now=now)
            limit_s = ordering.USEFUL_OBJECTIVE_FACTOR * queue.slack_s
            if queue.name in self._reported:
                limit_s *= RESUME_FRACTION
            if wait_s > limit_s:
                waits_s[queue.name] = round(wait_s, 2)
        self._reported = frozenset(waits_s)
        return waits_s

    def _wait_s(
        self,
        queue: queues.Queue,
        waiting: dict[str, dict[int, tuple[float, float]]],
        full: set[str],
    ) -> float:
        """Returns the time in which the work ahead of a new job of a queue is started, seconds.

        The order of placement is by priority, then by whether a job can still meet its objective: a
        new job comes before the late ones of its own priority.
        """
        pool = self._pools.get(queue.pool)
        if pool is None or queue.pool not in full or pool.measured_s < MIN_MEASURED_S:
            return 0.0
        ahead = sum(
            in_time if priority == queue.priority else in_time + late
            for priority, (in_time, late) in waiting[queue.pool].items()
            if priority <= queue.priority
        )
        cores = self._tables.totals.short_cpu.get(queue.pool, 0) / 1000
        if cores <= 0:
            # Long-running work holds the pool. Nothing is known of when short work would start.
            return 0.0
        return ahead / (cores * min(MAX_EFFICIENCY, max(MIN_EFFICIENCY, pool.efficiency)))

    def _confirmed(self, name: str, wait_s: float, *, now: float) -> float:
        """Returns the least wait of the last `CONFIRM_S`; 0 until so much time was observed."""
        recent = [one for one in self._recent.get(name, []) if now - one[0] <= 2 * CONFIRM_S]
        recent.append((now, wait_s))
        self._recent[name] = recent
        if now - recent[0][0] < CONFIRM_S:
            return 0.0
        return min(wait for at, wait in recent if now - at <= CONFIRM_S)

    def _waiting(self, wall: float) -> dict[str, dict[int, tuple[float, float]]]:
        """Returns the waiting work by pool and priority, in time and late, core-seconds.

        Work that can't be useful any more is left out: it is placed after all other work.
        """
        steps = self._tables.waiting.values()
        stride = 1 + len(steps) // MAX_STEPS
        waiting: dict[str, dict[int, tuple[float, float]]] = {}
        for step in steps[::stride]:
            if not _is_short(step) or not step.waiting or _is_useless(step, wall):
                continue
            queue = step.job.queue
            by_priority = waiting.setdefault(queue.pool, {})
            work = stride * len(step.waiting) * step.step.cpu_millis / 1000 * step.expected_s
            in_time, late = by_priority.get(queue.priority, (0.0, 0.0))
            if wall + step.expected_s > step.due_at:
                late += work
            else:
                in_time += work
            by_priority[queue.priority] = (in_time, late)
        return waiting

    def _full_pools(self, now: float) -> set[str]:
        """Returns the pools of which at most `FREE_FRACTION` is free."""
        total: dict[str, int] = {}
        free: dict[str, int] = {}
        for row in self._tables.targets.values():
            if not (row.confirmed and row.announced and row.reachable and row.listed):
                continue
            if row.target.draining or row.closed_until > now:
                continue
            pool = row.target.pool
            total[pool] = total.get(pool, 0) + row.target.cpu_millis
            free[pool] = free.get(pool, 0) + max(0, row.free_cpu)
        return {pool for pool in total if free[pool] <= FREE_FRACTION * total[pool]}


def _is_short(step: rows.StepRow) -> bool:
    return not (step.step.filler or step.step.long_running)


def _is_useless(step: rows.StepRow, wall: float) -> bool:
    """Returns whether a step would end too late if it started now."""
    objective_s = max(step.due_at - step.objective_from, 0.0)
    useful_until = step.objective_from + ordering.USEFUL_OBJECTIVE_FACTOR * objective_s
    return wall + step.expected_s > useful_until
