from __future__ import annotations

import cost
from ebonyhatch.fleet import clocks, fleet_counts, jobs, queues, rows, tables
from twisted.internet import task

QUEUE = queues.Queue(name="q", host="", prefix="", pool="p")


def _counts(count: int) -> tuple[fleet_counts.FleetCounts, tables.Tables, task.Clock]:
    clock = task.Clock()
    all_tables = tables.Tables()
    for number in range(count):
        job = jobs.Job(
            job_id=f"{number:016x}", queue="ab"[number % 2], spec="", steps=(jobs.Step(count=1),)
        )
        all_tables.add_job(rows.JobRow(job=job, queue=QUEUE))
    subject = fleet_counts.FleetCounts(
        all_tables=all_tables, all_clocks=clocks.MemoryClocks(clock=clock)
    )
    return subject, all_tables, clock


def test_pending_jobs_are_those_that_have_neither_begun_nor_ended():
    subject, all_tables, clock = _counts(6)
    assert (subject.pending("a"), subject.pending("b"), subject.pending("c")) == (3, 3, 0)
    first, _, third, *_ = all_tables.jobs.values()
    first.begun, third.state = True, rows.JobState.CANCELLED
    clock.advance(fleet_counts.PENDING_VALID_S + 0.01)
    assert subject.pending("a") == 1


def test_calls_for_the_count_do_not_look_at_each_job_each_time():
    """Guards against short calls that hold the loop by the number of all jobs."""
    subject, _, _ = _counts(5_000)
    subject.pending("a")
    assert cost.lines(lambda: [subject.pending(name) for name in "abc" * 10]) < 500
