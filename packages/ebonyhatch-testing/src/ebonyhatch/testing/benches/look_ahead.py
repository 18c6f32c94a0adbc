"""Bench `look_ahead`: the placement policies side by side, their ticks and the waits of wide jobs.

Short steps of 10 to 40 small tasks compete with large tasks, gangs and tasks bound to labelled targets.
Declared run times are off by a lognormal factor, and stragglers run many times longer.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import json
import math
import random
import statistics
import time
from collections.abc import Sequence
from typing import Any

from ebonyhatch.fleet import commands, jobs, ordering, queues, rows, scheduler, targets
from ebonyhatch.testing.benches import registry

POLICIES = ("greedy", "look-ahead")
TICK_S = 0.02
POLL_S = 0.5
DECLARED_SIGMA = 0.9
STRAGGLER_FRACTION = 0.02
STRAGGLER_SHAPE = 1.1
MAX_STRAGGLER_FACTOR = 10.0
CORES = (16, 16, 32, 32, 64)
MEMORY_MB_PER_CORE = 4_000
LASTING_FRACTION = 0.25
MEAN_SHORT_CORE_S = 25 * 5.0 * 1.25
"""Mean work of a short step: 25 tasks of 5 cores for 1.25 s, core-seconds."""

WAVE_S = 13.0
WAVE = 0.55
"""Period and amplitude of the load: demand varies by 0.55 within 13 s."""

LARGE_SHARE = 0.25
"""Share of the load, in work, of the jobs that are meant to starve."""

WIDEST, BELOW, REST = "widest tenth", "fifth below", "rest"
PLAY_TARGETS = 40
PLAY_S = 90.0
PLAY_LOADS = (0.75, 0.9)
QUICK_PLAY_S = 6.0
WAITING_STEPS = 1_000
TARGET_COUNTS = (100, 540, 3_300)
QUICK_TARGET_COUNTS = (12,)
MAX_STARTS_PER_S = 760.0
WARM_UP_TICKS = 100
MEASURED_TICKS = 300
QUICK_TICKS = 20
FEW_STARTS_PER_S = 20.0
"""Starts a second on full targets, where most ticks place nothing."""

RATIO_BOUND = 1.2

URGENT = queues.Queue(
    name="quotes", host="h", prefix="/q/", pool="pool", max_attempts=3, stretch=2.0, slack_s=2.0
)
BATCH = queues.Queue(
    name="plans",
    host="h",
    prefix="/p/",
    pool="pool",
    priority=2,
    max_attempts=3,
    stretch=3.0,
    slack_s=10.0,
)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Submitted:
    """A job of one step: the step, its true run times, and when it was placed and ended."""

    step: jobs.Step
    queue: queues.Queue
    run_s: tuple[float, ...]
    at: float
    row: rows.JobRow | None = None
    placed_at: float = math.inf
    ended_at: float = math.inf
    unplaced: int = 0

    @property
    def width(self) -> int:
        """Processor time that it needs at once: of one task, or of all members of a gang."""
        return self.step.cpu_millis * (self.step.count if self.step.gang else 1)

    @property
    def objective_s(self) -> float:
        """Time that the job may take by its true run times, seconds."""
        return self.queue.stretch * max(self.run_s) + self.queue.slack_s


class Fleet:
    """A scheduler with simulated targets under one policy, driven by its own clock.

    Attributes:
        now: Time, seconds.
        tick_s: Processor time of each tick, seconds.
        faults: Targets that were overcommitted.
    """

    def __init__(self, *, policy: str, target_count: int, seed: int) -> None:
        self.now = 10.0
        self.tick_s: list[float] = []
        self.faults: list[str] = []
        self.counts: dict[str, int] = {}
        self.submitted: dict[str, Submitted] = {}
        self._random = random.Random(f"{seed}-fleet")
        self._ids = itertools.count(1)
        self._sequence = itertools.count()
        self._ends: list[tuple[float, int, rows.RunRow, targets.EndKind]] = []
        self._end_numbers: dict[str, int] = {}
        self._polls: list[tuple[float, int, rows.TargetRow]] = []
        self._run_s: dict[targets.RunKey, float] = {}
        self._placed_at: dict[targets.RunKey, float] = {}
        self.scheduler = scheduler.Scheduler(decide=self._decide, placement_policy=policy)
        self.scheduler.reconciled = self.scheduler.may_place = True
        for number in range(target_count):
            self._add_target(number)

    @property
    def cores(self) -> float:
        """Cores of all targets."""
        return sum(row.target.cpu_millis for row in self.scheduler.tables.targets.values()) / 1000

    def submit(self, submitted: Submitted) -> None:
        """Submits a job."""
        job_id = f"{next(self._ids):016x}"
        self.submitted[job_id] = submitted
        submitted.unplaced = submitted.step.count
        submitted.row = rows.JobRow(
            job=jobs.Job(
                job_id=job_id,
                queue=submitted.queue.name,
                spec="",
                steps=(submitted.step,),
                accepted_at=self.now,
            ),
            queue=submitted.queue,
        )
        self.scheduler.add_job(submitted.row, now=self.now, wall=self.now)

    def submit_lasting(self) -> None:
        """Fills a part of the capacity with tasks that run until they are cancelled."""
        for _ in range(int(LASTING_FRACTION * self.cores / 4)):
            step = jobs.Step(count=1, cpu_millis=4_000, memory_mb=4_000, long_running=True)
            self.submit(Submitted(step=step, queue=BATCH, run_s=(math.inf,), at=self.now))

    def advance(self, *, polls: bool = True) -> None:
        """Advances by one tick: ends of runs, status reports and the decisions."""
        self.now += TICK_S
        ended: dict[str, list[tuple[rows.RunRow, targets.EndKind]]] = {}
        while self._ends and self._ends[0][0] <= self.now:
            _, _, run, kind = heapq.heappop(self._ends)
            if run.key in run.target.runs:
                ended.setdefault(run.target.target_id, []).append((run, kind))
        reported = [self.scheduler.tables.targets[name] for name in ended]
        while polls and self._polls[0][0] <= self.now:
            _, number, row = heapq.heappop(self._polls)
            heapq.heappush(self._polls, (self.now + POLL_S, number, row))
            if row.target_id not in ended and row.runs:
                reported.append(row)
        for row in reported:
            self._report(row, ended.get(row.target_id, []))
        for job in self.scheduler.drain_changed_jobs():
            if job.ended:
                self.submitted[job.job.job_id].ended_at = self.now
                self.scheduler.forget(job.job.job_id)
        started_at = time.process_time()
        due = self.scheduler.tick(now=self.now, wall=self.now)
        self.tick_s.append(time.process_time() - started_at)
        for command in due:
            self._carry_out(command)

    def _carry_out(self, command: commands.Command) -> None:
        if isinstance(command, commands.StopRun):
            run = command.target.runs.get(command.key)
            if run is not None:
                self._push_end(run, self.now + TICK_S, targets.EndKind.STOPPED)
        if not isinstance(command, commands.StartRun):
            return
        run = command.run
        row = run.target
        if min(row.free_cpu, row.free_memory, row.free_accelerators) < 0:
            self.faults.append(f"{row.target_id} at {self.now:.2f} s")
        submitted = self.submitted[run.task.step.job.job.job_id]
        submitted.unplaced -= 1
        if not submitted.unplaced:
            submitted.placed_at = self.now
        run_s = submitted.run_s[run.task.index % len(submitted.run_s)]
        self._run_s[run.key], self._placed_at[run.key] = run_s, self.now
        self.scheduler.reconciler.start_confirmed(run, clock_s=self.now, now=self.now)
        if run_s < math.inf:
            self._push_end(run, self.now + run_s, targets.EndKind.DONE)

    def _push_end(self, run: rows.RunRow, at: float, kind: targets.EndKind) -> None:
        heapq.heappush(self._ends, (at, next(self._sequence), run, kind))

    def _report(
        self, row: rows.TargetRow, ended: Sequence[tuple[rows.RunRow, targets.EndKind]]
    ) -> None:
        ends = []
        for run, kind in ended:
            number = self._end_numbers[row.target_id] = self._end_numbers.get(row.target_id, 0) + 1
            ends.append(targets.Ended(number=number, key=run.key, kind=kind))
        gone = {end.key for end in ends}
        running = tuple(
            targets.Running(key=key, percent=self._percent(key))
            for key in row.runs
            if key not in gone
        )
        report = targets.StatusReport(clock_s=self.now, born=1, running=running, ended=tuple(ends))
        self.scheduler.apply_report(row, report, now=self.now)

    def _percent(self, key: targets.RunKey) -> float:
        run_s = self._run_s[key]
        if run_s == math.inf:
            return 100.0
        return min(99.9, 100 * (self.now - self._placed_at[key]) / run_s)

    def _decide(self, event: str, run: rows.RunRow | None, **fields: Any) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1

    def _add_target(self, number: int) -> None:
        cores = self._random.choice(CORES)
        target = targets.Target(
            target_id=f"target-{number:04}",
            address=f"127.0.0.1:{number + 1}",
            pool="pool",
            failure_domain=f"d{number % 3}",
            born=1,
            rack=f"r{number // 8}",
            labels=("fast-disk",) if number % 10 == 0 else (),
            cpu_millis=1_000 * cores,
            memory_mb=MEMORY_MB_PER_CORE * cores,
        )
        row = self.scheduler.set_target(target, now=self.now)
        row.confirmed = row.announced = True
        heapq.heappush(self._polls, (self.now + self._random.uniform(0, POLL_S), number, row))


class Load:
    """Random jobs, the same for each policy with the same seed."""

    def __init__(self, *, seed: int, time_factor: float = 1.0) -> None:
        self._random = random.Random(f"{seed}-load")
        self._time_factor = time_factor

    def short(self, at: float) -> Submitted:
        """Returns a step of 10 to 40 tasks of 2 to 8 cores that run for 0.5 to 2 s."""
        urgent = self._random.random() < 0.5
        count = self._random.randint(10, 40)
        cores = self._random.randint(2, 8)
        return self._job(
            jobs.Step(
                count=count,
                cpu_millis=1_000 * cores,
                memory_mb=self._random.randint(500, 3_000) * cores,
                image=self._random.choice(("a", "b", "c")),
            ),
            queue=URGENT if urgent else BATCH,
            median_s=self._random.uniform(0.5, 2.0),
            at=at,
        )

    def large(self, at: float) -> Submitted:
        """Returns a batch job of large tasks, a gang, or tasks bound to labelled targets."""
        kind = self._random.choice(("cpu", "cpu", "memory", "gang", "label"))
        cores = self._random.choice((12, 16, 24, 32)) if kind == "cpu" else 6
        if kind == "cpu":
            step = jobs.Step(count=self._random.randint(1, 4), cpu_millis=1_000 * cores, image="l")
        elif kind == "memory":
            memory_mb = self._random.randint(40_000, 100_000)
            step = jobs.Step(count=2, cpu_millis=4_000, memory_mb=memory_mb, image="m")
        elif kind == "gang":
            count = self._random.randint(4, 12)
            step = jobs.Step(count=count, cpu_millis=8_000, memory_mb=4_000, gang=True, image="g")
        else:
            step = jobs.Step(count=4, cpu_millis=6_000, label="fast-disk", image="d")
        return self._job(step, queue=BATCH, median_s=self._random.uniform(2.0, 6.0), at=at)

    def arrivals(
        self, *, seconds: float, cores: float, load: float, from_s: float
    ) -> list[Submitted]:
        """Returns jobs by time; `load` is the mean demand as a fraction of the cores."""
        found: list[Submitted] = []
        samples = Load(seed=-1)
        mean_large_core_s = statistics.fmean(_work(samples.large(0.0)) for _ in range(1_000))
        rates = (
            (self.short, (1 - LARGE_SHARE) * load * cores / MEAN_SHORT_CORE_S),
            (self.large, LARGE_SHARE * load * cores / mean_large_core_s),
        )
        for build, rate in rates:
            at = from_s
            while True:
                at += self._random.expovariate(rate * (1 + WAVE))
                if at >= from_s + seconds:
                    break
                wave = 1 + WAVE * math.sin(2 * math.pi * at / WAVE_S)
                if self._random.random() * (1 + WAVE) < wave:
                    found.append(build(at))
        return sorted(found, key=lambda job: job.at)

    def _job(
        self, step: jobs.Step, *, queue: queues.Queue, median_s: float, at: float
    ) -> Submitted:
        pick = self._random
        median_s *= self._time_factor
        estimate_s = round(median_s * pick.lognormvariate(0, DECLARED_SIGMA), 3)
        run_s = []
        for _ in range(1 if step.gang else step.count):
            one_s = median_s * pick.uniform(0.8, 1.2)
            if pick.random() < STRAGGLER_FRACTION:
                one_s *= min(MAX_STRAGGLER_FACTOR, pick.paretovariate(STRAGGLER_SHAPE))
            run_s.append(one_s)
        declared = jobs.Step(
            count=step.count,
            cpu_millis=step.cpu_millis,
            memory_mb=step.memory_mb,
            image=step.image,
            gang=step.gang,
            label=step.label,
            estimate_s=estimate_s,
        )
        return Submitted(step=declared, queue=queue, run_s=tuple(run_s), at=at)


def _work(job: Submitted) -> float:
    """Returns the work of a job, core-seconds."""
    mean_s = statistics.fmean(job.run_s)
    return mean_s * job.step.count * job.step.cpu_millis / 1_000


def play(
    *, policy: str, seed: int, load: float, seconds: float, target_count: int = PLAY_TARGETS
) -> dict[str, Any]:
    """Returns waits and shares in objective of the jobs by width under one policy.

    The wait lasts until the last task of a job is placed; jobs that were not placed count with the
    time until the end of the play.
    """
    fleet = Fleet(policy=policy, target_count=target_count, seed=seed)
    fleet.submit_lasting()
    for _ in range(100):
        fleet.advance()
    lasting = set(fleet.submitted)
    arrivals = Load(seed=seed).arrivals(
        seconds=seconds, cores=fleet.cores * (1 - LASTING_FRACTION), load=load, from_s=fleet.now
    )
    until = fleet.now + seconds
    due = iter(arrivals)
    job = next(due, None)
    while fleet.now < until:
        while job is not None and job.at <= fleet.now:
            fleet.submit(job)
            job = next(due, None)
        fleet.advance()
    played = [one for name, one in fleet.submitted.items() if name not in lasting]
    figures: dict[str, Any] = {"faults": len(fleet.faults), "jobs": len(played)}
    figures["work done"] = round(sum(_work(one) for one in played if one.ended_at < math.inf))
    for event in ("lookahead.reserved", "lookahead.given_up"):
        figures[event] = fleet.counts.get(event, 0)
    for group, members in _by_width(played).items():
        waits = [min(one.placed_at, until) - one.at for one in members]
        judged = [one for one in members if one.at + one.objective_s <= until]
        in_time = [one.ended_at - one.at <= one.objective_s for one in judged]
        useful_s = ordering.USEFUL_OBJECTIVE_FACTOR
        useful = [one.ended_at - one.at <= useful_s * one.objective_s for one in judged]
        figures[group] = {
            "jobs": len(members),
            "wait mean s": round(statistics.fmean(waits), 2),
            "wait p90 s": round(sorted(waits)[int(0.9 * len(waits))], 2),
            "in objective": round(statistics.fmean(in_time), 3) if in_time else None,
            "useful": round(statistics.fmean(useful), 3) if useful else None,
        }
    urgent = [one for one in played if one.queue is URGENT and one.at + one.objective_s <= until]
    in_time = [one.ended_at - one.at <= one.objective_s for one in urgent]
    figures["urgent in objective"] = round(statistics.fmean(in_time), 3) if in_time else None
    return figures


def _by_width(played: list[Submitted]) -> dict[str, list[Submitted]]:
    """Returns the jobs of each queue by their rank in width, put together by group."""
    groups: dict[str, list[Submitted]] = {WIDEST: [], BELOW: [], REST: []}
    for queue in (URGENT, BATCH):
        ranked = sorted((one for one in played if one.queue is queue), key=lambda one: -one.width)
        tenth, third = round(0.1 * len(ranked)), round(0.3 * len(ranked))
        groups[WIDEST] += ranked[:tenth]
        groups[BELOW] += ranked[tenth:third]
        groups[REST] += ranked[third:]
    return groups


def tick_figures(
    *, target_count: int, seed: int, quick: bool, starts_per_s: float = MAX_STARTS_PER_S
) -> dict[str, float]:
    """Returns processor times of ticks with 1,000 waiting steps, microseconds, and their ratio.

    The policies take turns tick by tick, so that both are measured under the same conditions. Run
    times are stretched so that about `starts_per_s` tasks end in a second at most.
    """
    runs = target_count * 8
    time_factor = max(1.0, runs / 1.25 / starts_per_s)
    waiting = QUICK_TICKS if quick else WAITING_STEPS
    fleets = {}
    loads = {}
    for name in POLICIES:
        fleets[name] = Fleet(policy=name, target_count=target_count, seed=seed)
        loads[name] = Load(seed=seed, time_factor=time_factor)
        fleets[name].submit_lasting()
        for _ in range(5 if quick else target_count // 4):
            fleets[name].advance(polls=False)
    warm_up = QUICK_TICKS if quick else WARM_UP_TICKS + target_count // 4
    measured = QUICK_TICKS if quick else MEASURED_TICKS
    picks = {name: random.Random(seed) for name in POLICIES}
    for number in range(warm_up + measured):
        for name in POLICIES:
            fleet, load = fleets[name], loads[name]
            while len(fleet.scheduler.tables.waiting) < waiting:
                build = load.large if picks[name].random() < LARGE_SHARE else load.short
                fleet.submit(build(fleet.now))
            if number == warm_up:
                fleet.tick_s.clear()
                fleet.counts.clear()
            fleet.advance(polls=False)
    figures: dict[str, float] = {}
    for name, fleet in fleets.items():
        ordered = sorted(fleet.tick_s)
        figures[f"{name} mean us"] = round(statistics.fmean(ordered) * 1e6, 1)
        figures[f"{name} median us"] = round(statistics.median(ordered) * 1e6, 1)
        figures[f"{name} p99 us"] = round(ordered[int(0.99 * len(ordered))] * 1e6, 1)
        figures[f"{name} starts"] = fleet.counts.get("run.order", 0)
        figures[f"{name} faults"] = len(fleet.faults)
    gauges = fleets["look-ahead"].scheduler.gauges()
    figures["reserved"] = gauges.get("lookahead_targets_reserved", 0.0)
    for kind in ("mean", "median", "p99"):
        ratio = figures[f"look-ahead {kind} us"] / max(figures[f"greedy {kind} us"], 1e-9)
        figures[f"{kind} ratio"] = round(ratio, 3)
    return figures


@registry.bench("look_ahead")
def look_ahead(*, seeds: tuple[int, ...], quick: bool = False) -> None:
    """Compares the policies; prints a line for each case and a JSON line last."""
    measured: dict[str, Any] = {"ratio bound": RATIO_BOUND}
    for count in QUICK_TARGET_COUNTS if quick else TARGET_COUNTS:
        for seed in seeds[:1] if quick else seeds[:3]:
            for starts_per_s in (MAX_STARTS_PER_S, FEW_STARTS_PER_S):
                figures = tick_figures(
                    target_count=count, seed=seed, quick=quick, starts_per_s=starts_per_s
                )
                measured[f"tick {count} targets, {starts_per_s} starts, seed {seed}"] = figures
                print("tick", count, starts_per_s, seed, json.dumps(figures), flush=True)
    for load in PLAY_LOADS[:1] if quick else PLAY_LOADS:
        for seed in seeds[:1] if quick else seeds:
            for name in POLICIES:
                played = play(
                    policy=name, seed=seed, load=load, seconds=QUICK_PLAY_S if quick else PLAY_S
                )
                measured[f"play {load} seed {seed} {name}"] = played
                print("play", load, seed, name, json.dumps(played), flush=True)
    print(json.dumps({"bench": "look_ahead", "seed": list(seeds), "figures": measured}))


if __name__ == "__main__":
    registry.main("look_ahead")
