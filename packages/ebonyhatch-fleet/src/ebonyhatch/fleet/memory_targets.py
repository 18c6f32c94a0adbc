"""An in-memory implementation of targets, on any clock, with injectable faults."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from ebonyhatch.fleet import memory_link, targets
from returns import result
from twisted.internet import defer, task

LISTED_ENDS = 500
"""Largest number of ends in a report."""

CALL_LATENCY_S = 0.002
"""Duration of a call, seconds."""

CALL_TIMEOUT_S = 0.4
"""Time after which a call without an answer fails, seconds."""

POLL_S = 0.01
"""Interval at which a waiting poll checks for ends, seconds."""

RUNNING_BYTES = 70
"""Size of a running run in a status report on a link, bytes."""

ORDER_ANSWER_BYTES = 250
"""Size of the answer to an order on a link, bytes."""

T = TypeVar("T")


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetFaults:
    """Faults to inject on one target.

    Attributes:
        down: Its runs make no progress and it answers nothing.
        partitioned: Its runs go on, and it neither receives nor answers calls.
        unresponsive: All calls are carried out and get no answer.
        delay_s: Orders get no answer and are carried out after this delay, seconds; 0 for none.
        lose_answers: Orders are carried out and get no answer; polls are answered.
        fail_runs: Every run that starts fails after `fail_after_s`.
        fail_after_s: Time until such a run fails, seconds.
        hang: Runs make no progress.
        replaced: Another incarnation with an id of its own answers at its address.
        max_runs: Number of runs from which it refuses further ones for lack of capacity.
    """

    down: bool = False
    partitioned: bool = False
    unresponsive: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    fail_runs: bool = False
    fail_after_s: float = 0.05
    hang: bool = False
    replaced: bool = False
    max_runs: int = 1_000_000


@dataclasses.dataclass(slots=True, kw_only=True)
class MemoryRun:
    """A run on a target: the work that it needs and the work done, seconds at full speed."""

    key: targets.RunKey
    work_s: float
    done_s: float = 0.0
    pace: int = 100
    long_running: bool = False


class TargetEngine:
    """One target: its incarnation, its lease, its runs and the unacknowledged ends.

    `work_s` returns the work of a task by its name, seconds at full speed; a negative number makes
    the task a long-running one. A lease of more than `max_lease_s` seconds is shortened to it.
    """

    def __init__(
        self,
        *,
        clock: Any,
        target: targets.Target,
        work_s: Callable[[str], float],
        max_lease_s: float = math.inf,
    ) -> None:
        self.clock = clock
        self.max_lease_s = max_lease_s
        self.target = target
        self.faults = TargetFaults()
        self.work_s = work_s
        self.fence = 0
        self.runs: dict[targets.RunKey, MemoryRun] = {}
        self.ends: list[targets.Ended] = []
        self.highest_runs: dict[str, int] = {}
        self.started: list[tuple[float, targets.RunKey, str]] = []
        self.ended: list[tuple[float, targets.RunKey, targets.EndKind]] = []
        self.acknowledged: list[tuple[float, targets.RunKey]] = []
        self.polls = 0
        self.refused_for_capacity = 0
        self._last_end_number = 0
        self._started_at = clock.seconds()
        self._lease_expires_s = 0.0
        self._last_expiry_s = 0.0
        self._ended_s: dict[int, float] = {}
        self._advanced_at = clock.seconds()

    @property
    def clock_s(self) -> float:
        """Its own clock, seconds."""
        return self.clock.seconds() - self._started_at + 1.0

    def advance_clock(self, seconds: float) -> None:
        """Advances its clock against those of processes that were suspended for that time."""
        self._started_at -= seconds

    def restart(self) -> None:
        """Starts a new incarnation under the same id."""
        born = self.target.born + 1
        self.target = msgspec.structs.replace(self.target, born=born)
        self._lose_runs()
        self.fence = 0
        self.ends.clear()
        self.highest_runs.clear()
        self._last_end_number = 0
        self._started_at = self.clock.seconds()
        self._lease_expires_s = self._last_expiry_s = 0.0
        self._ended_s.clear()

    def advance(self) -> None:
        """Advances the runs to the present, and ends those that are done, failed or expired."""
        now = self.clock.seconds()
        elapsed_s = now - self._advanced_at
        self._advanced_at = now
        if self.faults.down:
            # No run makes progress, and none outlives its lease.
            if self.clock_s > self._lease_expires_s:
                self._lose_runs()
            return
        for run in list(self.runs.values()):
            if not self.faults.hang:
                run.done_s += elapsed_s * run.pace / 100
            if self.clock_s > self._lease_expires_s:
                self._end(run, targets.EndKind.LAPSED)
            elif self.faults.fail_runs and run.done_s >= self.faults.fail_after_s:
                self._end(run, targets.EndKind.FAILED)
            elif not run.long_running and run.done_s >= run.work_s:
                self._end(run, targets.EndKind.DONE)

    def start(self, fence: int, order: targets.StartOrder) -> targets.RefusalReason | None:
        """Starts a run."""
        self.advance()
        self._extend_lease(order.deadline_s)
        if fence < self.fence:
            return targets.RefusalReason.FENCE
        self.fence = fence
        if order.deadline_s < self.clock_s:
            return targets.RefusalReason.DEADLINE_PASSED
        if order.key in self.runs:
            return None
        if order.key.run <= self.highest_runs.get(order.key.task, 0):
            return targets.RefusalReason.STALE_RUN
        if len(self.runs) >= self.faults.max_runs:
            self.refused_for_capacity += 1
            return targets.RefusalReason.NO_CAPACITY
        self.highest_runs[order.key.task] = order.key.run
        work_s = self.work_s(order.key.task)
        self.runs[order.key] = MemoryRun(key=order.key, work_s=abs(work_s), long_running=work_s < 0)
        self.started.append((self.clock.seconds(), order.key, self.target.target_id))
        return None

    def stop(self, fence: int, key: targets.RunKey) -> targets.RefusalReason | None:
        """Stops a run."""
        self.advance()
        if fence < self.fence:
            return targets.RefusalReason.FENCE
        self.fence = fence
        self.highest_runs[key.task] = max(self.highest_runs.get(key.task, 0), key.run)
        if key in self.runs:
            self._end(self.runs[key], targets.EndKind.STOPPED)
        return None

    def renew_and_acknowledge(
        self, fence: int, acknowledged: int, deadline_s: float
    ) -> targets.RefusalReason | None:
        """Renews the lease and forgets acknowledged ends."""
        self.advance()
        if fence < self.fence:
            return targets.RefusalReason.FENCE
        self.fence = fence
        if self.clock_s > self._lease_expires_s:
            self._last_expiry_s = self.clock_s
        self._extend_lease(deadline_s)
        for ended in self.ends:
            # An end before an expiry of the lease permanently counts as unacknowledged.
            if ended.number <= acknowledged and self._ended_s[ended.number] > self._last_expiry_s:
                self.acknowledged.append((self.clock.seconds(), ended.key))
        self.ends = [ended for ended in self.ends if ended.number > acknowledged]
        return None

    def status_report(self) -> targets.StatusReport:
        """Returns the status report."""
        return targets.StatusReport(
            born=self.target.born,
            clock_s=self.clock_s,
            running=tuple(_running(run) for run in self.runs.values()),
            ended=tuple(self.ends[:LISTED_ENDS]),
            ends_complete=len(self.ends) < LISTED_ENDS,
        )

    def _extend_lease(self, deadline_s: float) -> None:
        deadline_s = min(deadline_s, self.clock_s + self.max_lease_s)
        self._lease_expires_s = max(self._lease_expires_s, deadline_s)

    def _lose_runs(self) -> None:
        """Drops all runs without reporting their ends."""
        for key in self.runs:
            self.ended.append((self.clock.seconds(), key, targets.EndKind.LAPSED))
        self.runs.clear()

    def carry_out_delayed(
        self, order: Callable[[TargetEngine], targets.RefusalReason | None], *, born: int
    ) -> None:
        """Carries out a delayed order, unless the process that received it has ended since."""
        if self.target.born == born and not self.faults.down:
            order(self)

    def _end(self, run: MemoryRun, kind: targets.EndKind) -> None:
        del self.runs[run.key]
        self._last_end_number += 1
        self._ended_s[self._last_end_number] = self.clock_s
        self.ends.append(targets.Ended(number=self._last_end_number, key=run.key, kind=kind))
        self.ended.append((self.clock.seconds(), run.key, kind))


class MemoryTargets(targets.Targets):
    """One owner's connection to the engines, over its link if it has one."""

    def __init__(
        self,
        *,
        clock: Any,
        engines: dict[str, TargetEngine],
        link: memory_link.Link | None = None,
        poll_s: float = POLL_S,
    ) -> None:
        self._clock = clock
        self._engines = engines
        self._link = link
        self._poll_s = poll_s
        self.partitioned = False
        self.unreached: frozenset[str] = frozenset()

    async def start_run(
        self, *, target: targets.Target, fence: int, order: targets.StartOrder
    ) -> result.Result[float, targets.TargetError]:
        """Starts a run."""
        return await self._send_order(target, lambda engine: engine.start(fence, order))

    async def stop_run(
        self, *, target: targets.Target, fence: int, key: targets.RunKey
    ) -> result.Result[float, targets.TargetError]:
        """Stops a run."""
        return await self._send_order(target, lambda engine: engine.stop(fence, key))

    async def pace_run(
        self, *, target: targets.Target, fence: int, key: targets.RunKey, percent: int
    ) -> result.Result[float, targets.TargetError]:
        """Limits a run to a percentage of its full speed."""

        def pace(engine: TargetEngine) -> targets.RefusalReason | None:
            engine.advance()
            if fence < engine.fence:
                return targets.RefusalReason.FENCE
            if key in engine.runs:
                engine.runs[key].pace = percent
            return None

        return await self._send_order(target, pace)

    async def renew_and_poll(
        self,
        *,
        target: targets.Target,
        fence: int,
        acknowledged: int,
        deadline_s: float,
        wait_s: float,
    ) -> result.Result[targets.StatusReport, targets.TargetError]:
        """Renews the lease, acknowledges ends and reads the status report."""
        return await self._over_link(
            target,
            lambda: self._renew_and_poll(target, fence, acknowledged, deadline_s, wait_s),
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )

    async def _renew_and_poll(
        self,
        target: targets.Target,
        fence: int,
        acknowledged: int,
        deadline_s: float,
        wait_s: float,
    ) -> result.Result[targets.StatusReport, targets.TargetError]:
        renewed = await self._call(
            target,
            lambda engine: engine.renew_and_acknowledge(fence, acknowledged, deadline_s),
            is_order=False,
        )
        if isinstance(renewed, result.Failure):
            return renewed
        engine = self._engines[target.target_id]
        engine.polls += 1
        deadline = self._clock.seconds() + wait_s
        while not engine.ends and self._clock.seconds() < deadline:
            await task.deferLater(self._clock, self._poll_s)
            engine.advance()
            if (
                engine.faults.down
                or engine.faults.partitioned
                or engine.faults.unresponsive
                or self.partitioned
                or target.target_id in self.unreached
            ):
                await task.deferLater(self._clock, CALL_TIMEOUT_S)
                return result.Failure(_unknown(target))
        return result.Success(engine.status_report())

    async def _send_order(
        self,
        target: targets.Target,
        carry_out: Callable[[TargetEngine], targets.RefusalReason | None],
    ) -> result.Result[float, targets.TargetError]:
        return await self._over_link(
            target, lambda: self._call(target, carry_out), timeout_s=CALL_TIMEOUT_S
        )

    async def _over_link(
        self,
        target: targets.Target,
        carry_out: Callable[[], Awaitable[result.Result[T, targets.TargetError]]],
        *,
        timeout_s: float,
    ) -> result.Result[T, targets.TargetError]:
        """Carries out a call; one whose answer has not passed the link in time fails."""
        link = self._link
        if link is None:
            return await carry_out()

        async def pass_link() -> result.Result[T, targets.TargetError]:
            await link.send(memory_link.REQUEST_BYTES)
            outcome = await carry_out()
            await link.receive(_answer_bytes(outcome))
            return outcome

        try:
            return await link.bound(pass_link(), timeout_s=timeout_s)
        except defer.TimeoutError:
            return result.Failure(_unknown(target))

    async def _call(
        self,
        target: targets.Target,
        carry_out: Callable[[TargetEngine], targets.RefusalReason | None],
        *,
        is_order: bool = True,
    ) -> result.Result[float, targets.TargetError]:
        await task.deferLater(self._clock, CALL_LATENCY_S)
        engine = self._engines.get(target.target_id)
        unreached = self.partitioned or target.target_id in self.unreached
        if engine is None or engine.faults.down or engine.faults.partitioned or unreached:
            await task.deferLater(self._clock, CALL_TIMEOUT_S)
            return result.Failure(_unknown(target))
        if engine.faults.replaced:
            other = targets.RefusalReason.OTHER_INCARNATION
            return result.Failure(targets.RefusedError(target_id=target.target_id, reason=other))
        if engine.faults.delay_s and is_order:
            self._clock.callLater(
                engine.faults.delay_s, engine.carry_out_delayed, carry_out, born=engine.target.born
            )
            await task.deferLater(self._clock, CALL_TIMEOUT_S)
            return result.Failure(_unknown(target))
        reason = carry_out(engine)
        if engine.faults.unresponsive or (engine.faults.lose_answers and is_order):
            await task.deferLater(self._clock, CALL_TIMEOUT_S)
            return result.Failure(_unknown(target))
        if reason is not None:
            return result.Failure(targets.RefusedError(target_id=target.target_id, reason=reason))
        return result.Success(engine.clock_s)


def _unknown(target: targets.Target) -> targets.UnknownOutcomeError:
    return targets.UnknownOutcomeError(
        target_id=target.target_id, reason="no answer", timed_out=True
    )


def _answer_bytes(outcome: result.Result[Any, targets.TargetError]) -> int:
    value = outcome.unwrap() if isinstance(outcome, result.Success) else None
    if not isinstance(value, targets.StatusReport):
        return ORDER_ANSWER_BYTES
    rows = len(value.running) + len(value.ended)
    return memory_link.REQUEST_BYTES + RUNNING_BYTES * rows


def _running(run: MemoryRun) -> targets.Running:
    percent = 100.0 if run.long_running else min(99.0, 100 * run.done_s / run.work_s)
    return targets.Running(key=run.key, percent=percent)
