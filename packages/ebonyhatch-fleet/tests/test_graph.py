"""Chains of dependent steps of a job."""

from __future__ import annotations

import pytest
from ebonyhatch.fleet import graph, jobs, progress, queues, rows


def _steps(*after: tuple[int, ...], seconds: float = 1.0) -> list[rows.StepRow]:
    steps = tuple(jobs.Step(count=1, after=before, estimate_s=seconds) for before in after)
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=steps)
    queue = queues.Queue(name="q", host="", prefix="", pool="p")
    return progress.new_steps(rows.JobRow(job=job, queue=queue), 0)


@pytest.mark.parametrize(("index", "expected"), [(0, 3.0), (1, 2.0), (2, 2.0), (3, 1.0), (4, 1.0)])
def test_the_remaining_chain_is_the_longest_that_begins_with_a_step(index, expected):
    steps = _steps((), (), (0,), (2, 1), ())
    assert graph.remaining_chain_s(steps[index], steps) == expected


def test_many_paths_through_a_job_cost_one_pass():
    """The number of paths grows exponentially with the steps, so visiting each would never end."""
    steps = _steps(*(tuple(range(index)) for index in range(80)))
    assert graph.remaining_chain_s(steps[0], steps) == 80.0
    assert graph.longest_chain_s(steps) == 80.0
