"""Figures of one simulated run, and their median and worst value over seeds."""

from __future__ import annotations

import dataclasses
import json
import math
import statistics
from collections.abc import Callable, Sequence

from ebonyhatch.core import scheduler
from ebonyhatch.testing import fleet, workloads


@dataclasses.dataclass(slots=True, kw_only=True)
class Figures:
    """Figures of one policy on one workload.

    Attributes:
        crest_p99_s: Latency during crests, with unanswered requests counted as infinite, seconds.
        all_p99_s: The same over the whole run.
        crest_in_time: Fraction of requests during crests that were answered by their deadline.
        refused: Fraction of all requests that were not answered.
        worst_start_s: Longest time from arrival to first send, of requests that were sent, seconds.
        work_s: Batch work done, without work that had to be redone, seconds.
        redone: Fraction of batch work that had to be redone.
        evictions: Evictions per 1,000 finished jobs.
        short_wait_p99_s: Time from submission to first start of short jobs, seconds.
        double_runs: Starts of jobs that were already running, plus second finishes of a job.
        overload_s: Worker-seconds in which true use exceeded the worker's cores or memory.
    """

    crest_p99_s: float
    all_p99_s: float
    crest_in_time: float
    refused: float
    worst_start_s: float
    work_s: float
    finished_jobs: int
    redone: float
    evictions: float
    short_wait_p99_s: float
    limits_exceeded: int
    double_runs: int
    overload_s: float


def percentile(values: Sequence[float], fraction: float) -> float:
    """Returns the value below which a fraction of all values lies; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def run_policy(*, policy: str, workload: workloads.Workload, seed: int) -> fleet.Fleet:
    """Runs a registered policy on a workload."""
    return run_scheduler(scheduler.build(name=policy, seed=seed), workload)


def run_scheduler(policy: scheduler.Scheduler, workload: workloads.Workload) -> fleet.Fleet:
    """Runs a scheduler on a workload."""
    simulation = fleet.Fleet(policy=policy, workload=workload)
    simulation.run()
    return simulation


def requests_due_within_run(workload: workloads.Workload) -> range:
    """Returns the numbers of the requests whose outcome is known by the end of the run.

    Requests of the last 3 s are left out: their deadline may lie after the end.
    """
    end = workload.duration_s - 3.0
    count = len(workload.arrivals)
    while count and workload.arrivals[count - 1].at > end:
        count -= 1
    return range(count)


def compute_figures(simulation: fleet.Fleet, workload: workloads.Workload) -> Figures:
    """Computes the figures of a run."""
    numbers = requests_due_within_run(workload)
    latencies = [_latency(simulation, number) for number in numbers]
    crest = [number for number in numbers if workload.in_crest(workload.arrivals[number].at)]
    kinds = workload.deployment.urgent
    in_time = sum(
        latencies[number] <= kinds[workload.arrivals[number].kind].deadline_s for number in crest
    )
    unanswered = sum(math.isinf(latency) for latency in latencies)
    counts = simulation.counts
    retained_s = counts.work_s - counts.redone_s
    waits = short_job_waits(simulation, workload)
    return Figures(
        crest_p99_s=percentile([latencies[number] for number in crest], 0.99),
        all_p99_s=percentile(latencies, 0.99),
        crest_in_time=in_time / max(1, len(crest)),
        refused=unanswered / max(1, len(latencies)),
        worst_start_s=max((simulation.starts[number] for number in numbers), default=0.0),
        work_s=retained_s,
        finished_jobs=counts.finished_jobs,
        redone=counts.redone_s / max(1.0, counts.work_s),
        evictions=1000.0 * counts.evictions / max(1, counts.finished_jobs),
        short_wait_p99_s=percentile(waits, 0.99),
        limits_exceeded=counts.limits_exceeded,
        double_runs=counts.double_runs + counts.double_finishes,
        overload_s=counts.overload_s,
    )


def short_job_waits(simulation: fleet.Fleet, workload: workloads.Workload) -> list[float]:
    """Returns the waits of short jobs: of a short class and with a true run time up to 30 s."""
    waits = []
    for job in simulation.jobs.values():
        if job.cancelled or not job.generated.kind.short or job.generated.work_s > 30.0:
            continue
        started = job.started_at if job.started_at >= 0 else workload.duration_s
        waits.append(started - job.submitted_at)
    return waits


def _latency(simulation: fleet.Fleet, number: int) -> float:
    latency = simulation.latencies[number]
    return latency if latency >= 0 else math.inf


def median_and_worst(values: Sequence[float], *, worst: Callable[[Sequence[float]], float]) -> str:
    """Formats median and worst value for one cell of a table."""
    return f"{statistics.median(values):.4g} / {worst(values):.4g}"


@dataclasses.dataclass(slots=True, kw_only=True)
class Target:
    """A target and the value measured for it: the worst over all seeds."""

    name: str
    target: float
    measured: float
    at_most: bool = True

    @property
    def met(self) -> bool:
        """Whether the measured value meets the target."""
        if self.at_most:
            return self.measured <= self.target
        return self.measured >= self.target


def print_targets(
    *,
    bench: str,
    seeds: Sequence[int],
    measured: dict[str, object],
    baseline: dict[str, object],
    targets: Sequence[Target],
) -> None:
    """Prints the targets as a table, then all results as one JSON line."""
    for target in targets:
        sign = "<=" if target.at_most else ">="
        state = "met" if target.met else "NOT met"
        print(f"{target.name:44} {target.measured:10.4g} {sign} {target.target:<8.4g} {state}")
    line = {
        "bench": bench,
        "seed": list(seeds),
        "figures": measured,
        "baseline": baseline,
        "targets": {
            target.name: {
                "target": target.target,
                "measured": target.measured,
                "met": target.met,
            }
            for target in targets
        },
    }
    print(json.dumps(_replace_non_finite(line)))


def _replace_non_finite(value: object) -> object:
    """Replaces infinities and NaN, which JSON cannot represent, by text."""
    if isinstance(value, dict):
        return {str(key): _replace_non_finite(entry) for key, entry in value.items()}
    if isinstance(value, list):
        return [_replace_non_finite(entry) for entry in value]
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    return value


def ratio(numerator: float, denominator: float) -> float:
    """Divides two figures; an infinite numerator gives infinity, whatever the denominator."""
    if math.isinf(numerator):
        return math.inf
    return numerator / denominator if denominator else math.inf
