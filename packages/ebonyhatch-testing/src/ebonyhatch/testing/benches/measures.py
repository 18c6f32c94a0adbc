"""Figures of one run, and their median and worst over seeds."""

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
    """Figures of one policy on one draw.

    Attributes:
        crest_p99_s: Latency at the crest, unanswered requests counted as without end, seconds.
        all_p99_s: The same over the whole run.
        crest_in_time: Share of requests at the crest that were answered by their deadline.
        refused: Share of all requests that got no answer.
        worst_start_s: Longest time from arrival to the first send of a request that started.
        work_s: Batch work done and kept, seconds.
        redone: Share of batch work that was done again.
        evictions: Evictions for 1,000 finished jobs.
        short_wait_p99_s: From submission to first start, of short jobs, seconds.
        overload_s: Worker-seconds in which true use was above a limit.
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


def percentile(values: Sequence[float], share: float) -> float:
    """The value below which a share of all values lies; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_policy(*, policy: str, draw: workloads.Draw, seed: int) -> fleet.Fleet:
    """Run a registered policy on a draw."""
    return run_scheduler(scheduler.build(name=policy, seed=seed), draw)


def run_scheduler(policy: scheduler.Scheduler, draw: workloads.Draw) -> fleet.Fleet:
    """Run a scheduler on a draw."""
    ran = fleet.Fleet(policy=policy, draw=draw)
    ran.run()
    return ran


def settled(draw: workloads.Draw) -> range:
    """Requests whose deadline lies within the run."""
    end = draw.duration_s - 3.0
    count = len(draw.arrivals)
    while count and draw.arrivals[count - 1].at > end:
        count -= 1
    return range(count)


def figures(ran: fleet.Fleet, draw: workloads.Draw) -> Figures:
    """Work out the figures of a run."""
    numbers = settled(draw)
    latencies = [_latency(ran, number) for number in numbers]
    crest = [number for number in numbers if draw.in_crest(draw.arrivals[number].at)]
    kinds = draw.deployment.urgent
    in_time = sum(
        latencies[number] <= kinds[draw.arrivals[number].kind].deadline_s for number in crest
    )
    unanswered = sum(math.isinf(latency) for latency in latencies)
    counts = ran.counts
    kept_s = counts.work_s - counts.redone_s
    waits = short_waits(ran, draw)
    return Figures(
        crest_p99_s=percentile([latencies[number] for number in crest], 0.99),
        all_p99_s=percentile(latencies, 0.99),
        crest_in_time=in_time / max(1, len(crest)),
        refused=unanswered / max(1, len(latencies)),
        worst_start_s=max((ran.starts[number] for number in numbers), default=0.0),
        work_s=kept_s,
        finished_jobs=counts.finished_jobs,
        redone=counts.redone_s / max(1.0, counts.work_s),
        evictions=1000.0 * counts.evictions / max(1, counts.finished_jobs),
        short_wait_p99_s=percentile(waits, 0.99),
        limits_exceeded=counts.limits_exceeded,
        double_runs=counts.double_runs + counts.double_finishes,
        overload_s=counts.overload_s,
    )


def short_waits(ran: fleet.Fleet, draw: workloads.Draw) -> list[float]:
    """Waits of short jobs: of a short class, and truly shorter than half a minute."""
    waits = []
    for job in ran.jobs.values():
        if job.cancelled or not job.drawn.kind.short or job.drawn.work_s > 30.0:
            continue
        started = job.started_at if job.started_at >= 0 else draw.duration_s
        waits.append(started - job.submitted_at)
    return waits


def _latency(ran: fleet.Fleet, number: int) -> float:
    latency = ran.latencies[number]
    return latency if latency >= 0 else math.inf


def spread(values: Sequence[float], *, worst: Callable[[Sequence[float]], float]) -> str:
    """Median and worst in one cell of a table."""
    return f"{statistics.median(values):.4g} / {worst(values):.4g}"


@dataclasses.dataclass(slots=True, kw_only=True)
class Target:
    """A target with what was measured: the worst of all seeds decides."""

    name: str
    target: float
    measured: float
    at_most: bool = True

    @property
    def met(self) -> bool:
        """Whether it was met."""
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
    """Print targets as a table, and everything as one JSON line."""
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
    print(json.dumps(_finite(line)))


def _finite(value: object) -> object:
    """Replace what JSON has no number for."""
    if isinstance(value, dict):
        return {str(key): _finite(entry) for key, entry in value.items()}
    if isinstance(value, list):
        return [_finite(entry) for entry in value]
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    return value


def ratio(mine: float, theirs: float) -> float:
    """Divide two figures; one without end stays so, also over another."""
    if math.isinf(mine):
        return math.inf
    return mine / theirs if theirs else math.inf
