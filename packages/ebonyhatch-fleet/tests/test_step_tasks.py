"""Tasks of a step get a row when they are placed, and lose it when they are done."""

from __future__ import annotations

import random
import tracemalloc

import pytest
from ebonyhatch.fleet import graph, jobs, progress, queues, rows, scheduler, targets

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", max_attempts=3, slack_s=10.0)


def _row(*, count: int, number: int = 1) -> rows.JobRow:
    step = jobs.Step(count=count, cpu_millis=3_500, memory_mb=6_400, estimate_s=2.0)
    job = jobs.Job(job_id=f"{number:016x}", queue="q", spec="", steps=(step,), accepted_at=1.0)
    return rows.JobRow(job=job, queue=QUEUE)


def _released(*, count: int) -> rows.StepRow:
    (step,) = graph.release(_row(count=count), now=2.0, wall=2.0)
    return step


def test_tasks_that_never_started_take_no_memory():
    """Guards against owners over the memory of their machine, one after the other."""
    subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
    subject.reconciled = subject.may_place = True
    target = targets.Target(
        target_id="t", address="t:1", pool="p", failure_domain="a", born=1, cpu_millis=8_000
    )
    row = subject.set_target(target, now=1.0)
    row.confirmed = row.announced = True
    tracemalloc.start()
    try:
        for number in range(5):
            subject.add_job(_row(count=20_000, number=number), now=1.0, wall=1.0)
        for tick in range(3):
            subject.tick(now=2.0 + tick, wall=2.0 + tick)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 1_000_000


def test_job_that_makes_progress_holds_no_rows_of_tasks_that_are_done():
    """Guards against memory that grows while a job with many tasks is worked off."""
    step = _released(count=1_000)
    for _ in range(900):
        task = step.waiting.popleft()
        step.tasks.mark_done(task.index)
    assert step.tasks.known == [] and step.tasks.done == list(range(900))
    assert len(step.waiting) == step.tasks.fresh_count == 100


def test_waiting_tasks_come_in_their_order_and_those_that_come_back_come_first():
    step = _released(count=4)
    first, second = step.waiting.popleft(), step.waiting.popleft()
    step.waiting.appendleft(first)
    assert [step.waiting.popleft().index for _ in range(3)] == [0, 2, 3]
    assert not step.waiting and second.index == 1


def test_task_that_is_looked_up_waits_like_all_others():
    """A new owner adopts runs of tasks that it looks up by their names."""
    step = _released(count=3)
    task = step.tasks[1]
    assert task.state is rows.TaskState.WAITING and task.waiting_since == 2.0
    step.waiting.remove(task)
    assert [task.index for task in step.waiting] == [0, 2]


def test_task_of_a_step_that_is_not_released_is_blocked():
    step = progress.new_steps(_row(count=2), 0)[0]
    assert step.tasks[1].state is rows.TaskState.BLOCKED and not step.waiting
    step.waiting.release(now=3.0)
    assert [task.index for task in step.waiting] == [1, 0]


def test_waiting_tasks_that_were_dropped_do_not_come_back():
    step = _released(count=3)
    step.waiting.clear()
    assert not step.waiting and list(step.waiting) == []
    assert step.tasks[2].state is rows.TaskState.BLOCKED and not step.waiting


def test_done_task_is_shown_as_done():
    step = _released(count=2)
    step.tasks.mark_done(1)
    assert step.tasks[1].state is rows.TaskState.DONE and len(step.waiting) == 1
    with pytest.raises(IndexError):
        step.tasks[2]


def test_restored_step_waits_for_the_tasks_that_are_not_done():
    row = _row(count=5)
    durable = progress.JobProgress(
        next_occurrence=1,
        occurrences={0: [progress.StepProgress(done=[0, 3], runs={2: 7}, failures={2: [7]})]},
    )
    restored = progress.restore(job=row.job, queue=QUEUE, progress=durable)
    (step,) = graph.release(restored, now=1.0, wall=1.0)
    assert step.remaining_count == 3
    assert [(task.index, task.last_run) for task in step.waiting] == [(2, 7), (1, 0), (4, 0)]


@pytest.mark.parametrize("seed", range(30))
def test_tasks_are_waiting_or_placed_or_done_whatever_happens(seed):
    pick = random.Random(seed)
    step = _released(count=12)
    placed: dict[int, rows.TaskRow] = {}
    done: set[int] = set()
    for _ in range(200):
        action = pick.randrange(4)
        if action == 0 and step.waiting:
            task = step.waiting.popleft()
            task.state = rows.TaskState.PLACED
            placed[task.index] = task
        elif action == 1 and placed:
            task = placed.pop(pick.choice(sorted(placed)))
            task.state = rows.TaskState.WAITING
            step.waiting.appendleft(task)
        elif action == 2 and placed:
            index = pick.choice(sorted(placed))
            del placed[index]
            done.add(index)
            step.tasks.mark_done(index)
        else:
            index = pick.randrange(12)
            assert (step.tasks[index].state is rows.TaskState.DONE) == (index in done)
        assert len(step.waiting) == 12 - len(placed) - len(done)
    assert sorted(task.index for task in step.waiting) == [
        index for index in range(12) if index not in placed and index not in done
    ]
