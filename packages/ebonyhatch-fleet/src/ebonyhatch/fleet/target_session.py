"""The owner's session with one target: its lease, its status reports and its orders."""

from __future__ import annotations

import collections
import traceback
from collections.abc import Callable

import msgspec
from ebonyhatch.fleet import (
    clocks,
    commands,
    decision_log,
    rows,
    supervision,
    targets,
    task_ends,
)
from ebonyhatch.node import coroutines
from returns import result
from twisted.internet import defer

POLL_WAIT_S = 1.0
"""Longest time for which a target delays its answer to a poll while no run ends, seconds. It also
bounds the age of readings."""

SHORT_POLL_WAIT_S = 0.4
"""The same while a serving task on the target is near its limit, seconds: a reading covers half a
second."""

POLLS_PER_LEASE = 3
"""Number of polls in the time of a lease while reports can't be applied yet: two may fail before the
lease ends."""

RETRY_DELAY_S = 0.03
"""Delay before a failed poll is retried, seconds; doubles up to `MAX_RETRY_DELAY_S`."""

MAX_RETRY_DELAY_S = 0.5

SCAN_SLOT_S = 0.1
"""Time after which a poll that has no answer yet gives its slot to the next one, seconds."""

START_VALID_S = 0.6
"""Time within which a start has to arrive, seconds: many times the links' delay. After it, a
delayed order is refused on arrival, so that its task can be placed on another target."""

FAILURES_UNTIL_UNREACHABLE = 2
"""Consecutive unanswered polls after which a target gets no new runs; a single one may be only
a lost answer."""

MAX_CLOCK_SLOWNESS = 1.02
"""Largest factor by which a target's clock may run slower, by the targets' contract."""

EXPIRY_MARGIN_S = 0.15
"""Time after a lease's end until its runs count as ended, seconds."""


def lease_expiry_s(lease_s: float) -> float:
    """Returns the time from sending a renewal until every run on the target has ended, seconds."""
    return lease_s * MAX_CLOCK_SLOWNESS + EXPIRY_MARGIN_S


MAX_STOPS_IN_FLIGHT = 16
"""Maximum number of stop orders to one target without an answer."""


class _Slot:
    """A claimed slot of a semaphore, which is released once."""

    __slots__ = ("_semaphore", "_released")

    def __init__(self, *, semaphore: defer.DeferredSemaphore) -> None:
        self._semaphore = semaphore
        self._released = False

    def release(self) -> None:
        """Releases the slot, unless it was released before."""
        if not self._released:
            self._released = True
            self._semaphore.release()


