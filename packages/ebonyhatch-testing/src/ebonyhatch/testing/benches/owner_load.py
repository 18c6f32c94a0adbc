"""Bench `owner_load`: processor time of one owner by targets, load and backlog.

The load is that of the services that the fleet was measured with: short tasks of 3.5 to 4.1 cores
that run for 0.7 to 1.9 s, serving tasks, and fillers, which use processor time left over by others.
"""

from __future__ import annotations

import functools
import heapq
import json
import os
import random
from collections.abc import Callable
from typing import Any

from ebonyhatch.fleet import (
    commands,
    decision_log,
    jobs,
    known_targets,
    metrics,
    progress,
    queues,
    rows,
    scheduler,
    targets,
)
from ebonyhatch.testing.benches import capacity_slopes, registry
from twisted.internet import task

TARGET_COUNTS = (48, 176, 350, 1000, 3300)
QUICK_TARGET_COUNTS = (12, 24)
BACKLOGS = (0, 1000, 3000, 6000)
QUICK_BACKLOGS = (0, 40)
STARTS_PER_TARGET_S = 2.1
SERVING_PER_TARGET = 117 / 176
TICK_S = 0.008
WARM_UP_S = 4.0
MEASURED_S = 2.0
QUICK_S = 0.5
POLL_S = 1.0
CORES_MILLIS = (32_000, 48_000)
REPEATS = 5
LINES = 5_000

QUEUE = queues.Queue(
    name="quotes", host="h", prefix="/q/", pool="pool", priority=1, max_attempts=3, stretch=2.0
)
FILLERS = queues.Queue(
    name="plans", host="h", prefix="/p/", pool="pool", priority=2, max_attempts=3, stretch=4.0
)


