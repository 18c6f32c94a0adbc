"""Chains of dependent steps of a job."""

from __future__ import annotations

import cost
import pytest
from ebonyhatch.fleet import (
    dependencies,
    graph,
    jobs,
    ordering,
    progress,
    queues,
    rows,
    scheduler,
    targets,
)


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


def _shape(name: str, size: int) -> tuple[jobs.Step, ...]:
    """Returns about `size` steps of one task: a chain, a wide layer, or joined layers."""
    if name == "wide":
        after: list[tuple[int, ...]] = [()] * size
    elif name == "chain":
        after = [(index - 1,) if index else () for index in range(size)]
    else:
        after = [
            tuple(range(index - index % 10 - 10, index - index % 10)) if index >= 10 else ()
            for index in range(size)
        ]
    return tuple(jobs.Step(count=1, cpu_millis=100, estimate_s=1.0, after=one) for one in after)


def _worked_off(name: str, size: int) -> int:
    """Returns the cost of a job from its arrival until all its tasks are done."""
    subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
    subject.reconciled = subject.may_place = True
    target = targets.Target(
        target_id="t", address="t:1", pool="p", failure_domain="a", born=1, cpu_millis=6_400
    )
    row = subject.set_target(target, now=1.0)
    row.confirmed = row.announced = True
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=_shape(name, size), accepted_at=1.0)
    job_row = rows.JobRow(job=job, queue=QUEUE)

    def work_off() -> None:
        subject.add_job(job_row, now=1.0, wall=1.0)
        now, number = 1.0, 0
        while not job_row.ended:
            now += 1.0
            subject.tick(now=now, wall=now)
            ended = []
            for key in row.runs:
                number += 1
                ended.append(targets.Ended(number=number, key=key, kind=targets.EndKind.DONE))
            report = targets.StatusReport(clock_s=now, born=1, ended=tuple(ended), running=())
            subject.apply_report(row, report, now=now)

    return cost.lines(work_off)


@pytest.mark.parametrize("name", ["chain", "joined"])
def test_cost_of_a_job_grows_with_its_steps_and_not_with_their_square(name):
    """Guards against owners that lose their lease over one job with many dependent steps."""
    assert _worked_off(name, 600) < 6 * _worked_off(name, 150)


@pytest.mark.parametrize("name", ["wide", "chain", "joined"])
def test_cost_of_a_pass_over_a_job_grows_with_its_steps_and_not_with_their_square(name):
    """Guards against owners that lose their lease in each pass over one job with many steps."""

    def pass_cost(size: int) -> int:
        job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=_shape(name, size))
        row = rows.JobRow(job=job, queue=QUEUE)
        steps = progress.new_steps(row, 0)
        row.occurrences[0] = steps
        return cost.lines(lambda: list(ordering.in_order(steps, wall=1.0)))

    assert pass_cost(800) < 6 * pass_cost(200)


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
    dependencies.finish_step(step)
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


def test_step_runs_once_all_that_it_depends_on_is_done_also_if_it_names_a_step_twice():
    steps = _steps((), (), (0, 1, 0))
    row = steps[0].job
    dependencies.open_occurrence(row, 0, steps)
    row.next_occurrence = 1
    assert graph.release(row, now=1.0, wall=1.0) == steps[:2]
    for step in steps[:2]:
        assert graph.release(row, now=1.0, wall=1.0) == []
        step.remaining_count = 0
        dependencies.finish_step(step)
    assert graph.release(row, now=1.0, wall=1.0) == steps[2:]
