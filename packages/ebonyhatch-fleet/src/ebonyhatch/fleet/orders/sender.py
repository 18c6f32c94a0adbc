"""Sends the scheduler's orders to their targets and applies the answers."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ebonyhatch.fleet import (
    clocks,
    commands,
    crash_blame,
    decision_log,
    scheduler,
    target_session,
    targets,
)
from ebonyhatch.node import coroutines
from returns import result

START_OUTCOME_MARGIN_S = 0.03
"""Time after the deadline of a start with an unknown outcome until its target is polled, seconds."""

STOP_OUTCOME_DELAY_S = 0.002
"""Time after the answer to a stop until its target is polled for the outcome, seconds: more than the
resolution of the targets' clocks."""

CLOCK_REGRESSION_S = 1.0
"""Difference by which the clock in an answer is below that of the last report if the target has
restarted, seconds: reports overtake answers by less than the timeout of an order."""

OBSERVE_FILLER_AFTER_S = 0.3
"""Time after the start of a filler (a task that uses processor time left over by others) until the
target is polled for its effect, seconds. Readings cover half a second."""

MAX_ORDERS_IN_FLIGHT = 64
"""Maximum number of starts without an answer. On an overloaded instance answers arrive late, and
tasks wait in the scheduler's order instead of starting too late."""


class OrderSender:
    """Sends orders through the sessions of their targets."""

    def __init__(
        self,
        *,
        all_clocks: clocks.Clocks,
        group: coroutines.CoroutineGroup,
        orders: scheduler.Scheduler,
        sessions: Mapping[str, target_session.TargetSession],
        schedule_tick: Callable[[], None],
    ) -> None:
        """Creates a sender.

        Args:
            all_clocks: Clocks of the process.
            group: Group of the owner's coroutines.
            orders: The scheduler that made the orders.
            sessions: Sessions by target id.
            schedule_tick: Schedules the scheduler's next tick.
        """
        self._clocks = all_clocks
        self._group = group
        self._scheduler = orders
        self._sessions = sessions
        self._schedule_tick = schedule_tick
        self._in_flight = 0
        self._answered = 0
        self._seconds = 0.0
        self._stopping: set[tuple[str, targets.RunKey]] = set()

    @property
    def in_flight(self) -> int:
        """Number of starts without an answer."""
        return self._in_flight

    @property
    def answered(self) -> int:
        """Number of starts whose call has ended."""
        return self._answered

    @property
    def seconds(self) -> float:
        """Sum of the durations of these calls, seconds."""
        return self._seconds

    @property
    def free_slots(self) -> int:
        """Number of starts that may be ordered now."""
        return MAX_ORDERS_IN_FLIGHT - self._in_flight

    def send(self, command: commands.Command) -> None:
        """Sends an order, and applies its answer when it arrives."""
        if isinstance(command, commands.StartRun):
            self._group.spawn(self._start_run(command))
        elif isinstance(command, commands.StopRun):
            self._group.spawn(self._stop_run(command))
        else:
            self._group.spawn(self._pace_run(command))

    async def _start_run(self, command: commands.StartRun) -> None:
        run = command.run
        session = self._sessions.get(run.target.target_id)
        if session is None:
            self._scheduler.reconciler.start_refused(
                run, reason="no-session", now=self._clocks.now()
            )
            return
        run.order_deadline_s = session.start_deadline_s()
        self._in_flight += 1
        sent_at = self._clocks.now()
        incarnations = session.incarnations
        try:
            outcome = await session.start_run(command)
        finally:
            self._in_flight -= 1
        now = run.answered_at = self._clocks.now()
        self._answered += 1
        self._seconds += now - sent_at
        if self._scheduler.orders_held_back:
            self._schedule_tick()
        restarted = session.incarnations != incarnations or _is_of_newer_incarnation(
            outcome, last_clock_s=session.last_clock_s
        )
        if restarted and not _had_no_effect(outcome):
            # Either incarnation may have carried it out; a status report of the new one decides.
            decision_log.decide("run.answered_across_restart", run, outcome=str(outcome))
            session.poll_soon(0.0)
            return
        if isinstance(outcome, result.Success):
            self._scheduler.reconciler.start_confirmed(run, clock_s=outcome.unwrap(), now=now)
            if self._scheduler.needs_observation(run):
                session.poll_soon(OBSERVE_FILLER_AFTER_S)
            if run.task.crashes:
                session.poll_soon(crash_blame.SURVIVAL_POLL_S)
            return
        error = outcome.failure()
        if isinstance(error, targets.UnknownOutcomeError):
            self._scheduler.reconciler.start_uncertain(run, reason=error.reason, now=now)
            remaining_s = max(0.0, run.order_deadline_s - session.target_clock_s)
            session.poll_soon(remaining_s + START_OUTCOME_MARGIN_S)
        else:
            reason = error.reason if isinstance(error, targets.RefusedError) else "not-sent"
            self._scheduler.reconciler.start_refused(run, reason=reason, now=now)
        self._schedule_tick()

    async def _stop_run(self, command: commands.StopRun) -> None:
        session = self._sessions.get(command.target.target_id)
        order = (command.target.target_id, command.key)
        if session is None or order in self._stopping:
            return
        incarnations = session.incarnations
        self._stopping.add(order)
        try:
            outcome = await session.stop_run(command.key)
        finally:
            self._stopping.discard(order)
        run = command.target.runs.get(command.key)
        if isinstance(outcome, result.Success):
            if run is not None and run.deadline_void and session.incarnations == incarnations:
                self._scheduler.reconciler.stop_answered(run, clock_s=outcome.unwrap())
                session.poll_soon(STOP_OUTCOME_DELAY_S)
        else:
            decision_log.decide(
                "run.stop_failed",
                None,
                key=command.key,
                target=command.target.target_id,
                reason=str(outcome.failure()),
            )

    async def _pace_run(self, command: commands.PaceRun) -> None:
        session = self._sessions.get(command.run.target.target_id)
        if session is None:
            return
        outcome = await session.pace_run(command.run.key, command.percent)
        if isinstance(outcome, result.Failure):
            # The pace in force is unknown. Full pace is recorded, which is surely wrong, so that the
            # next review sends the pace again.
            command.run.pace = 100
            decision_log.decide("run.pace_failed", command.run, reason=str(outcome.failure()))


def _is_of_newer_incarnation(
    outcome: result.Result[float, targets.TargetError], *, last_clock_s: float
) -> bool:
    """Returns whether an answer came from an incarnation that hasn't reported: its clock began anew."""
    return (
        isinstance(outcome, result.Success)
        and 0 < outcome.unwrap() < last_clock_s - CLOCK_REGRESSION_S
    )


def _had_no_effect(outcome: result.Result[float, targets.TargetError]) -> bool:
    """Returns whether an order certainly had no effect."""
    return isinstance(outcome, result.Failure) and not isinstance(
        outcome.failure(), targets.UnknownOutcomeError
    )
