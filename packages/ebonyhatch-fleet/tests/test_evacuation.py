"""Work on a target that is about to leave is saved where it can go elsewhere."""

from __future__ import annotations

import msgspec
import pytest
from ebonyhatch.fleet import commands, evacuation, jobs, queues, rows, scheduler, targets

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", priority=1, max_attempts=3)
JOB_ID = "0" * 15 + "1"
LASTING = jobs.Step(count=2, cpu_millis=2_000, long_running=True)
SHORT = jobs.Step(count=2, cpu_millis=2_000, estimate_s=1.0)


class Setting:
    """Targets of which the first runs the tasks of one job."""

    def __init__(self, step: jobs.Step, *, others: int, cpu_millis: int = 4_000) -> None:
        self.scheduler = scheduler.Scheduler(decide=lambda *args, **fields: None)
        self.scheduler.reconciled = self.scheduler.may_place = True
        self.cpu_millis = cpu_millis
        # The room that is kept for short work, too small for a task of these.
        self.add("a", cpu_millis=1_500)
        self.row = self.add("t0", cpu_millis=4_000)
        job = jobs.Job(job_id=JOB_ID, queue="q", spec="", steps=(step,))
        self.job = rows.JobRow(job=job, queue=QUEUE)
        self.scheduler.add_job(self.job, now=0.0, wall=0.0)
        for command in self.scheduler.tick(now=0.0, wall=0.0):
            self.scheduler.reconciler.start_confirmed(command.run, clock_s=0.1, now=0.0)
        for number in range(others):
            self.add(f"o{number}", cpu_millis=cpu_millis)

    def add(self, name: str, *, cpu_millis: int) -> rows.TargetRow:
        target = targets.Target(
            target_id=name,
            address=f"{name}:1",
            pool="p",
            failure_domain="a",
            born=1,
            cpu_millis=cpu_millis,
            memory_mb=1_000,
        )
        row = self.scheduler.set_target(target, now=0.0)
        row.confirmed = row.announced = True
        return row

    def drain(self, *, now: float, stays_s: float = 3.0) -> None:
        leaving = msgspec.structs.replace(self.row.target, draining=True, stays_s=stays_s)
        self.scheduler.set_target(leaving, now=now)

    def stops(self, *, now: float) -> list[commands.StopRun]:
        given = self.scheduler.tick(now=now, wall=now)
        return [command for command in given if isinstance(command, commands.StopRun)]


def test_long_running_tasks_leave_with_the_first_notice():
    setting = Setting(LASTING, others=1)
    assert setting.stops(now=1.0) == []
    setting.drain(now=1.0)
    assert [stop.reason for stop in setting.stops(now=1.0)] == [evacuation.REASON] * 2
    assert setting.stops(now=1.1) == [], "each is stopped once"


@pytest.mark.parametrize(("others", "cpu_millis", "stopped"), [(0, 0, 0), (1, 2_000, 1)])
def test_no_more_is_stopped_than_has_room_elsewhere(others, cpu_millis, stopped):
    setting = Setting(LASTING, others=others, cpu_millis=cpu_millis)
    setting.drain(now=1.0)
    assert len(setting.stops(now=1.0)) == stopped
    assert setting.stops(now=1.2) == [], "what is under way counts as taken"


def test_long_running_tasks_do_not_leave_for_room_that_is_kept_for_short_work():
    setting = Setting(LASTING, others=0)
    setting.add("spare", cpu_millis=4_000)
    setting.scheduler.tick(now=0.5, wall=0.5)
    setting.scheduler.set_target(
        msgspec.structs.replace(setting.scheduler.tables.targets["a"].target, draining=True),
        now=0.6,
    )
    setting.scheduler.tick(now=0.7, wall=0.7)
    setting.drain(now=1.0)
    assert setting.stops(now=1.0) == [], "the spare target is what is kept"


@pytest.mark.parametrize(("percent", "stopped"), [(20.0, 2), (60.0, 0)])
def test_a_short_task_stays_where_it_ends_in_time(percent, stopped):
    setting = Setting(SHORT, others=1)
    for run in setting.row.runs.values():
        run.percent, run.progressed_at = percent, 2.0
    setting.drain(now=2.0)
    assert len(setting.stops(now=2.0)) == stopped


def test_it_is_too_late_to_stop_a_short_task_when_its_target_leaves():
    setting = Setting(SHORT, others=1)
    for run in setting.row.runs.values():
        run.percent, run.progressed_at = 20.0, 2.0
    setting.drain(now=1.0, stays_s=1.2)
    assert setting.stops(now=2.0) == []


def test_a_saved_task_goes_elsewhere_from_its_checkpoint():
    setting = Setting(LASTING, others=1)
    setting.drain(now=1.0)
    ended = tuple(
        targets.Ended(
            number=number, key=stop.key, kind=targets.EndKind.STOPPED, checkpoint=f"c{number}"
        )
        for number, stop in enumerate(setting.stops(now=1.0), start=1)
    )
    account = targets.Account(clock_s=2.0, born=1, running=(), ended=ended)
    setting.scheduler.apply_report(setting.row, account, now=1.3)
    starts = setting.scheduler.tick(now=1.3, wall=1.3)
    assert [start.run.target.target_id for start in starts] == ["o0", "o0"]
    assert {start.run.task.checkpoint for start in starts} == {"c1", "c2"}
