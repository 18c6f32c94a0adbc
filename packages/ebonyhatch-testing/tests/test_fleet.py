"""The fleet: limits, losses and checkpoints on a small deployment."""

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


def small_draw(seed=1):
    return workloads.draw(deployment=SMALL, seed=seed, crests=1, first_crest_s=10.0, duration_s=30)


@pytest.mark.parametrize("policy", ["default", "naive", "urgent-first"])
def test_no_policy_exceeds_a_limit_or_runs_a_job_twice(policy):
    ran = fleet.Fleet(policy=scheduler.build(name=policy, seed=1), draw=small_draw())
    ran.run()
    assert ran.counts.limits_exceeded == 0
    assert ran.counts.double_runs == 0
    assert ran.counts.double_finishes == 0
    assert ran.counts.finished_jobs > 0


def test_draws_come_from_the_seed():
    first, again, other = small_draw(1), small_draw(1), small_draw(2)
    assert first.arrivals == again.arrivals
    assert first.arrivals != other.arrivals


def test_no_policy_keeps_more_batch_work_than_the_limit():
    draw = small_draw()
    limit = limits.work_out(draw)
    ran = fleet.Fleet(policy=scheduler.build(name="default", seed=1), draw=draw)
    ran.run()
    assert 0.0 < ran.counts.work_s - ran.counts.redone_s <= limit.batch_s


def test_lost_rack_comes_back_without_a_double_run():
    times = fleet_faults.Times(
        fails=(2.0, 4.0),
        slow_at=3.0,
        hangs_at=4.0,
        rack_gone=(6.0, 12.0),
        wave=(14.0, 16.0),
        cancel_at=18.0,
        end_s=25.0,
    )
    draw = workloads.draw(deployment=SMALL, seed=1, crests=0, duration_s=times.end_s)
    ran = fleet.Fleet(policy=scheduler.build(name="default", seed=1), draw=draw)
    fleet_faults.Faults(ran=ran, seed=1, times=times).schedule()
    ran.run()
    assert ran.counts.limits_exceeded == 0
    assert ran.counts.double_runs == 0
    assert max(ran.attempts) <= 2
