"""The simulated fleet on a small deployment: capacity limits, losses and reproducibility."""

from __future__ import annotations

import dataclasses

import pytest
from ebonyhatch.core import default_scheduler, scheduler
from ebonyhatch.testing import (
    fleet,
    fleet_faults,
    limits,
    naive_scheduler,
    urgent_first_scheduler,
    workloads,
)

REGISTERED = (default_scheduler, naive_scheduler, urgent_first_scheduler)
SMALL = dataclasses.replace(workloads.TSAGAAN_ZUSLAN, workers=3)


def small_workload(seed=1):
    return workloads.generate(
        deployment=SMALL, seed=seed, crests=1, first_crest_s=10.0, duration_s=30
    )


@pytest.mark.parametrize("policy", ["default", "naive", "urgent-first"])
def test_no_policy_exceeds_a_limit_or_runs_a_job_twice(policy):
    simulation = fleet.Fleet(policy=scheduler.build(name=policy, seed=1), workload=small_workload())
    simulation.run()
    assert simulation.counts.limits_exceeded == 0
    assert simulation.counts.double_runs == 0
    assert simulation.counts.double_finishes == 0
    assert simulation.counts.finished_jobs > 0


def test_workload_depends_only_on_the_seed():
    first, again, other = small_workload(1), small_workload(1), small_workload(2)
    assert first.arrivals == again.arrivals
    assert first.arrivals != other.arrivals


def test_no_policy_keeps_more_batch_work_than_the_limit():
    workload = small_workload()
    limit = limits.compute(workload)
    simulation = fleet.Fleet(policy=scheduler.build(name="default", seed=1), workload=workload)
    simulation.run()
    assert 0.0 < simulation.counts.work_s - simulation.counts.redone_s <= limit.batch_s


def test_lost_rack_comes_back_without_a_double_run():
    times = fleet_faults.Times(
        failing=(2.0, 4.0),
        slow_at=3.0,
        hangs_at=4.0,
        rack_lost=(6.0, 12.0),
        wave=(14.0, 16.0),
        cancel_at=18.0,
        end_s=25.0,
    )
    workload = workloads.generate(deployment=SMALL, seed=1, crests=0, duration_s=times.end_s)
    simulation = fleet.Fleet(policy=scheduler.build(name="default", seed=1), workload=workload)
    fleet_faults.Faults(simulation=simulation, seed=1, times=times).schedule()
    simulation.run()
    assert simulation.counts.limits_exceeded == 0
    assert simulation.counts.double_runs == 0
    assert max(simulation.attempts) <= 2
