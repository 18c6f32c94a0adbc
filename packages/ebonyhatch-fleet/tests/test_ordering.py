from __future__ import annotations

import random

import pytest
from ebonyhatch.fleet import jobs, ordering, progress, queues, rows


def _step(
    *,
    priority: int = 1,
    due_at: float = 10.0,
    expected_s: float = 1.0,
    objective_from: float = 0.0,
    step: jobs.Step | None = None,
) -> rows.StepRow:
    queue = queues.Queue(name="q", host="", prefix="", pool="p", priority=priority)
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=(step or jobs.Step(count=1),))
    row = rows.JobRow(job=job, queue=queue)
    row.occurrences[0] = progress.new_steps(row, 0)
    step_row = row.occurrences[0][0]
    step_row.expected_s = expected_s
    step_row.objective_from, step_row.due_at = objective_from, due_at
    return step_row


def _in_order(steps: list[rows.StepRow], *, wall: float) -> list[rows.StepRow]:
    return sorted(steps, key=lambda step: ordering.key(step, wall=wall))


def _long_running(*, count: int = 2, cpu_millis: int = 1_000, objective_from: float = 0.0):
    step = jobs.Step(count=count, cpu_millis=cpu_millis, long_running=True)
    return _step(step=step, objective_from=objective_from)


def test_priority_comes_first():
    urgent, other = _step(priority=0, due_at=100.0), _step(priority=1, due_at=5.0)
    assert _in_order([other, urgent], wall=0.0) == [urgent, other]


def test_the_least_slack_comes_first_among_those_in_time():
    near, far = _step(due_at=5.0), _step(due_at=9.0)
    assert _in_order([far, near], wall=0.0) == [near, far]


def test_a_job_that_finishes_too_late_to_be_useful_comes_last():
    late, too_late = _step(due_at=3.0), _step(due_at=1.0)
    assert _in_order([too_late, late], wall=5.0) == [late, too_late]


def test_a_job_that_can_be_in_time_comes_before_one_that_is_late():
    """Under overload, ordering by least slack alone makes every job late, one after the other."""
    late, punctual = _step(due_at=4.5), _step(due_at=9.0)
    assert _in_order([late, punctual], wall=4.0) == [punctual, late]


def test_all_remaining_steps_of_a_job_reduce_its_slack():
    short, long = _step(due_at=8.0), _step(due_at=9.0)
    steps = (jobs.Step(count=1), jobs.Step(count=1, after=(0,)))
    long.job.job = jobs.Job(job_id="1" * 16, queue="q", spec="", steps=steps)
    long.job.occurrences[0] = long_steps = progress.new_steps(long.job, 0)
    for step in long_steps:
        step.expected_s, step.objective_from, step.due_at = 2.0, 0.0, 9.0
    assert _in_order([short, long_steps[0]], wall=0.0) == [long_steps[0], short]


def test_short_work_comes_before_long_running_work_of_its_priority():
    short, long_running = _step(due_at=100.0), _long_running()
    assert _in_order([long_running, short], wall=0.0) == [short, long_running]


def test_of_long_running_steps_that_arrived_together_the_largest_comes_first():
    small, wide, large = _long_running(), _long_running(count=9), _long_running(cpu_millis=8_000)
    assert _in_order([small, wide, large], wall=0.0) == [large, wide, small]


def test_long_running_steps_that_arrived_much_earlier_come_first():
    early = _long_running(cpu_millis=100)
    late = _long_running(objective_from=3 * ordering.ARRIVAL_WINDOW_S)
    assert _in_order([late, early], wall=60.0) == [early, late]


def test_a_long_running_step_never_counts_as_useless():
    """However late it starts, it serves from then on."""
    old, new = _long_running(), _long_running(objective_from=1_000.0)
    assert _in_order([new, old], wall=2_000.0) == [old, new]


@pytest.mark.parametrize("seed", range(20))
def test_steps_come_in_the_order_of_their_keys(seed):
    pick = random.Random(seed)
    steps = []
    for number in range(60):
        spec = jobs.Step(
            count=pick.randrange(1, 4), cpu_millis=1000, long_running=pick.random() < 0.3
        )
        queue = queues.Queue(name="q", host="", prefix="", pool="p", priority=pick.randrange(3))
        job = jobs.Job(job_id=f"{number:016x}", queue="q", spec="", steps=(spec,))
        row = rows.JobRow(job=job, queue=queue)
        step = (row.occurrences.setdefault(0, progress.new_steps(row, 0)))[0]
        step.objective_from = float(pick.randrange(0, 40, 5))
        step.due_at = step.objective_from + pick.randrange(0, 20, 5)
        steps.append(step)
    expected = sorted(steps, key=lambda step: ordering.key(step, wall=25.0))
    assert list(ordering.in_order(steps, wall=25.0)) == expected
