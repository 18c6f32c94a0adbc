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


QUEUE = queues.Queue(name="q", host="", prefix="", pool="p", slack_s=1e6)


def _timed(*, count: int = 1, occurrences: int = 1_000) -> rows.JobRow:
    job = jobs.Job(
        job_id="0" * 16,
        queue="q",
        spec="",
        steps=(jobs.Step(count=count),),
        occurrences=occurrences,
        first_at=1.0,
        interval_s=0.001,
    )
    return rows.JobRow(job=job, queue=QUEUE)


def _finish(row: rows.JobRow, number: int) -> bool:
    (step,) = row.occurrences[number]
    step.remaining_count = 0
    return graph.finish_occurrence(row, number)


def test_occurrences_that_are_done_take_no_memory():
    """Guards against a record that grows with each occurrence of a timed job."""
    row = _timed(occurrences=10_000_000)
    sizes = []
    for number in range(2_000):
        graph.release(row, now=100.0, wall=100.0)
        assert not _finish(row, number)
        sizes.append(len(progress.encode(row)))
    assert max(sizes) < sizes[0] + 100


def test_timed_job_is_done_once_all_its_occurrences_are_in_whatever_order():
    row = _timed(occurrences=3)
    graph.release(row, now=100.0, wall=100.0)
    assert [_finish(row, number) for number in (2, 0, 1)] == [False, False, True]


def test_open_occurrences_of_a_job_have_no_more_tasks_than_one_occurrence_may_have():
    """Guards against progress that outgrows a value of the store, by which the job would fail."""
    for count, expected in ((1, 16), (2_000, 10), (jobs.TASKS_LIMIT, 1)):
        row = _timed(count=count)
        graph.release(row, now=100.0, wall=100.0)
        assert len(row.occurrences) == expected


def test_record_of_an_earlier_version_with_a_list_of_finished_occurrences_is_restored():
    job = _timed(occurrences=3).job
    durable = progress.decode(b'{"finished":[0,1],"next_occurrence":3,"occurrences":{"2":[{}]}}')
    row = progress.restore(job=job, queue=QUEUE, progress=durable)
    (step,) = graph.release(row, now=100.0, wall=100.0)
    assert step.occurrence == 2 and _finish(row, 2)
