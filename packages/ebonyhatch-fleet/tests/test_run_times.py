from __future__ import annotations

import random

import pytest
from ebonyhatch.fleet import run_times


def _learned(*, error_sigma: float, seed: int = 1) -> run_times.RunTimes:
    times = run_times.RunTimes()
    generator = random.Random(seed)
    for _ in range(200):
        run_s = generator.lognormvariate(0.0, 0.3)
        estimate_s = run_s * generator.lognormvariate(0.0, error_sigma)
        times.learn(queue="q", image="i", estimate_s=estimate_s, run_s=run_s)
    return times


def test_without_history_the_estimate_is_used():
    times = run_times.RunTimes()
    assert times.expected_s(queue="q", image="i", estimate_s=3.0) == 3.0


def test_inaccurate_estimates_have_little_weight():
    expected = _learned(error_sigma=1.5).expected_s(queue="q", image="i", estimate_s=20.0)
    assert expected < 2.0


def test_accurate_estimates_have_much_weight():
    expected = _learned(error_sigma=0.05).expected_s(queue="q", image="i", estimate_s=5.0)
    assert expected == pytest.approx(5.0, rel=0.25)


def test_an_unknown_image_takes_the_history_of_its_queue():
    expected = _learned(error_sigma=1.5).expected_s(queue="q", image="new", estimate_s=0.0)
    assert expected == pytest.approx(1.0, rel=0.25)


def test_the_learned_history_is_restored():
    times = _learned(error_sigma=0.5)
    restored = run_times.RunTimes()
    restored.restore(times.to_rows())
    for estimate_s in (0.1, 1.0, 9.0):
        assert restored.expected_s(queue="q", image="i", estimate_s=estimate_s) == pytest.approx(
            times.expected_s(queue="q", image="i", estimate_s=estimate_s)
        )


def test_images_that_were_not_used_for_long_are_forgotten():
    """Guards against memory that grows with each image that was ever used."""
    times = run_times.RunTimes()
    for number in range(run_times.MAX_TASK_KINDS + 500):
        times.learn(queue="q", image=f"i{number}", estimate_s=1.0, run_s=2.0)
    learned = times.to_rows()
    assert len(learned) == run_times.MAX_TASK_KINDS
    assert {row[1] for row in learned} >= {"", f"i{run_times.MAX_TASK_KINDS + 499}"}
