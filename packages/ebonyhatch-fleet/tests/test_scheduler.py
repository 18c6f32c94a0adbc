from __future__ import annotations

import pytest
from ebonyhatch.fleet import interference, jobs, queues, rows, scheduler, targets

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", priority=1, max_attempts=3)
JOB_ID = "0" * 15 + "1"


def _make_usable(row: rows.TargetRow) -> None:
    row.confirmed = row.announced = True


def _scheduler(*, target_count: int = 1, cpu_millis: int = 4000) -> scheduler.Scheduler:
    subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
    subject.reconciled = subject.may_place = True
    for number in range(target_count):
        target = targets.Target(
            target_id=f"t{number}",
            address=f"t{number}:1",
            pool="p",
            failure_domain="a",
            born=1,
            cpu_millis=cpu_millis,
            memory_mb=1000,
        )
        _make_usable(subject.set_target(target, now=0.0))
    return subject


def _add(subject: scheduler.Scheduler, *steps: jobs.Step, job_id: str = JOB_ID) -> rows.JobRow:
    job = jobs.Job(job_id=job_id, queue="q", spec="", steps=steps)
    row = rows.JobRow(job=job, queue=QUEUE)
    subject.add_job(row, now=0.0, wall=0.0)
    return row


def _report(*, clock_s: float = 1.0, ended=(), running=()) -> targets.StatusReport:
    return targets.StatusReport(clock_s=clock_s, born=1, ended=ended, running=running)


def _done(number: int, task: str, run: int = 1) -> targets.Ended:
    return targets.Ended(
        number=number, key=targets.RunKey(task=task, run=run), kind=targets.EndKind.DONE
    )


def test_an_end_of_a_job_that_was_cancelled_before_it_was_placed_changes_nothing():
    subject = _scheduler()
    row = _add(subject, jobs.Step(count=2, cpu_millis=1000))
    subject.cancel(JOB_ID, now=0.0)
    target = subject.tables.targets["t0"]
    subject.apply_report(target, _report(ended=(_done(1, f"{JOB_ID}.0.0.0"),)), now=1.0)
    assert row.state == rows.JobState.CANCELLED
    assert subject.tick(now=1.0, wall=1.0) == []


@pytest.mark.parametrize("count", [1, 3])
def test_an_end_that_a_former_owner_did_not_apply_counts(count):
    subject = _scheduler()
    row = _add(subject, jobs.Step(count=count, cpu_millis=1000))
    target = subject.tables.targets["t0"]
    ends = tuple(_done(n + 1, f"{JOB_ID}.0.0.{n}") for n in range(count))
    subject.apply_report(target, _report(ended=ends), now=1.0)
    assert row.state == rows.JobState.COMPLETED
    assert subject.tick(now=1.0, wall=1.0) == []


def test_end_of_a_job_is_written_without_delay_and_the_end_of_one_of_its_tasks_is_not():
    subject = _scheduler()
    _add(subject, jobs.Step(count=2, cpu_millis=1000))
    target = subject.tables.targets["t0"]
    subject.apply_report(target, _report(ended=(_done(1, f"{JOB_ID}.0.0.0"),)), now=1.0)
    assert subject.has_changes() and not subject.has_urgent_changes()
    subject.apply_report(target, _report(ended=(_done(2, f"{JOB_ID}.0.0.1"),)), now=1.1)
    assert subject.has_urgent_changes()
    subject.drain_changed_jobs()
    assert not subject.has_urgent_changes()


def test_a_run_of_a_former_owner_is_adopted_with_its_reservation():
    subject = _scheduler()
    _add(subject, jobs.Step(count=1, cpu_millis=3000))
    target = subject.tables.targets["t0"]
    key = targets.RunKey(task=f"{JOB_ID}.0.0.0", run=1001)
    subject.apply_report(target, _report(running=(targets.Running(key=key),)), now=1.0)
    assert subject.tick(now=1.0, wall=1.0) == []
    assert target.free_cpu == 1000
    assert key in target.runs


def test_a_run_that_is_not_needed_is_stopped():
    subject = _scheduler()
    key = targets.RunKey(task=f"{JOB_ID}.0.0.0", run=1)
    subject.apply_report(
        subject.tables.targets["t0"], _report(running=(targets.Running(key=key),)), now=1.0
    )
    (command,) = subject.tick(now=1.0, wall=1.0)
    assert command.key == key and command.reason == "not-wanted"


