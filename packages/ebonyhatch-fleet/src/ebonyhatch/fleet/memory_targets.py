"""Targets' twin in memory, on any clock, with switches for their faults."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec
from ebonyhatch.fleet import targets
from returns import result
from twisted.internet import task

ORDER_LATENCY_S = 0.002
"""Time that a call takes, seconds."""

SILENCE_S = 0.4
"""Time until a call without an answer is given up, seconds."""

POLL_S = 0.01
"""Time between two looks of a waiting account, seconds."""


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetFaults:
    """What goes wrong on one target.

    Attributes:
        down: It runs nothing and answers nothing.
        cut: It runs on and answers nothing.
        mute: Everything is carried out, and nothing is answered.
        late_s: Orders get no answer and are carried out so much later, seconds; 0 for not.
        lose_answers: Orders are carried out and not answered.
        fail_runs: Every run that starts fails after `fail_after_s`.
        fail_after_s: Time until such a run fails, seconds.
        hang: Runs make no progress.
    """

    down: bool = False
    cut: bool = False
    mute: bool = False
    late_s: float = 0.0
    lose_answers: bool = False
    fail_runs: bool = False
    fail_after_s: float = 0.05
    hang: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class MemoryRun:
    """A run on a target, with the work that it still has to do."""

    key: targets.RunKey
    work_s: float
    done_s: float = 0.0
    pace: int = 100
    lasting: bool = False


class TargetEngine:
    """One target: its life, its lease, its runs and the ends that are not acknowledged."""

    def __init__(
        self, *, clock: Any, target: targets.Target, work_s: Callable[[str], float]
    ) -> None:
        self.clock = clock
        self.target = target
        self.faults = TargetFaults()
        self.work_s = work_s
        self.fence = 0
        self.runs: dict[targets.RunKey, MemoryRun] = {}
        self.ends: list[targets.Ended] = []
        self.highest: dict[str, int] = {}
        self.started: list[tuple[float, targets.RunKey, str]] = []
        self.ended: list[tuple[float, targets.RunKey, targets.EndKind]] = []
        self.acknowledged: list[tuple[float, targets.RunKey]] = []
        self._number = 0
        self._born_at = clock.seconds()
        self._lease_until_s = 0.0
        self._lapsed_s = 0.0
        self._ended_s: dict[int, float] = {}
        self._worked_at = clock.seconds()

    @property
    def clock_s(self) -> float:
        """Its own clock, seconds."""
        return self.clock.seconds() - self._born_at + 1.0

    def run_ahead(self, seconds: float) -> None:
        """Let its clock run ahead of those of processes that were suspended meanwhile."""
        self._born_at -= seconds

    def reborn(self) -> None:
        """Begin a new life under the same id."""
        born = self.target.born + 1
        self.target = msgspec.structs.replace(self.target, born=born)
        self._lose_runs()
        self.fence = 0
        self.ends.clear()
        self.highest.clear()
        self._number = 0
        self._born_at = self.clock.seconds()
        self._lease_until_s = self._lapsed_s = 0.0
        self._ended_s.clear()

    def advance(self) -> None:
        """Let the runs work until now, and end those whose time has come."""
        now = self.clock.seconds()
        elapsed_s = now - self._worked_at
        self._worked_at = now
        if self.faults.down:
            # Nothing works there, and nothing outlives its lease.
            if self.clock_s > self._lease_until_s:
                self._lose_runs()
            return
        for run in list(self.runs.values()):
            if not self.faults.hang:
                run.done_s += elapsed_s * run.pace / 100
            if self.clock_s > self._lease_until_s:
                self._end(run, targets.EndKind.LAPSED)
            elif self.faults.fail_runs and run.done_s >= self.faults.fail_after_s:
                self._end(run, targets.EndKind.FAILED)
            elif not run.lasting and run.done_s >= run.work_s:
                self._end(run, targets.EndKind.DONE)

    def start(self, fence: int, order: targets.StartOrder) -> targets.RefusalReason | None:
        """Start a run."""
        self.advance()
        self._extend(order.deadline_s)
        if fence < self.fence:
            return targets.RefusalReason.FENCE
        self.fence = fence
        if order.deadline_s < self.clock_s:
            return targets.RefusalReason.LATE
        if order.key in self.runs:
            return None
        if order.key.run <= self.highest.get(order.key.task, 0):
            return targets.RefusalReason.OLD_RUN
        self.highest[order.key.task] = order.key.run
        work_s = self.work_s(order.key.task)
        self.runs[order.key] = MemoryRun(key=order.key, work_s=abs(work_s), lasting=work_s < 0)
        self.started.append((self.clock.seconds(), order.key, self.target.target_id))
        return None

    def stop(self, fence: int, key: targets.RunKey) -> targets.RefusalReason | None:
        """Stop a run."""
        self.advance()
        if fence < self.fence:
            return targets.RefusalReason.FENCE
        self.fence = fence
        self.highest[key.task] = max(self.highest.get(key.task, 0), key.run)
        if key in self.runs:
            self._end(self.runs[key], targets.EndKind.STOPPED)
        return None

    def hold(
        self, fence: int, acknowledged: int, deadline_s: float
    ) -> targets.RefusalReason | None:
        """Extend the lease and forget ends."""
        self.advance()
        if fence < self.fence:
            return targets.RefusalReason.FENCE
        self.fence = fence
        if self.clock_s > self._lease_until_s:
            self._lapsed_s = self.clock_s
        self._extend(deadline_s)
        for ended in self.ends:
            # An end before a lapse of the lease stands for good as not acknowledged.
            if ended.number <= acknowledged and self._ended_s[ended.number] > self._lapsed_s:
                self.acknowledged.append((self.clock.seconds(), ended.key))
        self.ends = [ended for ended in self.ends if ended.number > acknowledged]
        return None

    def account(self) -> targets.Account:
        """Give the account."""
        return targets.Account(
            born=self.target.born,
            clock_s=self.clock_s,
            running=tuple(_running(run) for run in self.runs.values()),
            ended=tuple(self.ends),
        )

    def _extend(self, deadline_s: float) -> None:
        self._lease_until_s = max(self._lease_until_s, deadline_s)

    def _lose_runs(self) -> None:
        """Drop all runs without listing their ends."""
        for key in self.runs:
            self.ended.append((self.clock.seconds(), key, targets.EndKind.LAPSED))
        self.runs.clear()

    def carry_out_late(
        self, order: Callable[[TargetEngine], targets.RefusalReason | None], *, born: int
    ) -> None:
        """Do what a process received and left lying; what ended with that process is not done."""
        if self.target.born == born and not self.faults.down:
            order(self)

    def _end(self, run: MemoryRun, kind: targets.EndKind) -> None:
        del self.runs[run.key]
        self._number += 1
        self._ended_s[self._number] = self.clock_s
        self.ends.append(targets.Ended(number=self._number, key=run.key, kind=kind))
        self.ended.append((self.clock.seconds(), run.key, kind))


class MemoryTargets(targets.Targets):
    """One owner's way to the engines."""

    def __init__(self, *, clock: Any, engines: dict[str, TargetEngine]) -> None:
        self._clock = clock
        self._engines = engines
        self.cut = False

    async def start_run(
        self, *, target: targets.Target, fence: int, order: targets.StartOrder
    ) -> result.Result[float, targets.TargetError]:
        """Start a run."""
        return await self._order(target, lambda engine: engine.start(fence, order))

    async def stop_run(
        self, *, target: targets.Target, fence: int, key: targets.RunKey
    ) -> result.Result[float, targets.TargetError]:
        """Stop a run."""
        return await self._order(target, lambda engine: engine.stop(fence, key))

    async def pace_run(
        self, *, target: targets.Target, fence: int, key: targets.RunKey, percent: int
    ) -> result.Result[float, targets.TargetError]:
        """Let a run work at a share of its speed."""

        def pace(engine: TargetEngine) -> targets.RefusalReason | None:
            engine.advance()
            if fence < engine.fence:
                return targets.RefusalReason.FENCE
            if key in engine.runs:
                engine.runs[key].pace = percent
            return None

        return await self._order(target, pace)

    async def hold(
        self,
        *,
        target: targets.Target,
        fence: int,
        acknowledged: int,
        deadline_s: float,
        wait_s: float,
    ) -> result.Result[targets.Account, targets.TargetError]:
        """Extend the lease, acknowledge ends and read the account."""
        held = await self._order(
            target, lambda engine: engine.hold(fence, acknowledged, deadline_s), late=False
        )
        if isinstance(held, result.Failure):
            return held
        engine = self._engines[target.target_id]
        until = self._clock.seconds() + wait_s
        while not engine.ends and self._clock.seconds() < until:
            await task.deferLater(self._clock, POLL_S)
            engine.advance()
            if engine.faults.down or engine.faults.cut or engine.faults.mute or self.cut:
                await task.deferLater(self._clock, SILENCE_S)
                return result.Failure(_unknown(target))
        return result.Success(engine.account())

    async def _order(
        self,
        target: targets.Target,
        carry_out: Callable[[TargetEngine], targets.RefusalReason | None],
        *,
        late: bool = True,
    ) -> result.Result[float, targets.TargetError]:
        await task.deferLater(self._clock, ORDER_LATENCY_S)
        engine = self._engines.get(target.target_id)
        if engine is None or engine.faults.down or engine.faults.cut or self.cut:
            await task.deferLater(self._clock, SILENCE_S)
            return result.Failure(_unknown(target))
        if engine.faults.late_s and late:
            self._clock.callLater(
                engine.faults.late_s, engine.carry_out_late, carry_out, born=engine.target.born
            )
            await task.deferLater(self._clock, SILENCE_S)
            return result.Failure(_unknown(target))
        reason = carry_out(engine)
        if engine.faults.mute or (engine.faults.lose_answers and late):
            await task.deferLater(self._clock, SILENCE_S)
            return result.Failure(_unknown(target))
        if reason is not None:
            return result.Failure(targets.RefusedError(target_id=target.target_id, reason=reason))
        return result.Success(engine.clock_s)


def _unknown(target: targets.Target) -> targets.UnknownOutcomeError:
    return targets.UnknownOutcomeError(target_id=target.target_id, reason="no answer")


def _running(run: MemoryRun) -> targets.Running:
    percent = 100.0 if run.lasting else min(99.0, 100 * run.done_s / run.work_s)
    return targets.Running(key=run.key, percent=percent)
