"""Runs on a target that is about to leave are stopped if they fit on other targets."""

from __future__ import annotations

import msgspec
import pytest
from ebonyhatch.fleet import commands, jobs, queues, rows, scheduler, targets
from ebonyhatch.fleet.evacuation import leaving

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", priority=1, max_attempts=3)
JOB_ID = "0" * 15 + "1"
LONG_RUNNING = jobs.Step(count=2, cpu_millis=2_000, long_running=True)
SHORT = jobs.Step(count=2, cpu_millis=2_000, estimate_s=1.0)


class EvacuationCase:
    """A scheduler with targets, of which `t0` runs the tasks of one job."""

    def __init__(self, step: jobs.Step, *, others: int, cpu_millis: int = 4_000) -> None:
        self.scheduler = scheduler.Scheduler(decide=lambda *args, **fields: None)
        self.scheduler.reconciled = self.scheduler.may_place = True
        self.cpu_millis = cpu_millis
        # Reserved for short work, and too small for a task of these tests.
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
        ordered = self.scheduler.tick(now=now, wall=now)
        return [command for command in ordered if isinstance(command, commands.StopRun)]


def test_long_running_tasks_are_stopped_once_their_target_drains():
    case = EvacuationCase(LONG_RUNNING, others=1)
    assert case.stops(now=1.0) == []
    case.drain(now=1.0)
    assert [stop.reason for stop in case.stops(now=1.0)] == [leaving.REASON] * 2
    assert case.stops(now=1.1) == [], "each run is stopped once"


@pytest.mark.parametrize(("others", "cpu_millis", "stopped"), [(0, 0, 0), (1, 2_000, 1)])
def test_no_more_runs_are_stopped_than_fit_on_other_targets(others, cpu_millis, stopped):
    case = EvacuationCase(LONG_RUNNING, others=others, cpu_millis=cpu_millis)
    case.drain(now=1.0)
    assert len(case.stops(now=1.0)) == stopped
    assert case.stops(now=1.2) == [], "planned moves count as used capacity"


def test_long_running_tasks_do_not_move_to_targets_reserved_for_short_work():
    case = EvacuationCase(LONG_RUNNING, others=0)
    case.add("spare", cpu_millis=4_000)
    case.scheduler.tick(now=0.5, wall=0.5)
    case.scheduler.set_target(
        msgspec.structs.replace(case.scheduler.tables.targets["a"].target, draining=True),
        now=0.6,
    )
    case.scheduler.tick(now=0.7, wall=0.7)
    case.drain(now=1.0)
    assert case.stops(now=1.0) == [], "the spare target is the reserved one"


@pytest.mark.parametrize(("percent", "stopped"), [(20.0, 2), (60.0, 0)])
def test_a_short_task_stays_where_it_ends_in_time(percent, stopped):
    case = EvacuationCase(SHORT, others=1)
    for run in case.row.runs.values():
        run.percent, run.progressed_at = percent, 2.0
    case.drain(now=2.0)
    assert len(case.stops(now=2.0)) == stopped


def test_it_is_too_late_to_stop_a_short_task_when_its_target_leaves():
    case = EvacuationCase(SHORT, others=1)
    for run in case.row.runs.values():
        run.percent, run.progressed_at = 20.0, 2.0
    case.drain(now=1.0, stays_s=1.2)
    assert case.stops(now=2.0) == []


def test_a_stopped_task_resumes_on_another_target_from_its_checkpoint():
    case = EvacuationCase(LONG_RUNNING, others=1)
    case.drain(now=1.0)
    ended = tuple(
        targets.Ended(
            number=number, key=stop.key, kind=targets.EndKind.STOPPED, checkpoint=f"c{number}"
        )
        for number, stop in enumerate(case.stops(now=1.0), start=1)
    )
    report = targets.StatusReport(clock_s=2.0, born=1, running=(), ended=ended)
    case.scheduler.apply_report(case.row, report, now=1.3)
    starts = case.scheduler.tick(now=1.3, wall=1.3)
    assert [start.run.target.target_id for start in starts] == ["o0", "o0"]
    assert {start.run.task.checkpoint for start in starts} == {"c1", "c2"}
