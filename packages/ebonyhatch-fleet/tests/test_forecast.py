"""Forecasts of free capacity, compared with a naive one that tries every end."""

from __future__ import annotations

import math
import random

import placed
import pytest
from ebonyhatch.fleet import jobs, queues, rows, run_times, scheduler, targets
from ebonyhatch.fleet.lookahead import forecast

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p")


def _target():
    subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
    target = targets.Target(
        target_id="t0",
        address="t0:1",
        pool="p",
        failure_domain="a",
        cpu_millis=16_000,
        memory_mb=64_000,
        accelerators=2,
    )
    return subject, subject.set_target(target, now=0.0)


def _run(subject, row, number, *, expected_s=1.0, started_at=0.0, **fields):
    job = jobs.Job(
        job_id=f"{number:016x}", queue="q", spec="", steps=(jobs.Step(count=1, **fields),)
    )
    job_row = rows.JobRow(job=job, queue=QUEUE)
    subject.add_job(job_row, now=0.0, wall=0.0)
    step = job_row.occurrences[0][0]
    step.expected_s = expected_s
    run = placed.run_on(row, step, 0)
    run.started_at = run.progressed_at = started_at
    return run


def _forecast(now):
    predict = forecast.Forecast(times=run_times.RunTimes())
    predict.advance(now)
    return predict


@pytest.mark.parametrize("seed", range(30))
def test_times_of_slots_are_those_of_a_naive_search(seed):
    pick = random.Random(seed)
    subject, row = _target()
    runs = [
        _run(
            subject,
            row,
            number,
            expected_s=pick.uniform(0.1, 9.0),
            started_at=pick.uniform(0.0, 5.0),
            cpu_millis=pick.choice([500, 1_000, 2_000]),
            memory_mb=pick.choice([0, 4_000, 8_000]),
            accelerators=pick.choice([0, 0, 0, 1]) if number < 2 else 0,
            long_running=pick.random() < 0.2,
        )
        for number in range(7)
    ]
    predict = _forecast(5.0)
    spec = jobs.Step(
        count=1, cpu_millis=pick.choice([3_000, 8_000]), memory_mb=9_000, accelerators=0
    )
    ends = {run.key: predict.remaining_s(run) for run in runs}
    naive = []
    for at in sorted({0.0, *(end for end in ends.values() if end < math.inf)}):
        left = [run.task.step.step for run in runs if ends[run.key] > at]
        cpu = 16_000 - sum(one.cpu_millis for one in left)
        memory = 64_000 - sum(one.memory_mb for one in left)
        fits = min(5, cpu // spec.cpu_millis, memory // spec.memory_mb)
        naive += [at] * (fits - len(naive))
    assert predict.slot_times(row, spec, limit=5) == naive


def test_task_that_never_fits_has_no_slot():
    subject, row = _target()
    _run(subject, row, 1, cpu_millis=4_000, long_running=True)
    predict = _forecast(1.0)
    assert predict.slot_times(row, jobs.Step(count=1, cpu_millis=14_000), limit=1) == []


def test_overdue_run_is_expected_to_take_longer_the_longer_it_took():
    """Guards against a forecast that stays at "soon" for a straggler, and holds a target for it."""
    subject, row = _target()
    run = _run(subject, row, 1, expected_s=1.0, cpu_millis=1_000)
    assert _forecast(20.0).remaining_s(run) == pytest.approx(0.88 * 20.0)
    assert _forecast(200.0).remaining_s(run) == pytest.approx(0.88 * 200.0)


def test_progress_of_a_run_outweighs_its_expected_run_time():
    subject, row = _target()
    run = _run(subject, row, 1, expected_s=1.0, started_at=5.0, cpu_millis=1_000)
    run.percent, run.progressed_at = 20.0, 15.0
    assert _forecast(15.0).remaining_s(run) == pytest.approx(40.0)


def test_run_that_is_stopped_ends_soon_and_one_that_lasts_never():
    subject, row = _target()
    stopped = _run(subject, row, 1, expected_s=100.0, cpu_millis=1_000)
    stopped.state = rows.RunState.STOPPING
    lasting = _run(subject, row, 2, long_running=True, cpu_millis=1_000)
    assert _forecast(1.0).remaining_s(stopped) == forecast.STOP_S
    assert _forecast(1.0).remaining_s(lasting) == math.inf


def test_task_of_unknown_length_is_never_expected_to_end_in_time():
    subject, row = _target()
    run = _run(subject, row, 1, expected_s=0.0, cpu_millis=1_000)
    assert _forecast(1.0).run_s(run.task.step) == math.inf


def test_quantile_of_the_run_time_shrinks_as_its_kind_is_learnt():
    times = run_times.RunTimes()
    before = times.sigma(queue="q", image="i", estimated=False)
    for _ in range(50):
        times.learn(queue="q", image="i", estimate_s=1.0, run_s=1.0)
    assert times.sigma(queue="q", image="i", estimated=False) < 0.3 < before
    assert times.sigma(queue="q", image="i", estimated=True) <= times.sigma(
        queue="q", image="i", estimated=False
    )
