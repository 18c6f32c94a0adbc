"""Run times and sizes that are learned from measurements."""

from __future__ import annotations

import random

from ebonyhatch.core import entities, resources, run_times, sizes


def job(expected_run_s, demand=resources.NONE):
    return entities.Job(
        job_id="j", work_class="plan", tenant="t", demand=demand, expected_run_s=expected_run_s
    )


def test_inaccurate_declared_run_times_are_shrunk_towards_the_class():
    source = random.Random(1)
    times = run_times.RunTimes()
    for _ in range(200):
        run_s = 20.0 * source.lognormvariate(0.0, 0.5)
        times.record_run_time(job(run_s * source.lognormvariate(0.0, 1.5)), run_s=run_s)
    assert 8.0 < times.estimate_s(job(2.0)) < 40.0
    assert 8.0 < times.estimate_s(job(200.0)) < 60.0
    assert 30.0 < times.straggler_s("plan") < 150.0


def test_declared_run_time_is_used_for_an_unknown_class():
    assert run_times.RunTimes().estimate_s(job(7.0)) == 7.0


def test_too_small_a_declared_size_is_raised_to_the_quantile_of_its_class():
    learned_sizes = sizes.Sizes()
    for number in range(100):
        usage = resources.Resources(cores=1.0 + number / 100, memory_gb=2.0)
        learned_sizes.record_usage("plan", usage)
    small = resources.Resources(slots=1, cores=0.1, memory_gb=8.0)
    reserved = learned_sizes.reservation(job(1.0, small), quantile=0.9)
    assert 1.8 < reserved.cores < 2.0
    assert reserved.memory_gb == 8.0
    assert learned_sizes.reservation(job(1.0, small), quantile=0.0) == small
