"""Bench of crests of load: tail latency, batch throughput, redone work and evictions."""

from __future__ import annotations

import dataclasses
import time

from ebonyhatch.core import default_scheduler
from ebonyhatch.testing import limits, naive_scheduler, urgent_first_scheduler, workloads
from ebonyhatch.testing.benches import measures, registry

REGISTERED = (default_scheduler, urgent_first_scheduler, naive_scheduler)
"""Modules that register the policies when they are imported."""

POLICIES = ("default", "urgent-first", "naive")


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """Figures of all policies and the bounds on one workload.

    Attributes:
        limit_p99_s: Bound on the 99th percentile of latency during crests.
        limit_late: Fraction of requests that miss their deadline even without batch work.
        limit_batch_s: Bound on batch work.
    """

    seed: int
    limit_p99_s: float
    limit_late: float
    limit_batch_s: float
    policies: dict[str, measures.Figures]


def generate_workload(
    deployment: workloads.Deployment, *, seed: int, quick: bool
) -> workloads.Workload:
    """Generates a workload with three crests, or with one early crest if `quick`."""
    if quick:
        return workloads.generate(deployment=deployment, seed=seed, crests=1, first_crest_s=40.0)
    return workloads.generate(deployment=deployment, seed=seed)


def run_seed(
    deployment: workloads.Deployment, *, seed: int, quick: bool, policies: tuple[str, ...]
) -> Run:
    """Runs the policies on the workload of one seed and computes its bounds."""
    workload = generate_workload(deployment, seed=seed, quick=quick)
    limit = limits.compute(workload)
    crest = [
        limit.latencies[number]
        for number in measures.requests_due_within_run(workload)
        if workload.in_crest(workload.arrivals[number].at)
    ]
    figures_by_policy = {}
    for policy in policies:
        started_at = time.perf_counter()
        simulation = measures.run_policy(policy=policy, workload=workload, seed=seed)
        figures_by_policy[policy] = measures.compute_figures(simulation, workload)
        took_s = time.perf_counter() - started_at
        print_run(deployment.name, seed, policy, figures_by_policy[policy], limit.batch_s, took_s)
    return Run(
        seed=seed,
        limit_p99_s=measures.percentile(crest, 0.99),
        limit_late=limit.late / max(1, len(workload.arrivals)),
        limit_batch_s=limit.batch_s,
        policies=figures_by_policy,
    )


def print_run(
    name: str, seed: int, policy: str, figures: measures.Figures, batch_s: float, took_s: float
) -> None:
    """Prints the figures of one run on one line."""
    print(
        f"{name} seed {seed} {policy:13} crest p99 {figures.crest_p99_s:8.3f} s"
        f" in time {figures.crest_in_time:.4f} refused {figures.refused:.4f}"
        f" worst start {figures.worst_start_s:7.3f} s batch {figures.work_s / batch_s:.3f}"
        f" jobs {figures.finished_jobs} redone {figures.redone:.4f}"
        f" evictions/1000 {figures.evictions:.0f} short wait p99 {figures.short_wait_p99_s:.1f} s"
        f" exceeded {figures.limits_exceeded} twice {figures.double_runs}"
        f" overload {figures.overload_s:.0f} s ({took_s:.0f} s)",
        flush=True,
    )


def targets_of(name: str, runs: list[Run]) -> list[measures.Target]:
    """Compares the worst value over all seeds with the targets."""
    ours = [run.policies["default"] for run in runs]
    baselines = [run.policies["urgent-first"] for run in runs]

    def worst(values: list[float]) -> float:
        return max(values)

    p99_ratios = [run.policies["default"].crest_p99_s / run.limit_p99_s for run in runs]
    base_ratios = [
        measures.ratio(mine.crest_p99_s, theirs.crest_p99_s)
        for mine, theirs in zip(ours, baselines, strict=True)
    ]
    refused = [run.policies["default"].refused for run in runs]
    batch = [run.policies["default"].work_s / run.limit_batch_s for run in runs]
    waits = [
        measures.ratio(mine.short_wait_p99_s, theirs.short_wait_p99_s)
        for mine, theirs in zip(ours, baselines, strict=True)
    ]
    return [
        measures.Target(name=f"{name}: crest p99 / limit", target=2, measured=worst(p99_ratios)),
        measures.Target(
            name=f"{name}: crest p99 / urgent-first", target=0.25, measured=worst(base_ratios)
        ),
        measures.Target(
            name=f"{name}: worst urgent start s",
            target=2.3,
            measured=worst([figures.worst_start_s for figures in ours]),
        ),
        measures.Target(name=f"{name}: refused", target=0.01, measured=worst(refused)),
        measures.Target(
            name=f"{name}: batch / limit", target=0.85, measured=min(batch), at_most=False
        ),
        measures.Target(
            name=f"{name}: redone", target=0.02, measured=worst([e.redone for e in ours])
        ),
        measures.Target(
            name=f"{name}: short wait p99 / urgent-first", target=0.2, measured=worst(waits)
        ),
        measures.Target(
            name=f"{name}: limits exceeded",
            target=0,
            measured=worst([e.limits_exceeded for e in ours]),
        ),
    ]


@registry.bench("crest")
def crest(*, seeds: tuple[int, ...], quick: bool) -> None:
    """Runs both deployments over all seeds."""
    targets: list[measures.Target] = []
    measured: dict[str, object] = {}
    baseline: dict[str, object] = {}
    for name, deployment in workloads.DEPLOYMENTS.items():
        runs = [run_seed(deployment, seed=seed, quick=quick, policies=POLICIES) for seed in seeds]
        targets += targets_of(name, runs)
        for run in runs:
            key = f"{name}/{run.seed}"
            measured[key] = dataclasses.asdict(run.policies["default"])
            baseline[key] = {
                "limit_p99_s": run.limit_p99_s,
                "limit_batch_s": run.limit_batch_s,
                "limit_late": run.limit_late,
                "urgent-first": dataclasses.asdict(run.policies["urgent-first"]),
                "naive": dataclasses.asdict(run.policies["naive"]),
            }
    measures.print_targets(
        bench="crest", seeds=seeds, measured=measured, baseline=baseline, targets=targets
    )


if __name__ == "__main__":
    registry.main("crest")
