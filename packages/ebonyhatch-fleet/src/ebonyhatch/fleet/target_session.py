"""The owner's session with one target: its lease, its accounts and its orders."""

from __future__ import annotations

import collections
import traceback
from collections.abc import Callable

import msgspec
from ebonyhatch.fleet import clocks, commands, decision_log, rows, targets
from ebonyhatch.node import coroutines
from returns import result

HOLD_WAIT_S = 1.0
"""Longest wait of a target for an end, seconds; readings are renewed as often."""

CLOSE_WAIT_S = 0.4
"""The same while a serving task there is near its limit, seconds: a reading covers half a second."""

PAUSE_S = 0.025
"""Pause between two accounts, seconds: ends that come close together are read at once."""

RETRY_S = 0.03
"""Wait after an account that failed, seconds; doubles up to `RETRY_LIMIT_S`."""

RETRY_LIMIT_S = 0.5

START_VALID_S = 0.6
"""Time within which a start has to arrive, seconds: many times the links' delay. After it a lost
order is refused where it arrives, so that its task can go elsewhere."""

FAILURES_UNREACHABLE = 2
"""Accounts in a row without an answer after which a target gets nothing new; one alone may be an
answer that was lost."""

CLOCK_SLOWNESS = 1.02
"""How much slower a target's clock may run, by the targets' contract."""

LAPSE_MARGIN_S = 0.15
"""Time after a lease's end until its runs count as gone, seconds."""


def lapse_s(lease_s: float) -> float:
    """Give the time from the sending of an extension until every run there is gone, seconds."""
    return lease_s * CLOCK_SLOWNESS + LAPSE_MARGIN_S


