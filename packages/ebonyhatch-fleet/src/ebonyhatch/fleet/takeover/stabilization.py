"""Wait of a new owner until it knows which runs of former owners may go on."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ebonyhatch.fleet import (
    clocks,
    decision_log,
    known_targets,
    scheduler,
    target_session,
)
from ebonyhatch.node import coroutines

CHECK_INTERVAL_S = 0.02
"""Time between two looks at the targets, seconds."""

LOG_INTERVAL_S = 1.0
"""Time between two log lines on what is waited for, seconds."""

MAX_LOGGED = 8
"""Maximum number of targets or tasks in a log line."""


class Stabilization:
    """Holds back inherited tasks while a run that a former owner ordered may be unknown.

    Such a run is known from its target's status report, or has ended with the target's lease. While
    all targets that took runs are known, only tasks of the others are held back.
    """

    def __init__(
        self,
        *,
        term: int,
        all_clocks: clocks.Clocks,
        group: coroutines.CoroutineGroup,
        sessions: Mapping[str, target_session.TargetSession],
        inherited_runs: scheduler.Scheduler,
        schedule_tick: Callable[[], None],
        longest_lease_s: float,
    ) -> None:
        """Creates the wait of a term.

        Args:
            term: The term.
            all_clocks: Clocks of the process.
            group: Group of the owner's coroutines.
            sessions: Sessions by target id.
            inherited_runs: The scheduler that holds tasks back.
            schedule_tick: Schedules the scheduler's next tick.
            longest_lease_s: Longest time after which a run without a renewal has ended, seconds.
        """
        self._term = term
        self._clocks = all_clocks
        self._group = group
        self._sessions = sessions
        self._scheduler = inherited_runs
        self._schedule_tick = schedule_tick
        self._longest_lease_s = longest_lease_s
        self._inherited: known_targets.KnownTargets = {}
        self._logged_at = float("-inf")

    async def run(self, inherited: known_targets.KnownTargets) -> None:
        """Waits until all inherited tasks may be placed.

        Args:
            inherited: Targets of the former owner.
        """
        self._inherited = inherited
        until = self._clocks.boottime() + self._longest_lease_s
        while (unconfirmed := self._unconfirmed_targets()) and (
            self._clocks.boottime() < until or self._any_answers(unconfirmed)
        ):
            self._scheduler.blocked_tasks = self._blocked_tasks()
            taking_runs = self._unconfirmed_targets_taking_runs()
            self._log_wait(unconfirmed, taking_runs=len(taking_runs))
            if not taking_runs:
                if not self._scheduler.reconciled:
                    self._scheduler.resolve_trials(now=self._clocks.now())
                self._scheduler.reconciled = True
                self._schedule_tick()
            await self._group.sleep(CHECK_INTERVAL_S)
        self._scheduler.blocked_tasks = frozenset()
        self._scheduler.resolve_trials(now=self._clocks.now())
        decision_log.write(
            "recovery.settled", term=self._term, unheard=len(self._unconfirmed_targets())
        )
        self._scheduler.reconciled = True
        self._schedule_tick()

    def _log_wait(self, unconfirmed: list[str], *, taking_runs: int) -> None:
        now = self._clocks.now()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        blocked = sorted(self._scheduler.blocked_tasks)
        decision_log.write(
            "recovery.waits",
            term=self._term,
            unheard=len(unconfirmed),
            targets=sorted(unconfirmed)[:MAX_LOGGED],
            taking_runs=taking_runs,
            blocked=len(blocked),
            tasks=blocked[:MAX_LOGGED],
            lease_left_s=round(max(self._sessions[name].lease_left_s for name in unconfirmed), 2),
        )

    def _unconfirmed_targets(self) -> list[str]:
        return [
            name
            for name, session in self._sessions.items()
            if not session.row.confirmed and not session.runs_ended
        ]

    def _any_answers(self, names: list[str]) -> bool:
        """Returns whether one of some unconfirmed targets has reported: it lists its ends in parts."""
        rows_now = (self._sessions[name].row for name in names)
        return any(row.last_report_at and row.reachable for row in rows_now)

    def _unconfirmed_targets_taking_runs(self) -> list[str]:
        """Returns the unconfirmed targets on which the last owner may have ordered unrecorded runs.

        Unconfirmed targets have sent this owner no status report yet. One without a record took no
        runs: none is ordered on a target before its record is durable.
        """
        inherited = self._inherited
        return [
            name
            for name in self._unconfirmed_targets()
            if name in inherited and inherited[name].takes_runs
        ]

    def _blocked_tasks(self) -> frozenset[str]:
        """Returns the tasks that may still run on unconfirmed targets that took no new runs."""
        inherited = self._inherited
        return frozenset(
            task
            for name in self._unconfirmed_targets()
            if name in inherited
            for task in inherited[name].tasks
        )