class TargetSession:
    """Renews one target's lease by polling its status report in a loop."""

    def __init__(
        self,
        *,
        row: rows.TargetRow,
        port: targets.Targets,
        fence: int,
        lease_s: float,
        granted_lease_s: float,
        lease_expires_at: float,
        all_clocks: clocks.Clocks,
        on_report: Callable[[TargetSession, targets.StatusReport], bool],
        on_runs_lost: Callable[[TargetSession, str], None],
        on_fenced: Callable[[str], None],
        on_changed: Callable[[TargetSession], None],
        durable: Callable[[], int],
        ticket: Callable[[], int],
        pause_s: Callable[[], float],
        scan_slots: defer.DeferredSemaphore,
        stopping: Callable[[], bool],
        may_renew: Callable[[], bool],
    ) -> None:
        """Creates a session.

        Args:
            row: The target.
            port: The port to targets.
            fence: Fencing token of the owner's term.
            lease_s: Lease that is requested for the target's runs, seconds.
            granted_lease_s: Longest lease that the target grants, seconds.
            lease_expires_at: End of the leases that former owners may have requested, seconds on the
                clock that counts suspensions.
            all_clocks: Clocks of the process.
            on_report: Applies a status report; returns False while it can't be applied yet.
            on_runs_lost: Called with a reason when the runs have ended without a report.
            on_fenced: Called when the target has received the fencing token of a later term.
            on_changed: Called when the target's registration or reachability has changed.
            durable: Returns the number of the last durable journal round.
            ticket: Returns the number of the journal round that will hold changes made now.
            pause_s: Returns the pause between two polls, seconds.
            scan_slots: Limits the polls of all sessions that ask for an immediate answer.
            stopping: Whether the owner of all sessions is stopping.
            may_renew: Whether the target's lease may be renewed.
        """
        self._row = row
        self._port = port
        self._fence = fence
        self._lease_s = lease_s
        self._granted_lease_s = granted_lease_s
        self._clocks = all_clocks
        self._on_report = on_report
        self._on_runs_lost = on_runs_lost
        self._on_fenced = on_fenced
        self._on_changed = on_changed
        self._durable = durable
        self._ticket = ticket
        self._pause_s = pause_s
        self._scan_slots = scan_slots
        self._stopping = stopping
        self._may_renew = may_renew
        self._held_report: targets.StatusReport | None = None
        self._released: defer.Deferred[None] | None = None
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._clock_s = 0.0
        self._clock_at = 0.0
        self._processed = 0
        self._acknowledged = 0
        self._pending: collections.deque[tuple[int, int]] = collections.deque()
        self._inherited_lease_end = lease_expires_at
        self._own_lease_end = float("-inf")
        self._failures = 0
        self._extra_polls = 0
        self._incarnations = 0
        self._stop_slots = defer.DeferredSemaphore(MAX_STOPS_IN_FLIGHT)

    @property
    def row(self) -> rows.TargetRow:
        """The target."""
        return self._row

    @property
    def last_clock_s(self) -> float:
        """Target's clock in its last status report, seconds; 0 before the first."""
        return self._clock_s

    @property
    def incarnations(self) -> int:
        """Number of restarts of the target that this session has seen."""
        return self._incarnations

    @property
    def lease_expired(self) -> bool:
        """Whether every run on the target has lost its lease."""
        return self._clocks.boottime() > self._lease_expires_at

    @property
    def _lease_expires_at(self) -> float:
        return max(self._inherited_lease_end, self._own_lease_end)

    @property
    def lease_left_s(self) -> float:
        """Time until every run on the target has lost its lease, seconds; negative after it."""
        return self._lease_expires_at - self._clocks.boottime()

    @property
    def runs_end_by(self) -> float:
        """Time by which every run has ended if nothing is renewed or ordered from now on, seconds.

        It is one on the clock that counts suspensions. A run that no report has listed may be one
        whose start crosses a restart of the target, and has the longest lease from its arrival on.
        """
        now = self._clocks.now()
        arrived_at = [
            run.answered_at or now for run in self._row.runs.values() if not run.listed_at
        ]
        if not arrived_at:
            return self._lease_expires_at
        longest_s = max(arrived_at) - now + lease_expiry_s(self._granted_lease_s)
        return max(self._lease_expires_at, self._clocks.boottime() + longest_s)

    @property
    def runs_ended(self) -> bool:
        """Whether nothing that a former owner ordered can be running on the target."""
        return self._row.replaced or self.lease_expired

    @property
    def answered_at(self) -> float:
        """Time of the last report that was not superseded, seconds; 0 before the first."""
        return self._clock_at

    @property
    def target_clock_s(self) -> float:
        """Estimate of the target's clock, seconds."""
        return self._clock_s + self._clocks.now() - self._clock_at

    @property
    def _wait_s(self) -> float:
        return SHORT_POLL_WAIT_S if self._row.frequent_polling else POLL_WAIT_S

    def start(self) -> None:
        """Starts polling the target."""
        supervision.spawn(self._group, f"polls of {self._row.target_id}", self._poll_reports)

    def close(self) -> None:
        """Stops polling; the lease runs on until it expires."""
        self._group.close()

    def reset_for_new_incarnation(self) -> None:
        """Resets the state that belongs to the target's previous incarnation."""
        self._incarnations += 1
        self._processed = self._acknowledged = 0
        self._pending.clear()
        self._held_report = None
        self._clock_s = 0.0
        self._extend_lease(self._granted_lease_s)
        if self._granted_lease_s > self._lease_s:
            self._group.spawn(self._note_restart())
        if self._row.runs:
            # Starts that were under way may have reached the new incarnation.
            self.poll_soon(0.0)

    async def _note_restart(self) -> None:
        """Marks the target's record while calls to the former incarnation may have a longer lease."""
        number = self._incarnations
        self._row.recently_restarted = True
        self._on_changed(self)
        await self._group.sleep(lease_expiry_s(self._granted_lease_s))
        if number == self._incarnations:
            self._row.recently_restarted = False
            self._on_changed(self)

    def limit_inherited_lease(self, expires_at: float) -> None:
        """Sets the end of former owners' leases, once it is known better."""
        self._inherited_lease_end = min(self._inherited_lease_end, expires_at)

    def _extend_lease(self, lease_s: float) -> None:
        """Counts a lease from now on, unless a longer one is in force: leases never shorten."""
        expires_at = self._clocks.boottime() + lease_expiry_s(lease_s)
        self._own_lease_end = max(self._own_lease_end, expires_at)

    def start_deadline_s(self) -> float:
        """Returns the time on the target's clock until which a start that is sent now is valid."""
        return self.target_clock_s + START_VALID_S

    def poll_soon(self, delay_s: float) -> None:
        """Polls once after a delay, concurrently with the poll that is waiting."""
        self._group.spawn(self._poll_once(delay_s))

    async def _poll_once(self, delay_s: float) -> None:
        await self._group.sleep(delay_s)
        if not (self._clock_s or self._incarnations):
            return
        self._extra_polls += 1
        try:
            outcome = await self._poll(0.0, acknowledges=False)
        finally:
            self._extra_polls -= 1
        if isinstance(outcome, result.Success) and not self._is_superseded(outcome.unwrap()):
            self._apply_safely(outcome.unwrap())

    async def start_run(
        self, order: commands.StartRun
    ) -> result.Result[float, targets.TargetError]:
        """Sends a start order."""
        run = order.run
        sent = targets.StartOrder(
            key=run.key,
            spec=run.task.step.job.job.spec,
            checkpoint=run.task.checkpoint,
            deadline_s=run.order_deadline_s,
        )
        outcome = await self._port.start_run(target=self._row.target, fence=self._fence, order=sent)
        self._check_fence(outcome)
        return outcome

    async def stop_run(self, key: targets.RunKey) -> result.Result[float, targets.TargetError]:
        """Sends a stop order, after those that were sent before it."""
        await self._stop_slots.acquire()
        try:
            outcome = await self._port.stop_run(target=self._row.target, fence=self._fence, key=key)
        finally:
            self._stop_slots.release()
        self._check_fence(outcome)
        return outcome

    async def pace_run(
        self, key: targets.RunKey, percent: int
    ) -> result.Result[float, targets.TargetError]:
        """Sends an order that limits the run's speed."""
        outcome = await self._port.pace_run(
            target=self._row.target, fence=self._fence, key=key, percent=percent
        )
        self._check_fence(outcome)
        return outcome

    def apply_held_report(self) -> None:
        """Applies the last report that could not be applied when it arrived.

        It is as good as a new one: since then the target has refused the orders of former owners.
        """
        report, self._held_report = self._held_report, None
        if report is not None and not self._is_superseded(report) and not self.lease_expired:
            self._run_safely(self._deliver, report)
        if self._released is not None:
            _release(self._released)

    async def _poll_reports(self) -> None:
        wait_s = 0.0
        retry_s = RETRY_DELAY_S
        while not self._group.closed:
            outcome = await self._poll(wait_s)
            if isinstance(outcome, result.Failure):
                wait_s = 0.0
                self._handle_failure(outcome.failure())
                await self._group.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_DELAY_S)
                continue
            retry_s = RETRY_DELAY_S
            first = not self._clock_s
            report = outcome.unwrap()
            if self._is_superseded(report):
                await self._group.sleep(self._pause_s())
                continue
            self._apply_safely(report)
            wait_s = 0.0 if first or self._held_report is not None else self._wait_s
            if not first:
                # The first poll renews nothing, as it learns the target's clock.
                await self._pause()

    async def _pause(self) -> None:
        """Waits before the next poll; while a report is held, until it is applied at the latest."""
        if self._held_report is None:
            await self._group.sleep(self._pause_s())
            return
        released: defer.Deferred[None] = defer.Deferred()
        self._released = released
        timer = self._clocks.loop.callLater(self._lease_s / POLLS_PER_LEASE, _release, released)
        try:
            await released
        finally:
            if timer.active():
                timer.cancel()

    async def _poll(
        self, wait_s: float, *, acknowledges: bool = True
    ) -> result.Result[targets.StatusReport, targets.TargetError]:
        if wait_s or self._failures:
            # Targets that don't answer must not hold up the others.
            return await self._send_poll(wait_s, acknowledges=acknowledges)
        await self._scan_slots.acquire()
        slot = _Slot(semaphore=self._scan_slots)
        timer = self._clocks.loop.callLater(SCAN_SLOT_S, slot.release)
        try:
            if self._stopping():
                self._group.close()
                raise defer.CancelledError
            return await self._send_poll(wait_s, acknowledges=acknowledges)
        finally:
            if timer.active():
                timer.cancel()
            slot.release()

    async def _send_poll(
        self, wait_s: float, *, acknowledges: bool
    ) -> result.Result[targets.StatusReport, targets.TargetError]:
        self._acknowledge_durable()
        return await self._port.renew_and_poll(
            target=self._row.target,
            fence=self._fence,
            # The target may have restarted since, and its new ends have the same numbers. Polls for the
            # outcome of an order are sent just when that is likely.
            acknowledged=self._acknowledged if acknowledges and not self._failures else 0,
            deadline_s=self._renew_lease(),
            wait_s=wait_s,
        )

    def _renew_lease(self) -> float:
        """Returns the end of the lease that the next poll requests, on the target's clock.

        The lease counts as renewed from the time of sending, since an order without an answer may
        have arrived. While polls fail nothing is renewed: otherwise the lease of a target whose
        answers are lost would never end.
        """
        if not self._clock_s or self._failures or not self._may_renew():
            return 0.0
        self._extend_lease(self._lease_s)
        return self.target_clock_s + self._lease_s

    def _is_superseded(self, report: targets.StatusReport) -> bool:
        """Returns whether a report is older than one that was already applied."""
        born, known = report.born, self._row.target.born
        if born and known:
            return born < known or (born == known and report.clock_s < self._clock_s)
        return self._extra_polls > 0 and report.clock_s < self._clock_s

    def _apply_safely(self, report: targets.StatusReport) -> None:
        self._run_safely(self._apply, report)

    def _run_safely(
        self, apply: Callable[[targets.StatusReport], None], report: targets.StatusReport
    ) -> None:
        """Applies a report; an exception in one decision must not let the runs' lease expire."""
        try:
            apply(report)
        except Exception:
            decision_log.write(
                "target.account_failed",
                target=self._row.target_id,
                reason=traceback.format_exc(),
            )

    def _apply(self, report: targets.StatusReport) -> None:
        if not self._clock_s:
            # From the first report on this owner may order runs.
            self._extend_lease(self._lease_s)
        if report.clock_s < self._clock_s or (
            report.born and report.born > self._row.target.born > 0
        ):
            if not self._failures:
                self._row.loss = self._loss(timed_out=True)
            self._on_runs_lost(self, task_ends.NEW_INCARNATION)
            self.reset_for_new_incarnation()
            # The target's own report takes precedence over the target list, which is late.
            if report.born:
                restarted = msgspec.structs.replace(self._row.target, born=report.born)
                self._row.target = restarted
                self._on_changed(self)
        else:
            self._row.loss = None
        self._clock_s = report.clock_s
        self._clock_at = self._clocks.now()
        if self._failures >= FAILURES_UNTIL_UNREACHABLE:
            decision_log.write("target.back", target=self._row.target_id, failures=self._failures)
        self._failures = 0
        self._row.replaced = False
        self._set_reachable(True)
        self._deliver(report)

    def _deliver(self, report: targets.StatusReport) -> None:
        """Hands a report to `on_report`, or holds it while it can't be applied yet."""
        fresh = tuple(ended for ended in report.ended if ended.number > self._processed)
        # The round's number is read before the ended runs are applied: applying them may start the
        # journal round that holds them, and the next number would then be one too high.
        ticket = self._ticket()
        if not self._on_report(self, _with_ends(report, fresh)):
            self._held_report = report
            return
        self._held_report = None
        if fresh:
            self._processed = fresh[-1].number
            self._pending.append((ticket, self._processed))

    def _loss(self, *, timed_out: bool) -> rows.Loss:
        """Returns a loss that is noticed now; an unanswered call may have been under way for long."""
        now = self._clocks.now()
        return rows.Loss(from_s=self._row.last_report_at if timed_out else now, by_s=now)

    def _handle_failure(self, error: targets.TargetError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._row.loss = self._loss(timed_out=targets.is_timeout(error))
        if isinstance(error, targets.RefusedError):
            if error.reason == targets.RefusalReason.FENCE:
                self._on_fenced(str(error))
                return
            if error.reason == targets.RefusalReason.OTHER_INCARNATION:
                self._held_report = None
                self._row.replaced = True
                self._on_runs_lost(self, "other-life")
        if self._failures == FAILURES_UNTIL_UNREACHABLE:
            decision_log.write("target.lost", target=self._row.target_id, reason=str(error))
        if self._failures >= FAILURES_UNTIL_UNREACHABLE:
            self._set_reachable(False)
        if self.lease_expired:
            self._held_report = None
            self._on_runs_lost(self, task_ends.LEASE_EXPIRED)

    def _set_reachable(self, reachable: bool) -> None:
        if self._row.reachable != reachable:
            self._row.reachable = reachable
            self._on_changed(self)

    def _acknowledge_durable(self) -> None:
        """Marks ends as acknowledged once the journal round that holds them is durable."""
        durable = self._durable()
        while self._pending and self._pending[0][0] <= durable:
            self._acknowledged = self._pending.popleft()[1]

    def _check_fence(self, outcome: result.Result[float, targets.TargetError]) -> None:
        if isinstance(outcome, result.Success):
            return
        error = outcome.failure()
        if isinstance(error, targets.RefusedError) and error.reason == targets.RefusalReason.FENCE:
            self._on_fenced(str(error))


def _release(waiting: defer.Deferred[None]) -> None:
    if not waiting.called:
        waiting.callback(None)


def _with_ends(
    report: targets.StatusReport, fresh: tuple[targets.Ended, ...]
) -> targets.StatusReport:
    if len(fresh) == len(report.ended):
        return report
    return msgspec.structs.replace(report, ended=fresh)