class TargetSession:
    """Renews one target's lease by reading its account again and again."""

    def __init__(
        self,
        *,
        row: rows.TargetRow,
        port: targets.Targets,
        fence: int,
        lease_s: float,
        all_clocks: clocks.Clocks,
        on_account: Callable[[TargetSession, targets.Account], bool],
        on_silent: Callable[[TargetSession, str], None],
        on_fenced: Callable[[str], None],
        durable: Callable[[], int],
        ticket: Callable[[], int],
    ) -> None:
        self._row = row
        self._port = port
        self._fence = fence
        self._lease_s = lease_s
        self._clocks = all_clocks
        self._on_account = on_account
        self._on_silent = on_silent
        self._on_fenced = on_fenced
        self._durable = durable
        self._ticket = ticket
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._clock_s = 0.0
        self._clock_at = 0.0
        self._processed = 0
        self._acknowledged = 0
        self._pending: collections.deque[tuple[int, int]] = collections.deque()
        self._lapses_at = self._clocks.boottime() + lapse_s(self._lease_s)
        self._failures = 0
        self._looks = 0

    @property
    def row(self) -> rows.TargetRow:
        """The target."""
        return self._row

    @property
    def lapsed(self) -> bool:
        """Whether every run there has lost its lease."""
        return self._clocks.boottime() > self._lapses_at

    @property
    def target_now_s(self) -> float:
        """Estimate of the target's clock, seconds."""
        return self._clock_s + self._clocks.now() - self._clock_at

    @property
    def _wait_s(self) -> float:
        return CLOSE_WAIT_S if self._row.close_watch else HOLD_WAIT_S

    def start(self) -> None:
        """Begin."""
        self._group.spawn(self._read_accounts())

    def close(self) -> None:
        """End; the lease runs on until its time."""
        self._group.close()

    def new_life(self) -> None:
        """Forget what was known of the former life."""
        self._processed = self._acknowledged = 0
        self._pending.clear()
        self._clock_s = 0.0

    def start_deadline_s(self) -> float:
        """Time on the target's clock until which a start that is sent now is valid."""
        return self.target_now_s + START_VALID_S

    def look_soon(self, delay_s: float) -> None:
        """Read the account after a time, beside the one that is waited for."""
        self._group.spawn(self._look(delay_s))

    async def _look(self, delay_s: float) -> None:
        await self._group.sleep(delay_s)
        if not self._clock_s:
            return
        self._looks += 1
        outcome = await self._port.hold(
            target=self._row.target,
            fence=self._fence,
            acknowledged=self._acknowledged,
            deadline_s=self._extend(),
            wait_s=0.0,
        )
        self._looks -= 1
        if isinstance(outcome, result.Success) and not self._is_overtaken(outcome.unwrap()):
            self._take_safely(outcome.unwrap())

    async def start_run(
        self, order: commands.StartRun
    ) -> result.Result[float, targets.TargetError]:
        """Send a start."""
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
        """Send a stop."""
        outcome = await self._port.stop_run(target=self._row.target, fence=self._fence, key=key)
        self._check_fence(outcome)
        return outcome

    async def pace_run(
        self, key: targets.RunKey, percent: int
    ) -> result.Result[float, targets.TargetError]:
        """Send a pace."""
        outcome = await self._port.pace_run(
            target=self._row.target, fence=self._fence, key=key, percent=percent
        )
        self._check_fence(outcome)
        return outcome

    async def _read_accounts(self) -> None:
        wait_s = 0.0
        retry_s = RETRY_S
        while not self._group.closed:
            self._forget_durable()
            deadline_s = self._extend()
            outcome = await self._port.hold(
                target=self._row.target,
                fence=self._fence,
                acknowledged=self._acknowledged,
                deadline_s=deadline_s,
                wait_s=wait_s,
            )
            if isinstance(outcome, result.Failure):
                wait_s = 0.0
                self._failed(outcome.failure())
                await self._group.sleep(retry_s)
                retry_s = min(2 * retry_s, RETRY_LIMIT_S)
                continue
            retry_s = RETRY_S
            first = not self._clock_s
            account = outcome.unwrap()
            if self._is_overtaken(account):
                continue
            taken = self._take_safely(account)
            wait_s = self._wait_s if taken and not first else 0.0
            if not (taken and first):
                await self._group.sleep(PAUSE_S)

    def _extend(self) -> float:
        """Give the end of the lease that the next account asks for, on the target's clock.

        The lease counts as extended from the sending on, since an order without an answer may
        have arrived. While accounts fail nothing is extended: the lease of a target whose answers
        are lost would never end.
        """
        if not self._clock_s or self._failures:
            return 0.0
        self._lapses_at = self._clocks.boottime() + lapse_s(self._lease_s)
        return self.target_now_s + self._lease_s

    def _is_overtaken(self, account: targets.Account) -> bool:
        """Tell whether an account is older than one that was taken in."""
        born, known = account.born, self._row.target.born
        if born and known:
            return born < known or (born == known and account.clock_s < self._clock_s)
        return self._looks > 0 and account.clock_s < self._clock_s

    def _take_safely(self, account: targets.Account) -> bool:
        """Take in an account; a fault in one decision must not let the runs' lease lapse."""
        try:
            return self._take(account)
        except Exception:
            decision_log.write(
                "target.account_failed",
                target=self._row.target_id,
                reason=traceback.format_exc(),
            )
            return False

    def _take(self, account: targets.Account) -> bool:
        """Take in an account; False while its runs can't be judged yet."""
        if account.clock_s < self._clock_s or (
            account.born and account.born > self._row.target.born > 0
        ):
            self._on_silent(self, "new-life")
            self.new_life()
            # The target's own word comes before the list, which is late.
            if account.born:
                reborn = msgspec.structs.replace(self._row.target, born=account.born)
                self._row.target = reborn
        self._clock_s = account.clock_s
        self._clock_at = self._clocks.now()
        if self._failures >= FAILURES_UNREACHABLE:
            decision_log.write("target.back", target=self._row.target_id, failures=self._failures)
        self._failures = 0
        fresh = tuple(ended for ended in account.ended if ended.number > self._processed)
        self._row.reachable = True
        # Drawn before, since taking in the ends may begin the round that holds them.
        ticket = self._ticket()
        if not self._on_account(self, _with_ends(account, fresh)):
            return False
        if fresh:
            self._processed = fresh[-1].number
            self._pending.append((ticket, self._processed))
        return True

    def _failed(self, error: targets.TargetError) -> None:
        self._failures += 1
        if isinstance(error, targets.RefusedError):
            if error.reason == targets.RefusalReason.FENCE:
                self._on_fenced(str(error))
                return
            if error.reason == targets.RefusalReason.OTHER_LIFE:
                self._on_silent(self, "other-life")
        if self._failures == FAILURES_UNREACHABLE:
            decision_log.write("target.lost", target=self._row.target_id, reason=str(error))
        if self._failures >= FAILURES_UNREACHABLE:
            self._row.reachable = False
        if self.lapsed:
            self._on_silent(self, "lease-lapsed")

    def _forget_durable(self) -> None:
        durable = self._durable()
        while self._pending and self._pending[0][0] <= durable:
            self._acknowledged = self._pending.popleft()[1]

    def _check_fence(self, outcome: result.Result[float, targets.TargetError]) -> None:
        if isinstance(outcome, result.Success):
            return
        error = outcome.failure()
        if isinstance(error, targets.RefusedError) and error.reason == targets.RefusalReason.FENCE:
            self._on_fenced(str(error))


def _with_ends(account: targets.Account, fresh: tuple[targets.Ended, ...]) -> targets.Account:
    if len(fresh) == len(account.ended):
        return account
    return targets.Account(
        clock_s=account.clock_s, running=account.running, ended=fresh, born=account.born
    )
