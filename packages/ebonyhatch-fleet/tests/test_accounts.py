from __future__ import annotations

import cost
import pytest
from ebonyhatch.fleet import clocks, dependencies, jobs, progress, queues, rows
from ebonyhatch.fleet.budget import accounts, price
from twisted.internet import task

QUEUE = queues.Queue(name="q", host="", prefix="", pool="p")
KEEP_S = 10.0
RECORD_BYTES = 700


class _Accounts:
    def __init__(self, *, keep_s: float = KEEP_S) -> None:
        self.clock = task.Clock()
        self.subject = accounts.JobAccounts(
            budget=10_000_000,
            first_term=True,
            keep_ended_s=keep_s,
            all_clocks=clocks.MemoryClocks(clock=self.clock),
        )

    def add(self, number: int = 1, *, state: rows.JobState = rows.JobState.RUNNING) -> rows.JobRow:
        steps = tuple(jobs.Step(count=1) for _ in range(100))
        job = jobs.Job(job_id=f"{number:016x}", queue="q", spec="text", steps=steps)
        row = rows.JobRow(job=job, queue=QUEUE, state=state, visible_state=state)
        dependencies.open_occurrence(row, 0, progress.new_steps(row, 0))
        self.subject.add(row, record_bytes=RECORD_BYTES)
        return row


def test_ended_job_takes_little_until_its_records_are_removed():
    world = _Accounts()
    row = world.add()
    before = world.subject.ledger.used_bytes
    row.state = row.visible_state = rows.JobState.COMPLETED
    world.subject.end(row)
    assert world.subject.ledger.used_bytes == price.price_of_ended(record_bytes=RECORD_BYTES)
    assert before > 10 * world.subject.ledger.used_bytes
    assert not row.occurrences and not row.job.steps and not row.job.spec
    world.clock.advance(KEEP_S)
    assert world.subject.is_due() and world.subject.pop_due() == [row.job.job_id]
    world.subject.remove([row.job.job_id])
    assert world.subject.ledger.used_bytes == 0


def test_steps_of_an_ended_job_stay_while_one_of_its_runs_may_be_listed():
    """Guards against runs of an ended job that are taken for those of an unknown one."""
    world = _Accounts()
    row = world.add()
    task_row = row.occurrences[0][0].tasks[0]
    task_row.runs[1] = object()
    row.state = row.visible_state = rows.JobState.CANCELLED
    world.subject.end(row)
    assert row.occurrences and row.job.steps
    task_row.runs.clear()
    world.subject.drop_steps()
    assert not row.occurrences


def test_ended_job_of_an_earlier_owner_takes_little_at_once():
    world = _Accounts()
    row = world.add(state=rows.JobState.FAILED)
    assert not row.job.steps and world.subject.gauges()["jobs_ended"] == 1


@pytest.mark.parametrize(("at_s", "kept_s"), [(0.0, KEEP_S), (-4.0, KEEP_S - 4.0)])
def test_cancellation_without_a_job_is_kept_for_a_while_from_its_time_on(at_s, kept_s):
    world = _Accounts()
    stored_at = clocks.WALL_START_S + at_s if at_s else 0.0
    world.subject.note_cancellation("a" * 16, at=stored_at)
    world.subject.note_cancellation("a" * 16, at=stored_at)
    world.clock.advance(kept_s - 0.1)
    assert not world.subject.is_due()
    world.clock.advance(0.2)
    assert world.subject.pop_due() == ["a" * 16]


def test_cancellation_without_a_job_is_kept_no_longer_than_a_write_may_be_late():
    """Guards against memory and listings that fill with cancellations of unknown jobs."""
    world = _Accounts(keep_s=600.0)
    world.subject.note_cancellation("a" * 16, at=0.0)
    world.clock.advance(accounts.CANCELLATION_KEEP_S - 0.1)
    assert not world.subject.is_due()
    world.clock.advance(0.2)
    assert world.subject.pop_due() == ["a" * 16]


def test_records_of_a_job_that_was_cancelled_before_are_removed_once():
    """Guards against a write that names a key twice, which a store may reject."""
    world = _Accounts()
    world.subject.note_cancellation(f"{1:016x}", at=0.0)
    world.add(1, state=rows.JobState.CANCELLED)
    world.clock.advance(KEEP_S + 1.0)
    assert world.subject.pop_due() == [f"{1:016x}"]


def test_job_whose_cancellation_was_read_before_is_told_apart():
    world = _Accounts()
    world.subject.note_cancellation(f"{1:016x}", at=0.0)
    job = jobs.Job(job_id=f"{1:016x}", queue="q", spec="", steps=(jobs.Step(count=1),))
    assert world.subject.add(rows.JobRow(job=job, queue=QUEUE), record_bytes=10)
    other = jobs.Job(job_id=f"{2:016x}", queue="q", spec="", steps=(jobs.Step(count=1),))
    assert not world.subject.add(rows.JobRow(job=other, queue=QUEUE), record_bytes=10)


def test_end_of_a_job_does_not_look_at_other_ended_jobs_that_still_run():
    """Guards against ends whose cost grows with the number of jobs that were cancelled together."""
    world = _Accounts()
    for number in range(2, 202):
        running = world.add(number)
        running.occurrences[0][0].tasks[0].runs[1] = object()
        running.state = running.visible_state = rows.JobState.CANCELLED
        world.subject.end(running)
    row = world.add()
    row.state = row.visible_state = rows.JobState.COMPLETED
    assert cost.lines(lambda: world.subject.end(row)) < 1_000
    assert not row.occurrences
