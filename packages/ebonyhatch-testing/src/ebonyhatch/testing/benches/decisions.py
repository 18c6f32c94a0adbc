"""Bench of the scheduler's decisions: the interference model, and the speed of placement.

The model runs in three modes: learned per pair of classes, disabled (blind), and learned from
shuffled samples.
"""

from __future__ import annotations

import time

from ebonyhatch.core import default_scheduler
from ebonyhatch.testing import workloads
from ebonyhatch.testing.benches import measures, placements, registry

MODES = ("pairs", "blind", "shuffled")
INTERFERENCE_FACTOR = 2.0
"""Slowdown of each pair of classes in the workload with interference."""

WORKERS = 170
MANY_WORKERS = 1700
PLACEMENTS = 20_000
RATE_TARGET = 10_000.0


def generate_workload(
    deployment: workloads.Deployment, *, seed: int, factor: float, quick: bool
) -> workloads.Workload:
    """Generates a workload of one crest in which each pair of classes has the same slowdown."""
    pairs = {
        (urgent.name, batch.name): factor
        for urgent in deployment.urgent
        for batch in deployment.batch
    }
    return workloads.generate(
        deployment=deployment,
        seed=seed,
        crests=1,
        first_crest_s=60.0 if quick else 120.0,
        interference=pairs,
    )


def run_mode(workload: workloads.Workload, *, mode: str, seed: int) -> measures.Figures:
    """Runs the default policy with one mode of its interference model."""
    policy = default_scheduler.DefaultScheduler(seed=seed, interference_mode=mode)
    return measures.compute_figures(measures.run_scheduler(policy, workload), workload)


def interference_targets(
    deployment: workloads.Deployment,
    *,
    seeds: tuple[int, ...],
    quick: bool,
    measured: dict[str, object],
) -> list[measures.Target]:
    """Compares the modes: latency under interference, and batch work lost with and without it."""
    ratios: list[float] = []
    losses: list[float] = []
    for seed in seeds:
        for factor in (INTERFERENCE_FACTOR, 1.0):
            workload = generate_workload(deployment, seed=seed, factor=factor, quick=quick)
            figures_by_mode = {}
            for mode in MODES:
                started_at = time.perf_counter()
                figures_by_mode[mode] = run_mode(workload, mode=mode, seed=seed)
                figures = figures_by_mode[mode]
                measured[f"{deployment.name}/{seed}/{factor}/{mode}"] = {
                    "all_p99_s": figures.all_p99_s,
                    "crest_p99_s": figures.crest_p99_s,
                    "refused": figures.refused,
                    "work_s": figures.work_s,
                    "redone": figures.redone,
                }
                print(
                    f"{deployment.name} seed {seed} factor {factor} {mode:8}"
                    f" p99 {figures.all_p99_s:.3f} s crest p99 {figures.crest_p99_s:.3f} s"
                    f" refused {figures.refused:.4f} batch {figures.work_s:.0f} s"
                    f" redone {figures.redone:.4f} ({time.perf_counter() - started_at:.0f} s)",
                    flush=True,
                )
            if factor == INTERFERENCE_FACTOR:
                ratios.append(
                    measures.ratio(
                        figures_by_mode["pairs"].all_p99_s, figures_by_mode["blind"].all_p99_s
                    )
                )
            losses.append(
                1.0 - figures_by_mode["shuffled"].work_s / figures_by_mode["blind"].work_s
            )
    return [
        measures.Target(
            name=f"{deployment.name}: p99 with harm, pairs / blind",
            target=0.5,
            measured=max(ratios),
        ),
        measures.Target(
            name=f"{deployment.name}: batch lost by shuffled samples",
            target=0.1,
            measured=max(losses),
        ),
    ]


def speed_targets(*, quick: bool, measured: dict[str, object]) -> list[measures.Target]:
    """Measures the speed of placement on one core."""
    count = PLACEMENTS // 4 if quick else PLACEMENTS
    few_s = placements.measure(policy="default", workers=WORKERS, placements=count)
    many_s = placements.measure(policy="default", workers=MANY_WORKERS, placements=count)
    measured["placement_s"] = {str(WORKERS): few_s, str(MANY_WORKERS): many_s}
    return [
        measures.Target(
            name=f"placements a second, {WORKERS} workers",
            target=RATE_TARGET,
            measured=1.0 / few_s,
            at_most=False,
        ),
        measures.Target(
            name=f"cost a placement, {MANY_WORKERS} / {WORKERS} workers",
            target=2.0,
            measured=many_s / few_s,
        ),
    ]


@registry.bench("decisions")
def decisions(*, seeds: tuple[int, ...], quick: bool) -> None:
    """Runs all comparisons; `quick` omits the second deployment."""
    measured: dict[str, object] = {}
    targets = speed_targets(quick=quick, measured=measured)
    deployments = list(workloads.DEPLOYMENTS.values())
    for deployment in deployments[:1] if quick else deployments:
        targets += interference_targets(deployment, seeds=seeds, quick=quick, measured=measured)
    measures.print_targets(
        bench="decisions", seeds=seeds, measured=measured, baseline={}, targets=targets
    )


if __name__ == "__main__":
    registry.main("decisions")
