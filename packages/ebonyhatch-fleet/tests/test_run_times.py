from __future__ import annotations

import random

import pytest
from ebonyhatch.fleet import run_times


def _learnt(*, error_sigma: float, seed: int = 1) -> run_times.RunTimes:
    times = run_times.RunTimes()
    draw = random.Random(seed)
    for _ in range(200):
        run_s = draw.lognormvariate(0.0, 0.3)
        estimate_s = run_s * draw.lognormvariate(0.0, error_sigma)
        times.learn(queue="q", image="i", estimate_s=estimate_s, run_s=run_s)
    return times


def test_without_history_the_estimate_counts():
    times = run_times.RunTimes()
    assert times.expected_s(queue="q", image="i", estimate_s=3.0) == 3.0


def test_estimates_that_are_far_off_count_little():
    expected = _learnt(error_sigma=1.5).expected_s(queue="q", image="i", estimate_s=20.0)
    assert expected < 2.0


def test_estimates_that_are_good_count_much():
    expected = _learnt(error_sigma=0.05).expected_s(queue="q", image="i", estimate_s=5.0)
    assert expected == pytest.approx(5.0, rel=0.25)


def test_an_unknown_image_takes_the_history_of_its_queue():
    expected = _learnt(error_sigma=1.5).expected_s(queue="q", image="new", estimate_s=0.0)
    assert expected == pytest.approx(1.0, rel=0.25)


def test_what_was_learnt_is_restored():
    times = _learnt(error_sigma=0.5)
    restored = run_times.RunTimes()
    restored.restore(times.to_rows())
    for estimate_s in (0.1, 1.0, 9.0):
        assert restored.expected_s(queue="q", image="i", estimate_s=estimate_s) == pytest.approx(
            times.expected_s(queue="q", image="i", estimate_s=estimate_s)
        )
