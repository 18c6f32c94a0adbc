"""Bench of faulty workers: lost requests under each fault, time until reuse, and invariants."""

from __future__ import annotations

import dataclasses
import math
import time

from ebonyhatch.core import default_scheduler, scheduler
from ebonyhatch.testing import (
    fleet,
    fleet_faults,
    naive_scheduler,
    urgent_first_scheduler,
    workloads,
)
from ebonyhatch.testing.benches import measures, registry

REGISTERED = (default_scheduler, urgent_first_scheduler, naive_scheduler)
POLICIES = ("default", "urgent-first")
MIN_USES = 5
"""A worker counts as used again when it has started more requests and tasks than this."""


@dataclasses.dataclass(slots=True, kw_only=True)
class FaultFigures:
    """Figures of one policy under all faults.

    Attributes:
        lost: Fraction of requests not answered in time, by window.
        p99_s: 99th percentile of latency by window, seconds.
        back_s: Time from the repair of the failing worker until it is used again, seconds.
        second_tries: Repeated sends as a fraction of all sends.
        most_tries: Maximum number of sends of one request.
    """

    lost: dict[str, float]
    p99_s: dict[str, float]
    back_s: float
    second_tries: float
    most_tries: int
    limits_exceeded: int
    double_runs: int
    finished_jobs: int


def windows(times: fleet_faults.Times) -> dict[str, tuple[float, float]]:
    """Returns the windows in which lost requests are counted.

    The first second of the failing worker is a window of its own, outside `failing`.
    """
    return {
        "before": (30.0, times.failing[0]),
        "first second": (times.failing[0], times.failing[0] + 1.0),
        "failing": (times.failing[0] + 1.0, times.slow_at),
        "slow": (times.slow_at, times.hangs_at),
        "hanging": (times.hangs_at, times.rack_lost[0]),
        "rack gone": (times.rack_lost[0], times.rack_lost[1]),
        "rack back": (times.rack_lost[1], times.wave[0]),
        "wave": (times.wave[0], times.wave[1]),
        "cancellations": (times.cancel_at, times.end_s - 3.0),
    }


def run_faults(
    policy: str, workload: workloads.Workload, *, seed: int, times: fleet_faults.Times
) -> FaultFigures:
    """Runs one policy under all faults."""
    simulation = fleet.Fleet(policy=scheduler.build(name=policy, seed=seed), workload=workload)
    faults = fleet_faults.Faults(simulation=simulation, seed=seed, times=times)
    faults.schedule()
    simulation.run()
    repaired_at = times.failing[1]
    uses = [at for at in simulation.use_times[faults.failing.worker_id] if at > repaired_at]
    back_s = uses[MIN_USES] - repaired_at if len(uses) > MIN_USES else math.inf
    lost: dict[str, float] = {}
    p99_s: dict[str, float] = {}
    for name, (begin, end) in windows(times).items():
        numbers = [
            number for number, arrival in enumerate(workload.arrivals) if begin <= arrival.at < end
        ]
        lost[name] = sum(_is_late(simulation, workload, number) for number in numbers) / max(
            1, len(numbers)
        )
        latencies = [
            simulation.latencies[number] if simulation.latencies[number] >= 0 else math.inf
            for number in numbers
        ]
        p99_s[name] = measures.percentile(latencies, 0.99)
    counts = simulation.counts
    return FaultFigures(
        lost=lost,
        p99_s=p99_s,
        back_s=back_s,
        second_tries=counts.second_sends / max(1, counts.sends),
        most_tries=max(simulation.attempts, default=0),
        limits_exceeded=counts.limits_exceeded,
        double_runs=counts.double_runs + counts.double_finishes,
        finished_jobs=counts.finished_jobs,
    )


def _is_late(simulation: fleet.Fleet, workload: workloads.Workload, number: int) -> bool:
    latency = simulation.latencies[number]
    deadline_s = workload.deployment.urgent[workload.arrivals[number].kind].deadline_s
    slack_s = 2 * workload.deployment.caller_delay_s
    return latency < 0 or latency > deadline_s + slack_s


def targets_of(name: str, results: list[FaultFigures]) -> list[measures.Target]:
    """Compares the worst value over all seeds with the targets."""
    return [
        measures.Target(
            name=f"{name}: lost while one fails all",
            target=0.01,
            measured=max(figures.lost["failing"] for figures in results),
        ),
        measures.Target(
            name=f"{name}: back in use s",
            target=60.0,
            measured=max(figures.back_s for figures in results),
        ),
        measures.Target(
            name=f"{name}: most tries of a request",
            target=2,
            measured=max(figures.most_tries for figures in results),
        ),
        measures.Target(
            name=f"{name}: limits exceeded",
            target=0,
            measured=max(figures.limits_exceeded for figures in results),
        ),
        measures.Target(
            name=f"{name}: runs in two places",
            target=0,
            measured=max(figures.double_runs for figures in results),
        ),
    ]


@registry.bench("faults")
def faults(*, seeds: tuple[int, ...], quick: bool) -> None:
    """Runs both deployments over all seeds; `quick` omits the second."""
    times = fleet_faults.Times()
    targets: list[measures.Target] = []
    measured: dict[str, object] = {}
    baseline: dict[str, object] = {}
    deployments = list(workloads.DEPLOYMENTS.items())
    for name, deployment in deployments[:1] if quick else deployments:
        ours = []
        for seed in seeds:
            workload = workloads.generate(
                deployment=deployment, seed=seed, crests=0, duration_s=times.end_s
            )
            for policy in POLICIES:
                started_at = time.perf_counter()
                found = run_faults(policy, workload, seed=seed, times=times)
                _print_run(name, seed, policy, found, time.perf_counter() - started_at)
                if policy == "default":
                    ours.append(found)
                    measured[f"{name}/{seed}"] = dataclasses.asdict(found)
                else:
                    baseline[f"{name}/{seed}"] = dataclasses.asdict(found)
        targets += targets_of(name, ours)
    measures.print_targets(
        bench="faults", seeds=seeds, measured=measured, baseline=baseline, targets=targets
    )


def _print_run(name: str, seed: int, policy: str, found: FaultFigures, took_s: float) -> None:
    lost = " ".join(f"{key} {value:.4f}" for key, value in found.lost.items())
    tails = " ".join(f"{key} {value:.2f}" for key, value in found.p99_s.items())
    print(
        f"{name} seed {seed} {policy:13} lost: {lost}; p99 s: {tails};"
        f" back {found.back_s:.1f} s second tries {found.second_tries:.4f}"
        f" most {found.most_tries} exceeded {found.limits_exceeded}"
        f" twice {found.double_runs} jobs {found.finished_jobs} ({took_s:.0f} s)",
        flush=True,
    )


if __name__ == "__main__":
    registry.main("faults")