class Fleet:
    """A scheduler with simulated targets, driven by its own clock.

    Attributes:
        now: Time, seconds.
        cpu_s: Processor time by kind of work, seconds.
        counts: Number of calls by kind of work.
    """

    def __init__(self, *, target_count: int, seed: int, decide: commands.Decide) -> None:
        self.now = 10.0
        self.cpu_s: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self._random = random.Random(seed)
        self._ids = 0
        self._owed = 0.0
        self._ends: list[tuple[float, int, rows.RunRow]] = []
        self._end_numbers: dict[str, int] = {}
        self._polled_at: dict[str, float] = {}
        self.scheduler = scheduler.Scheduler(decide=decide)
        self.scheduler.reconciled = self.scheduler.may_place = True
        for number in range(target_count):
            self._add_target(number)

    @property
    def target_rows(self) -> list[rows.TargetRow]:
        """Rows of all targets."""
        return list(self.scheduler.tables.targets.values())

    def submit(self, step: jobs.Step, *, queue: queues.Queue = QUEUE) -> None:
        """Submits a job of one step."""
        self._ids += 1
        job = jobs.Job(
            job_id=f"{self._ids:016x}",
            queue=queue.name,
            spec="",
            steps=(step,),
            accepted_at=self.now,
        )
        row = rows.JobRow(job=job, queue=queue)
        self._measure("job", lambda: self.scheduler.add_job(row, now=self.now, wall=self.now))

    def submit_base_load(self) -> None:
        """Submits the serving tasks and a filler for every second target."""
        count = len(self.scheduler.tables.targets)
        for _ in range(max(1, round(count * SERVING_PER_TARGET / 9))):
            cpu_millis = self._random.randrange(4000, 9000)
            self.submit(
                jobs.Step(
                    count=9,
                    cpu_millis=cpu_millis,
                    memory_mb=2000,
                    long_running=True,
                    image=self._random.choice(("s1", "s2", "s3")),
                    tail_limit_s=0.2,
                    disruption_budget=1,
                )
            )
        for _ in range(count // 2):
            image = self._random.choice(("f1", "f2", "f3"))
            self.submit(
                jobs.Step(count=1, cpu_millis=3000, estimate_s=60, filler=True, image=image),
                queue=FILLERS,
            )

    def short_step(self) -> jobs.Step:
        """Returns the step of a short job."""
        return jobs.Step(
            count=1,
            cpu_millis=self._random.randrange(3500, 4100),
            memory_mb=self._random.randrange(500, 1500),
            estimate_s=round(self._random.uniform(0.7, 1.9), 2),
            image=self._random.choice(("a", "b", "c", "d")),
        )

    def run(self, seconds: float, *, starts_per_s: float) -> None:
        """Advances the fleet under a load of short jobs."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            self._owed += starts_per_s * TICK_S
            while self._owed >= 1:
                self._owed -= 1
                self.submit(self.short_step())
            self._report_targets()
            self.tick()
            changed = self.scheduler.drain_changed_jobs()
            if changed:
                self._measure("encode", functools.partial(_encode, changed))
                self.counts["encode"] += len(changed) - 1
            for row in changed:
                if row.ended:
                    self.scheduler.forget(row.job.job_id)

    def tick(self) -> None:
        """Runs one tick and confirms its starts."""
        due = self._measure("tick", lambda: self.scheduler.tick(now=self.now, wall=self.now))
        self._measure("wake", lambda: self.scheduler.next_wake_s(now=self.now, wall=self.now))
        for command in due:
            if isinstance(command, commands.StartRun):
                run = command.run
                self._confirm(run)
                self.counts["starts"] = self.counts.get("starts", 0) + 1
                step = run.task.step.step
                if not (step.long_running or step.filler):
                    heapq.heappush(self._ends, (self.now + step.estimate_s, id(run), run))

    def fill(self) -> None:
        """Places short jobs until no target has free capacity for one more."""
        waiting = self.scheduler.tables.waiting
        while not waiting:
            for _ in range(100):
                self.submit(self.short_step())
            for _ in range(100):
                self.now += TICK_S
                self.tick()
                if not waiting:
                    break

    def lose_all(self) -> None:
        """Loses the runs of all targets, whose tasks then wait."""
        for row in self.target_rows:
            row.confirmed = False
            self.scheduler.mark_runs_lost(row, why="lease-lapsed", now=self.now)
        self._ends.clear()

    def status_report(
        self, row: rows.TargetRow, ended: tuple[targets.Ended, ...] = ()
    ) -> targets.StatusReport:
        """Returns a status report of a target, in which every run has advanced."""
        gone = {end.key for end in ended}
        return targets.StatusReport(
            clock_s=self.now,
            born=1,
            running=tuple(
                targets.Running(
                    key=targets.RunKey(task=key.task, run=key.run),
                    percent=self.now,
                    reading=60.0 if run.task.step.step.tail_limit_s else 2500.0,
                )
                for key, run in row.runs.items()
                if key not in gone
            ),
            ended=ended,
        )

    def apply(self, row: rows.TargetRow, report: targets.StatusReport) -> None:
        """Applies a status report."""
        kind = "report with ends" if report.ended else "report"
        self._measure(kind, lambda: self.scheduler.apply_report(row, report, now=self.now))

    def _report_targets(self) -> None:
        ended: dict[str, list[rows.RunRow]] = {}
        while self._ends and self._ends[0][0] <= self.now:
            run = heapq.heappop(self._ends)[2]
            ended.setdefault(run.target.target_id, []).append(run)
        for row in self.target_rows:
            runs = ended.get(row.target_id)
            if runs or self.now - self._polled_at[row.target_id] >= POLL_S:
                self._polled_at[row.target_id] = self.now
                ends = tuple(self._end(run) for run in runs or ())
                self.apply(row, self.status_report(row, ends))

    def _end(self, run: rows.RunRow) -> targets.Ended:
        target_id = run.target.target_id
        number = self._end_numbers[target_id] = self._end_numbers.get(target_id, 0) + 1
        return targets.Ended(number=number, key=run.key, kind=targets.EndKind.DONE)

    def _confirm(self, run: rows.RunRow) -> None:
        confirm = self.scheduler.reconciler.start_confirmed
        self._measure("confirm", lambda: confirm(run, clock_s=self.now, now=self.now))

    def _measure(self, kind: str, work: Callable[[], Any]) -> Any:
        result: list[Any] = []
        spent_s = capacity_slopes.cpu_s(lambda: result.append(work()))
        self.cpu_s[kind] = self.cpu_s.get(kind, 0.0) + spent_s
        self.counts[kind] = self.counts.get(kind, 0) + 1
        return result[0]

    def _add_target(self, number: int) -> None:
        target = targets.Target(
            target_id=f"target-{number:04}",
            address=f"127.0.0.1:{number + 1}",
            pool="pool",
            failure_domain=f"d{number % 3}",
            born=1,
            rack=f"r{number % 8}",
            cpu_millis=self._random.choice(CORES_MILLIS),
            memory_mb=200_000,
        )
        row = self.scheduler.set_target(target, now=self.now)
        row.confirmed = row.announced = True
        self._polled_at[row.target_id] = self.now - self._random.uniform(0, POLL_S)


def _encode(changed: list[rows.JobRow]) -> list[bytes]:
    return [progress.encode(row) for row in changed]


def _ignore(event: str, run: rows.RunRow | None, **fields: Any) -> None:
    """Discards a decision."""


def steady_figures(*, target_count: int, seed: int, quick: bool) -> dict[str, float]:
    """Returns the processor time by kind of work under the usual load, without logging.

    Figures in microseconds are of one call; `share` is that of the scheduler in a core.
    """
    fleet = Fleet(target_count=target_count, seed=seed, decide=_ignore)
    starts_per_s = STARTS_PER_TARGET_S * target_count
    fleet.submit_base_load()
    fleet.run(QUICK_S if quick else WARM_UP_S, starts_per_s=starts_per_s)
    fleet.cpu_s.clear()
    fleet.counts.clear()
    measured_s = QUICK_S if quick else MEASURED_S
    fleet.run(measured_s, starts_per_s=starts_per_s)
    figures = {
        f"{kind} us": round(fleet.cpu_s[kind] / fleet.counts[kind] * 1e6, 1) for kind in fleet.cpu_s
    }
    figures["starts a second"] = round(fleet.counts.get("starts", 0) / measured_s, 1)
    figures["runs"] = sum(len(row.runs) for row in fleet.target_rows)
    figures["waiting"] = len(fleet.scheduler.tables.waiting)
    figures["share"] = round(sum(fleet.cpu_s.values()) / measured_s, 4)
    return figures


def backlog_us(*, target_count: int, waiting: int, seed: int) -> tuple[int, float]:
    """Returns the length of a backlog on full targets, and a tick's processor time, microseconds.

    Filling the targets leaves up to a hundred more tasks waiting.
    """
    fleet = Fleet(target_count=target_count, seed=seed, decide=_ignore)
    fleet.submit_base_load()
    fleet.tick()
    fleet.fill()
    for _ in range(waiting):
        fleet.submit(fleet.short_step())
    before = -1
    while fleet.counts["starts"] != before:
        before = fleet.counts["starts"]
        fleet.now += TICK_S
        fleet.tick()
    return len(fleet.scheduler.tables.waiting), min_tick_us(fleet)


def min_tick_us(fleet: Fleet) -> float:
    """Returns the least processor time of a tick and of the search for the next one."""
    fleet.tick()
    spent_us = []
    for _ in range(REPEATS):
        fleet.now += TICK_S
        fleet.cpu_s.clear()
        fleet.tick()
        spent_us.append((fleet.cpu_s["tick"] + fleet.cpu_s["wake"]) * 1e6)
    return round(min(spent_us), 1)


def recovery_figures(*, target_count: int, waiting: int, seed: int) -> dict[str, float]:
    """Returns the ticks in milliseconds that place a backlog after all runs were lost."""
    fleet = Fleet(target_count=target_count, seed=seed, decide=_ignore)
    fleet.submit_base_load()
    for _ in range(waiting):
        fleet.submit(fleet.short_step())
    for _ in range(waiting):
        fleet.now += TICK_S
        before = fleet.counts.get("starts", 0)
        fleet.tick()
        if fleet.counts.get("starts", 0) == before:
            break
    fleet.lose_all()
    for row in fleet.target_rows:
        row.confirmed = True
    spent_ms, started = [], []
    for _ in range(waiting):
        fleet.now += TICK_S
        before, fleet.cpu_s["tick"] = fleet.counts["starts"], 0.0
        fleet.tick()
        if fleet.counts["starts"] == before:
            break
        spent_ms.append(fleet.cpu_s["tick"] * 1e3)
        started.append(fleet.counts["starts"] - before)
    return {
        "starts": sum(started),
        "ticks": len(started),
        "longest tick ms": round(max(spent_ms), 2),
        "all ticks ms": round(sum(spent_ms), 2),
    }


def log_figures() -> dict[str, float]:
    """Returns the processor time of one logged decision, microseconds."""
    fleet = Fleet(target_count=1, seed=1, decide=_ignore)
    fleet.submit(fleet.short_step())
    fleet.tick()
    run = next(iter(fleet.target_rows[0].runs.values()))
    decide = functools.partial(decision_log.decide, "run.order", run, waited_s=0.01)
    with open(os.devnull, "wb") as output:
        log = decision_log.DecisionLog(
            descriptor=output.fileno(), clock=_EndlessClock(), common={"entry": "e1", "term": 3}
        )
        counted = metrics.Metrics(gauges=dict)
        figures = {"line without destination us": _per_line_us(decide)}
        log.start()
        figures["line to the log us"] = _per_line_us(decide)
        counted.start()
        figures["line to log and metrics us"] = _per_line_us(decide)
        log.close()
        counted.close()
    return figures


def known_targets_us(*, target_count: int) -> dict[str, float]:
    """Returns the processor time to compare the records of known targets, microseconds.

    All targets are compared after a change of their list; otherwise those that changed.
    """
    fleet = Fleet(target_count=target_count, seed=1, decide=_ignore)
    all_rows = fleet.scheduler.tables.targets
    records = known_targets.Records()

    def compare(names: list[str]) -> None:
        for name in names:
            records.mark(name)
        records.changed(all_rows.get)

    names = list(all_rows)
    compare(names)
    records.take(records.changed(all_rows.get))
    return {
        case: round(
            capacity_slopes.min_cpu_s(functools.partial(compare, marked), repeats=REPEATS) * 1e6, 1
        )
        for case, marked in (("all", names), ("one", names[:1]), ("none", []))
    }


class _EndlessClock(task.Clock):
    """A clock that advances fast enough for no line to be dropped; runs no calls."""

    def seconds(self) -> float:
        """Returns a time a second after the last one."""
        self.rightNow += 1.0
        return float(self.rightNow)


def _per_line_us(decide: Callable[[], None]) -> float:
    def work() -> None:
        for _ in range(LINES):
            decide()

    return round(capacity_slopes.min_cpu_s(work) / LINES * 1e6, 2)


@registry.bench("owner_load")
def owner_load(*, seeds: tuple[int, ...], quick: bool = False) -> None:
    """Measures the owner's parts at several sizes; prints a line each and a JSON line last."""
    seed = seeds[0]
    measured: dict[str, Any] = {"log": log_figures()}
    print("log", measured["log"], flush=True)
    for count in QUICK_TARGET_COUNTS if quick else TARGET_COUNTS:
        figures: dict[str, Any] = {
            "steady": steady_figures(target_count=count, seed=seed, quick=quick)
        }
        figures["known targets us"] = known_targets_us(target_count=count)
        figures["tick us by backlog"] = dict(
            backlog_us(target_count=count, waiting=waiting, seed=seed)
            for waiting in (QUICK_BACKLOGS if quick else BACKLOGS)
        )
        for waiting in (QUICK_BACKLOGS if quick else BACKLOGS)[-1:]:
            figures[f"recovery of {waiting}"] = recovery_figures(
                target_count=count, waiting=waiting, seed=seed
            )
        measured[str(count)] = figures
        print(count, json.dumps(figures), flush=True)
    print(json.dumps({"bench": "owner_load", "seed": [seed], "figures": measured}))


if __name__ == "__main__":
    registry.main("owner_load")
