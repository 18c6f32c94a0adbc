"""Passes of placement that stop before they have tried every step."""

from __future__ import annotations

import cost
import pytest
from ebonyhatch.fleet import jobs, placement, queues, rows, scheduler, targets

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", slack_s=10.0)

UNFIT = {
    "gangs": lambda number: jobs.Step(count=2, cpu_millis=100, memory_mb=9_000, gang=True),
    "spread": lambda number: jobs.Step(count=1, cpu_millis=100, memory_mb=9_000, max_per_target=1),
    "of many sizes": lambda number: jobs.Step(
        count=1, cpu_millis=100 + number % 500, memory_mb=90_000 - number
    ),
}


def _scheduler(*, target_count: int = 24) -> scheduler.Scheduler:
    subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
    subject.reconciled = subject.may_place = True
    for number in range(target_count):
        target = targets.Target(
            target_id=f"t{number}",
            address=f"t{number}:1",
            pool="p",
            failure_domain="a",
            born=1,
            cpu_millis=8_000,
            memory_mb=4_000,
        )
        row = subject.set_target(target, now=1.0)
        row.confirmed = row.announced = True
    return subject


def _add(subject: scheduler.Scheduler, number: int, *steps: jobs.Step) -> rows.JobRow:
    job = jobs.Job(
        job_id=f"{number:016x}", queue="q", spec="", steps=steps, accepted_at=float(number)
    )
    row = rows.JobRow(job=job, queue=QUEUE)
    subject.add_job(row, now=1.0, wall=1.0)
    return row


@pytest.mark.parametrize("kind", UNFIT)
def test_cost_of_a_pass_is_bounded_by_the_targets_that_it_examines(kind, monkeypatch):
    """Guards against passes that hold the loop for seconds, so that the owner loses its lease."""
    monkeypatch.setattr(placement, "MAX_EXAMINED_PER_PASS", 1_000, raising=False)

    def pass_cost(size: int) -> int:
        subject = _scheduler()
        _add(subject, 1, *(UNFIT[kind](number) for number in range(size)))
        return cost.lines(lambda: subject.tick(now=2.0, wall=2.0)) / size

    assert pass_cost(800) < 0.6 * pass_cost(100)


@pytest.mark.parametrize("kind", UNFIT)
def test_pass_goes_on_with_the_steps_that_the_last_one_did_not_reach(kind, monkeypatch):
    """Guards against steps that wait without end behind others that fit nowhere."""
    monkeypatch.setattr(placement, "MAX_EXAMINED_PER_PASS", 200, raising=False)
    subject = _scheduler()
    _add(subject, 1, *(UNFIT[kind](number) for number in range(100)))
    later = _add(subject, 2, jobs.Step(count=1, cpu_millis=100))
    now = 2.0
    while not subject.tick(now=now, wall=now):
        assert subject.next_wake_s(now=now, wall=now) == 0.0
        now += 0.05
        assert now < 4.0
    assert later.occurrences[0][0].tasks[0].state is rows.TaskState.PLACED


def test_new_urgent_step_is_placed_by_the_next_pass(monkeypatch):
    monkeypatch.setattr(placement, "MAX_EXAMINED_PER_PASS", 200)
    subject = _scheduler()
    _add(subject, 2, *(UNFIT["gangs"](number) for number in range(100)))
    assert subject.tick(now=2.0, wall=2.0) == []
    _add(subject, 1, jobs.Step(count=1, cpu_millis=100))
    assert len(subject.tick(now=2.1, wall=2.1)) == 1


def test_steps_that_were_tried_are_tried_again_once_others_were_placed(monkeypatch):
    """Guards against steps that get no free capacity while there are orders for less urgent ones."""
    monkeypatch.setattr(placement, "MAX_EXAMINED_PER_PASS", 200)
    subject = _scheduler()
    gangs = _add(subject, 1, *(UNFIT["gangs"](number) for number in range(100)))
    _add(subject, 2, jobs.Step(count=1_000, cpu_millis=1))
    now = 2.0
    while not subject.tick(now=now, wall=now):
        now += 0.05
    large = targets.Target(
        target_id="large",
        address="large:1",
        pool="p",
        failure_domain="a",
        born=1,
        cpu_millis=8_000,
        memory_mb=200_000,
    )
    row = subject.set_target(large, now=now)
    row.confirmed = row.announced = True
    started = subject.tick(now=now + 0.05, wall=now + 0.05)
    assert [command.run.task.step.job for command in started[:10]] == [gangs] * 10


def test_gang_that_waits_for_a_target_gives_no_member_a_row_beyond_its_own_count():
    subject = _scheduler()
    row = _add(subject, 1, jobs.Step(count=jobs.GANG_LIMIT, memory_mb=1, gang=True))
    assert len(subject.tick(now=2.0, wall=2.0)) == jobs.GANG_LIMIT
    assert len(row.occurrences[0][0].tasks.known) == jobs.GANG_LIMIT


def test_new_tasks_that_no_target_may_take_get_no_rows(monkeypatch):
    """Guards against memory that grows with each pass over a step that can't be placed."""
    subject = _scheduler()
    row = _add(subject, 1, jobs.Step(count=5_000, cpu_millis=100, long_running=True))
    monkeypatch.setattr(subject._reserve, "allows", lambda *args: False)
    for number in range(20):
        assert subject.tick(now=2.0 + number, wall=2.0 + number) == []
    assert len(row.occurrences[0][0].tasks.known) <= 1


def test_job_has_a_limited_number_of_short_tasks_in_progress():
    """Guards against jobs of light tasks that can't be stopped in time when they are cancelled."""
    subject = _scheduler()
    large = _add(subject, 1, jobs.Step(count=5_000), jobs.Step(count=800, gang=True))
    other = _add(subject, 2, jobs.Step(count=10))
    now = 2.0
    for _ in range(100):
        now += 0.05
        subject.tick(now=now, wall=now)
    assert large.run_count == placement.MAX_RUNS_PER_JOB and other.run_count == 10
    first, *_ = [row for row in subject.tables.targets.values() if row.runs]
    key = next(iter(first.runs))
    ended = targets.Ended(number=1, key=key, kind=targets.EndKind.DONE)
    running = tuple(targets.Running(key=one) for one in first.runs if one != key)
    report = targets.StatusReport(clock_s=now, born=1, ended=(ended,), running=running)
    subject.apply_report(first, report, now=now)
    assert len(subject.tick(now=now + 0.05, wall=now + 0.05)) == 1


def test_long_running_tasks_of_a_job_all_run():
    subject = _scheduler(target_count=200)
    row = _add(subject, 1, jobs.Step(count=1_500, cpu_millis=1_000, long_running=True))
    now = 2.0
    for _ in range(50):
        now += 0.05
        subject.tick(now=now, wall=now)
    assert row.run_count > placement.MAX_RUNS_PER_JOB
