"""Bench of the trade-off between tail latency during crests and batch throughput."""

from __future__ import annotations

import math

from ebonyhatch.core import default_scheduler, settings
from ebonyhatch.testing import limits, plots, workloads
from ebonyhatch.testing.benches import crest, measures, registry

SETTINGS = {
    "no evictions": {"eviction_budget": 0.0},
    "budget 0.3": {"eviction_budget": 0.3},
    "patient": {"patience_s": 0.5},
    "lean": {"reserve_spread": 0.2},
    "default": {},
    "wide": {"reserve_spread": 1.5},
    "wider": {"reserve_spread": 3.0, "surge_margin": 1.3},
    "hasty": {"patience_s": 0.1, "eviction_cost_limit_s": 30.0},
}
"""Overrides of the settings for the reserve and for evictions, by name."""

Point = tuple[float, float, str]


def run_setting(
    workload: workloads.Workload, *, name: str, limit: limits.Limits, limit_p99_s: float
) -> Point:
    """Runs one setting; returns batch throughput and tail latency relative to their bounds."""
    defaults = settings.Settings(**SETTINGS[name])
    policy = default_scheduler.DefaultScheduler(seed=workload.seed, defaults=defaults)
    figures = measures.compute_figures(measures.run_scheduler(policy, workload), workload)
    batch = figures.work_s / limit.batch_s
    tail = figures.crest_p99_s / limit_p99_s
    print(
        f"{workload.deployment.name} seed {workload.seed} {name:13} p99/limit {tail:.2f}"
        f" batch {batch:.3f} refused {figures.refused:.4f} redone {figures.redone:.4f}"
        f" evictions/1000 {figures.evictions:.0f}",
        flush=True,
    )
    return batch, tail, name


def points_of(deployment: workloads.Deployment, *, seed: int, quick: bool) -> list[Point]:
    """Runs all settings on one workload."""
    workload = crest.generate_workload(deployment, seed=seed, quick=quick)
    limit = limits.compute(workload)
    tails = [
        limit.latencies[number]
        for number in measures.requests_due_within_run(workload)
        if workload.in_crest(workload.arrivals[number].at)
    ]
    limit_p99_s = measures.percentile(tails, 0.99)
    return [
        run_setting(workload, name=name, limit=limit, limit_p99_s=limit_p99_s) for name in SETTINGS
    ]


@registry.bench("frontier")
def frontier(*, seeds: tuple[int, ...], quick: bool) -> None:
    """Runs all settings on both deployments and prints a plot as SVG."""
    series = []
    measured: dict[str, object] = {}
    for name, deployment in workloads.DEPLOYMENTS.items():
        for seed in seeds:
            points = points_of(deployment, seed=seed, quick=quick)
            measured[f"{name}/{seed}"] = {
                label: {"batch": batch, "p99": tail} for batch, tail, label in points
            }
            finite = [point for point in points if math.isfinite(point[1])]
            series.append((f"{name}, seed {seed}", finite))
    print(
        plots.scatter(
            title="Urgent p99 at the crest against batch throughput, both over their limits",
            x_label="batch throughput over its limit",
            y_label="p99 over its limit",
            series=series,
        )
    )
    measures.print_targets(
        bench="frontier", seeds=seeds, measured=measured, baseline={}, targets=[]
    )


if __name__ == "__main__":
    registry.main("frontier")