def test_a_run_of_a_cancelled_job_that_a_new_owner_stops_holds_its_capacity_until_it_ends():
    """Guards against starts over the capacity of targets that don't check it themselves."""
    subject = _scheduler()
    _add(subject, jobs.Step(count=1, cpu_millis=4000))
    subject.cancel(JOB_ID, now=0.0)
    _add(subject, jobs.Step(count=1, cpu_millis=1000), job_id="0" * 15 + "2")
    target = subject.tables.targets["t0"]
    key = targets.RunKey(task=f"{JOB_ID}.0.0.0", run=1)
    subject.apply_report(target, _report(running=(targets.Running(key=key),)), now=1.0)
    (stopped,) = subject.tick(now=1.0, wall=1.0)
    assert stopped.key == key
    ended = targets.Ended(number=1, key=key, kind=targets.EndKind.STOPPED)
    subject.apply_report(target, _report(clock_s=2.0, ended=(ended,)), now=2.0)
    (started,) = subject.tick(now=2.0, wall=2.0)
    assert started.run.task.name == f"{'0' * 15}2.0.0.0"


def test_lease_of_a_run_that_no_report_listed_counts_from_its_order():
    """Guards against a second run beside that of a target that restarted unseen and was cut off."""
    subject = _scheduler(target_count=2)
    _add(subject, jobs.Step(count=1, cpu_millis=1000))
    (started,) = subject.tick(now=5.0, wall=5.0)
    lost = started.run.target
    subject.reconciler.start_confirmed(started.run, clock_s=1.0, now=5.1)
    started.run.answered_at = 5.1
    subject.mark_runs_lost(lost, why="lease-lapsed", now=10.0, lease_s=6.0)
    lost.confirmed = False
    assert subject.tick(now=10.0, wall=10.0) == []
    subject.mark_runs_lost(lost, why="lease-lapsed", now=11.2, lease_s=6.0)
    (again,) = subject.tick(now=11.2, wall=11.2)
    assert again.run.task is started.run.task and again.run.target is not lost


def test_restarts_of_a_target_that_never_showed_a_run_count_as_one_crash_of_its_task():
    """Guards against jobs that fail for crashes of a target that didn't run their tasks."""
    subject = _scheduler()
    _add(subject, jobs.Step(count=1, cpu_millis=1000))
    (started,) = subject.tick(now=0.0, wall=0.0)
    subject.reconciler.start_confirmed(started.run, clock_s=1.0, now=0.1)
    for now in (0.2, 0.3, 0.4):
        subject.mark_runs_lost(started.run.target, why="new-life", now=now)
    assert started.run.task.crashes == 1


@pytest.mark.parametrize("term", [1, 3])
def test_run_times_are_learned_in_each_term(term):
    """Guards against later owners that keep the estimates of callers, as they number runs higher."""
    subject = _scheduler()
    subject.begin_term(term)
    for number in range(2, 12):
        job_id = f"{number:016x}"
        _add(subject, jobs.Step(count=1, cpu_millis=1000, estimate_s=1.0), job_id=job_id)
        now = 10.0 * number
        (started,) = subject.tick(now=now, wall=now)
        subject.reconciler.start_confirmed(started.run, clock_s=now, now=now)
        end = _done(number, started.run.key.task, run=started.run.key.run)
        subject.apply_report(started.run.target, _report(clock_s=now, ended=(end,)), now=now + 4.0)
    row = _add(subject, jobs.Step(count=1, cpu_millis=1000, estimate_s=1.0))
    assert row.occurrences[0][0].expected_s > 2.0


def test_capacity_is_never_exceeded():
    subject = _scheduler(target_count=2, cpu_millis=2500)
    _add(subject, jobs.Step(count=9, cpu_millis=1000))
    assert len(subject.tick(now=0.0, wall=0.0)) == 4
    assert all(row.free_cpu >= 0 for row in subject.tables.targets.values())


def test_a_failed_end_counts_once_however_often_it_is_listed():
    subject = _scheduler(target_count=3)
    row = _add(subject, jobs.Step(count=1, cpu_millis=1000))
    (command,) = subject.tick(now=0.0, wall=0.0)
    ended = targets.Ended(number=1, key=command.run.key, kind=targets.EndKind.FAILED)
    for _ in range(3):
        subject.apply_report(command.run.target, _report(ended=(ended,)), now=0.1)
    assert row.occurrences[0][0].tasks[0].failed_runs == {1}
    assert row.state != rows.JobState.FAILED


def test_run_numbers_of_a_later_term_are_above_those_of_an_earlier_one():
    subject = _scheduler()
    subject.begin_term(3)
    _add(subject, jobs.Step(count=1, cpu_millis=1000))
    (command,) = subject.tick(now=0.0, wall=0.0)
    assert command.run.key.run == 2 * scheduler.RUN_NUMBERS_PER_TERM + 1


