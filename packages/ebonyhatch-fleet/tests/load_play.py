"""Plays a load on a scheduler without a network: callers, targets that may be slow, and their reports."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from ebonyhatch.fleet import commands, jobs, queues, rows, scheduler, targets

STEP_S = 0.02
REPORT_INTERVAL_S = 1.0
POLL_PAUSE_S = 0.04
WALL_AT_START = 1_000_000.0
ERROR_SIGMA = 0.9
"""Deviation of the logarithm of run times around the declared ones."""


@dataclasses.dataclass(slots=True)
class Work:
    """A run on a played target."""

    run: rows.RunRow
    work_s: float
    done_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """A job with what its caller saw."""

    job: jobs.Job
    queue: queues.Queue
    submitted_at: float
    accepted_at: float | None = None
    ended_at: float | None = None
    refusals: int = 0


class Play:
    """Targets, their runs and the scheduler on one played clock.

    `speed` returns a target's speed at a time, as a fraction of the fleet's.
    """

    def __init__(
        self,
        *,
        seed: int,
        target_count: int,
        cpu_millis: int = 16_000,
        racks: int = 4,
        speed: Callable[[str, float], float] = lambda target_id, now: 1.0,
        poll_pause_s: float = POLL_PAUSE_S,
        **switches: bool,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.speed = speed
        self.poll_pause_s = poll_pause_s
        self.events: list[tuple[float, str, dict]] = []
        self.subject = scheduler.Scheduler(decide=self._decide, **switches)
        self.subject.reconciled = self.subject.may_place = True
        self.works: dict[str, dict[targets.RunKey, Work]] = {}
        self.starts: list[tuple[float, str, str]] = []
        self.jobs: dict[str, Job] = {}
        self._ends: dict[str, list[targets.Ended]] = {}
        self._next_report: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._work_s: dict[str, float] = {}
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        for number in range(target_count):
            self.add_target(f"t{number}", cpu_millis=cpu_millis, rack=f"r{number % racks}")

    def _decide(self, event, run, **fields):
        self.events.append((self.now, event, fields))

    @property
    def wall(self) -> float:
        return WALL_AT_START + self.now

    def add_target(self, target_id: str, *, cpu_millis: int, rack: str = "", born: int = 1) -> None:
        target = targets.Target(
            target_id=target_id,
            address=f"{target_id}:1",
            pool="p",
            failure_domain="a",
            rack=rack,
            born=born,
            cpu_millis=cpu_millis,
            memory_mb=1_000_000,
        )
        row = self.subject.set_target(target, now=self.now)
        row.confirmed = row.announced = True
        self.works[target_id], self._ends[target_id] = {}, []
        self._next_report[target_id] = self.now + self.random.random()

    def call_at(self, at: float, function: Callable[[], None]) -> None:
        heapq.heappush(self._calls, (at, next(self._numbers), function))

    def add(self, job: jobs.Job, queue: queues.Queue, *, work_s: list[list[float]]) -> rows.JobRow:
        """Adds an accepted job; `work_s` holds the work of each task of each step."""
        for index, step in enumerate(work_s):
            for number, seconds in enumerate(step):
                self._work_s[f"{job.job_id}.0.{index}.{number}"] = seconds
        row = rows.JobRow(job=job, queue=queue)
        self.subject.add_job(row, now=self.now, wall=self.wall)
        return row

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = round(self.now + STEP_S, 6)
            while self._calls and self._calls[0][0] <= self.now:
                heapq.heappop(self._calls)[2]()
            for target_id in list(self.works):
                self._advance(target_id)
            for command in self.subject.tick(now=self.now, wall=self.wall):
                self._execute(command)

    def _advance(self, target_id: str) -> None:
        works, ends = self.works[target_id], self._ends[target_id]
        speed = self.speed(target_id, self.now)
        for key, work in list(works.items()):
            work.done_s += STEP_S * speed
            if work.done_s >= work.work_s:
                del works[key]
                number = next(self._numbers)
                ends.append(targets.Ended(number=number, key=key, kind=targets.EndKind.DONE))
        if self.now >= self._next_report[target_id] or (
            ends and self.now >= self._next_report[target_id] - REPORT_INTERVAL_S
        ):
            self._report(target_id)

    def _report(self, target_id: str) -> None:
        row = self.subject.tables.targets[target_id]
        running = tuple(
            targets.Running(key=key, percent=round(min(99.0, 100 * work.done_s / work.work_s), 1))
            for key, work in self.works[target_id].items()
        )
        report = targets.StatusReport(
            clock_s=self.now + 1,
            born=row.target.born,
            running=running,
            ended=tuple(self._ends[target_id]),
        )
        self._ends[target_id].clear()
        self.subject.apply_report(row, report, now=self.now)
        for changed in self.subject.drain_changed_jobs():
            job = self.jobs.get(changed.job.job_id)
            if job is not None and changed.ended and job.ended_at is None:
                job.ended_at = self.now
        self._next_report[target_id] = self.now + REPORT_INTERVAL_S + self.poll_pause_s

    def _execute(self, command: commands.Command) -> None:
        if isinstance(command, commands.StartRun):
            run = command.run
            work = Work(run, self._work_s[run.key.task])
            self.works[run.target.target_id][run.key] = work
            self.starts.append((self.now, run.key.task, run.target.target_id))
            self.subject.reconciler.start_confirmed(run, clock_s=self.now + 1, now=self.now)
        elif isinstance(command, commands.StopRun):
            target_id = command.target.target_id
            if self.works[target_id].pop(command.key, None) is not None:
                self._ends[target_id].append(
                    targets.Ended(
                        number=next(self._numbers), key=command.key, kind=targets.EndKind.STOPPED
                    )
                )


def actual_s(random_source: random.Random, estimate_s: float) -> float:
    """Returns a run time that deviates from its estimate as those of callers do."""
    return estimate_s * random_source.lognormvariate(0.0, ERROR_SIGMA)
