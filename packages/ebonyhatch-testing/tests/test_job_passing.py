"""Cells without free capacity pass jobs on, also while an entry fails."""

from __future__ import annotations

import pytest
from ebonyhatch.testing import checker, history
from ebonyhatch.testing.histories import fleet

JOBS = 40


def overloaded(seed: int) -> fleet.Fleet:
    run = fleet.Fleet(seed=seed)
    run.advance(15.0)
    for number in range(JOBS):
        home = f"{'abc'[seed]}.0" if number % 3 else ""
        run.submit(run_s=6.0 + number % 5, home=home)
        run.advance(0.1)
    run.advance(7.0)
    return run


def check(run: fleet.Fleet) -> None:
    ended = run.finish(quiet_s=120.0)
    assert checker.check(ended) == []
    states = {record.job_id: record.state for record in ended.of(history.JobObserved)}
    assert list(states.values()) == ["finished"] * JOBS


@pytest.mark.parametrize("seed", range(3))
def test_passed_jobs_run_once(seed: int) -> None:
    run = overloaded(seed)
    run.advance(10.0)
    assert any(record.state == "offered" for record in run.run.of(history.JobObserved))
    check(run)


@pytest.mark.parametrize("seed", range(3))
def test_passed_jobs_run_once_when_an_entry_dies(seed: int) -> None:
    run = overloaded(seed)
    run.kill(f"e{seed}")
    run.advance(10.0)
    check(run)