def test_a_gang_is_placed_whole_or_not_at_all():
    subject = _scheduler(target_count=2, cpu_millis=2000)
    _add(subject, jobs.Step(count=5, cpu_millis=1000, gang=True))
    assert subject.tick(now=0.0, wall=0.0) == []
    joined = subject.set_target(
        targets.Target(
            target_id="t9",
            address="t9:1",
            pool="p",
            failure_domain="a",
            born=1,
            cpu_millis=2000,
            memory_mb=1000,
        ),
        now=0.0,
    )
    _make_usable(joined)
    assert len(subject.tick(now=0.1, wall=0.1)) == 5


def test_timed_occurrences_start_at_their_time():
    subject = _scheduler()
    job = jobs.Job(
        job_id=JOB_ID,
        queue="q",
        spec="",
        steps=(jobs.Step(count=1, cpu_millis=1000),),
        occurrences=2,
        first_at=5.0,
        interval_s=3.0,
    )
    subject.add_job(rows.JobRow(job=job, queue=QUEUE), now=0.0, wall=0.0)
    assert subject.tick(now=4.9, wall=4.9) == []
    assert subject.next_wake_s(now=4.9, wall=4.9) == pytest.approx(0.1)
    assert len(subject.tick(now=5.0, wall=5.0)) == 1
    assert [command.run.task.name for command in subject.tick(now=8.0, wall=8.0)] == [
        f"{JOB_ID}.1.0.0"
    ]


def _long_running(count: int) -> jobs.Step:
    return jobs.Step(count=count, cpu_millis=1000, long_running=True, disruption_budget=1)


def test_long_running_tasks_leave_capacity_for_short_work():
    subject = _scheduler(target_count=4, cpu_millis=5000)
    _add(subject, _long_running(20))
    assert len(subject.tick(now=0.0, wall=0.0)) == 15
    assert sorted(row.free_cpu for row in subject.tables.targets.values()) == [0, 0, 0, 5000]
    _add(subject, jobs.Step(count=1, cpu_millis=5000), job_id="0" * 15 + "2")
    assert len(subject.tick(now=0.1, wall=0.1)) == 1


def test_a_long_running_task_that_ended_is_restarted_despite_the_reserve():
    subject = _scheduler(target_count=4, cpu_millis=5000)
    _add(subject, _long_running(15))
    started = subject.tick(now=0.0, wall=0.0)
    _add(subject, jobs.Step(count=2, cpu_millis=1000), job_id="0" * 15 + "2")
    subject.tick(now=0.1, wall=0.1)
    lost = started[0].run
    subject.mark_runs_lost(lost.target, why="lease-lapsed", now=0.2)
    lost.target.confirmed = True
    names = {command.run.task.name for command in subject.tick(now=0.3, wall=0.3)}
    assert lost.task.name in names


def test_the_largest_of_long_running_jobs_that_arrive_together_is_placed():
    """Small jobs would fragment the capacity, and the largest would wait until they end."""
    subject = _scheduler(target_count=2, cpu_millis=8_000)
    for number in range(4):
        small = jobs.Step(count=2, cpu_millis=1_500, long_running=True)
        _add(subject, small, job_id=f"{number:016x}")
    large = jobs.Step(count=2, cpu_millis=4_000, long_running=True)
    wide = _add(subject, large, job_id="f" * 16)
    subject.tick(now=0.0, wall=0.0)
    assert [task.state for task in wide.occurrences[0][0].tasks] == [rows.TaskState.PLACED] * 2


@pytest.mark.parametrize("waiting", [5, 60])
def test_tick_estimates_interference_no_more_often_with_more_waiting_fillers(waiting, monkeypatch):
    target_count = 12
    subject = _scheduler(target_count=target_count, cpu_millis=16_000)
    serving = jobs.Step(
        count=target_count, cpu_millis=2000, long_running=True, tail_limit_s=0.2, image="s"
    )
    _add(subject, serving)
    subject.tick(now=1.0, wall=1.0)
    subject.order_limit = 1
    for number in range(waiting):
        filler = jobs.Step(count=1, cpu_millis=1000 + number, filler=True, image="f", estimate_s=9)
        _add(subject, filler, job_id=f"{number + 2:016x}")
    estimated = []
    estimate = interference.InterferenceModel.interference

    def count(model, **pair):
        estimated.append(pair)
        return estimate(model, **pair)

    monkeypatch.setattr(interference.InterferenceModel, "interference", count)
    for number in range(40):
        estimated.clear()
        subject.order_limit = 8
        subject.tick(now=1.1 + number / 10, wall=1.1 + number / 10)
        assert len(estimated) <= 3 * target_count + 3 * 8
