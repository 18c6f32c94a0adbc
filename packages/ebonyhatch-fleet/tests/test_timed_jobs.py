from __future__ import annotations

import cost
import pytest
from ebonyhatch.fleet import graph, jobs, queues, rows, scheduler, targets, timed_jobs

QUEUE = queues.Queue(name="q", host="", prefix="", pool="p")


def _row(number: int = 1, *, first_at: float = 10.0, occurrences: int = 3) -> rows.JobRow:
    job = jobs.Job(
        job_id=f"{number:016x}",
        queue="q",
        spec="",
        steps=(jobs.Step(count=1),),
        occurrences=occurrences,
        first_at=first_at,
        interval_s=1.0,
    )
    return rows.JobRow(job=job, queue=QUEUE)


def _scheduler() -> scheduler.Scheduler:
    return scheduler.Scheduler(decide=lambda *args, **fields: None)


def test_jobs_come_when_they_are_due_and_once():
    subject = timed_jobs.TimedJobs()
    late, early = _row(1, first_at=20.0), _row(2, first_at=10.0)
    for row in (late, early, early):
        subject.schedule(row)
    assert subject.next_due_at() == 10.0
    assert subject.pop_due(wall=9.0) == []
    assert subject.pop_due(wall=25.0) == [early, late]
    assert subject.pop_due(wall=25.0) == [] and subject.next_due_at() is None


def test_job_that_ended_or_was_removed_does_not_come():
    subject = timed_jobs.TimedJobs()
    ended, removed = _row(1), _row(2)
    for row in (ended, removed):
        subject.schedule(row)
    ended.state = rows.JobState.CANCELLED
    subject.discard(removed.job.job_id)
    assert subject.next_due_at() is None and subject.pop_due(wall=99.0) == []


@pytest.mark.parametrize("count", [2_000])
def test_jobs_that_are_not_due_cost_a_tick_nothing(count):
    """Guards against ticks that look at each timed job, however far away its next occurrence is."""

    def tick_cost(number: int) -> int:
        subject = _scheduler()
        for one in range(number):
            subject.add_job(_row(one, first_at=1e6), now=1.0, wall=1.0)

        def tick() -> None:
            subject.tick(now=2.0, wall=2.0)
            assert subject.next_wake_s(now=2.0, wall=2.0) > 1_000.0

        return cost.lines(tick)

    assert tick_cost(count) < tick_cost(1) + 100


def test_job_with_as_many_open_occurrences_as_may_be_causes_no_ticks():
    """Guards against an owner that ticks without pause as the next occurrence is overdue."""
    subject = _scheduler()
    row = _row(occurrences=1_000, first_at=1.0)
    subject.add_job(row, now=1.0, wall=1_000.0)
    assert len(row.occurrences) == graph.MAX_OPEN_OCCURRENCES
    assert subject.next_wake_s(now=1.0, wall=1_000.0) is None


def test_next_occurrence_is_released_when_another_is_done():
    subject = _scheduler()
    subject.reconciled = subject.may_place = True
    target = targets.Target(
        target_id="t", address="t:1", pool="p", failure_domain="a", born=1, cpu_millis=1_000
    )
    target_row = subject.set_target(target, now=1.0)
    target_row.confirmed = target_row.announced = True
    row = _row(occurrences=100, first_at=1.0)
    subject.add_job(row, now=1.0, wall=1_000.0)
    now, number = 1.0, 0
    while not row.ended:
        now += 1.0
        subject.tick(now=now, wall=1_000.0 + now)
        ends = []
        for key in target_row.runs:
            number += 1
            ends.append(targets.Ended(number=number, key=key, kind=targets.EndKind.DONE))
        report = targets.StatusReport(clock_s=now, born=1, ended=tuple(ends), running=())
        subject.apply_report(target_row, report, now=now)
        assert len(row.occurrences) <= graph.MAX_OPEN_OCCURRENCES and now < 200.0
    assert number == 100
