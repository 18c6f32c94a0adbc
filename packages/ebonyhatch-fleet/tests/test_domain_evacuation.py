"""Targets of evacuated failure domains get no runs, and starts in flight there are stopped."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from ebonyhatch.fleet import commands, jobs, queues, rows, scheduler, targets
from ebonyhatch.fleet.evacuation import domain_evacuation, domains

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", priority=1, max_attempts=3)
SHORT = jobs.Step(count=2, cpu_millis=1_000, estimate_s=1.0)
GANG = jobs.Step(count=2, cpu_millis=3_000, estimate_s=5.0, gang=True)


class DomainCase:
    """A scheduler whose targets are spread over failure domains; a name begins with its domain."""

    def __init__(self, *names: str) -> None:
        self.domains = domains.Domains()
        self.events: list[dict[str, Any]] = []
        self.scheduler = scheduler.Scheduler(decide=self._decide, requests=self.domains)
        self.scheduler.reconciled = self.scheduler.may_place = True
        self.rows = {name: self.add(name) for name in names}
        self._revision = 0
        self._jobs = 0
        self._clock_s = 1.0

    def _decide(self, event: str, run: rows.RunRow | None, **fields: Any) -> None:
        self.events.append({"event": event, **fields})

    def logged(self, event: str) -> list[dict[str, Any]]:
        return [one for one in self.events if one["event"] == event]

    def add(self, name: str, *, cpu_millis: int = 4_000) -> rows.TargetRow:
        target = targets.Target(
            target_id=name,
            address=f"{name}:1",
            pool="p",
            failure_domain=name[0],
            born=1,
            cpu_millis=cpu_millis,
            memory_mb=1_000,
        )
        row = self.scheduler.set_target(target, now=0.0)
        row.confirmed = row.announced = True
        return row

    def submit(self, *steps: jobs.Step) -> rows.JobRow:
        self._jobs += 1
        job = jobs.Job(job_id=f"{self._jobs:016x}", queue="q", spec="", steps=steps)
        row = rows.JobRow(job=job, queue=QUEUE)
        self.scheduler.add_job(row, now=0.0, wall=0.0)
        return row

    def request(self, domain: str, *, now: float = 0.0) -> None:
        self._revision += 1
        self.domains.request(domain, revision=self._revision)
        self.apply(now=now)

    def end(self, domain: str, *, now: float = 0.0) -> None:
        self._revision += 1
        self.domains.end(domain, revision=self._revision)
        self.apply(now=now)

    def apply(self, *, now: float = 0.0) -> None:
        self.scheduler.evacuation.apply(now=now)
        self.scheduler.evacuation.log_unknown()

    def tick(self, now: float = 0.0) -> list[commands.Command]:
        return self.scheduler.tick(now=now, wall=now)

    def confirm(self, ordered: list[commands.Command], *, now: float = 0.0) -> None:
        for command in ordered:
            if isinstance(command, commands.StartRun):
                self.scheduler.reconciler.start_confirmed(command.run, clock_s=0.1, now=now)

    def report(
        self,
        name: str,
        *,
        now: float,
        running: tuple[targets.Running, ...] = (),
        ended: tuple[targets.Ended, ...] = (),
    ) -> None:
        self._clock_s += 1.0
        report = targets.StatusReport(clock_s=self._clock_s, born=1, running=running, ended=ended)
        self.scheduler.apply_report(self.scheduler.tables.targets[name], report, now=now)


def _starts(ordered: list[commands.Command]) -> list[str]:
    return sorted(c.run.target.target_id for c in ordered if isinstance(c, commands.StartRun))


def _stops(ordered: list[commands.Command]) -> list[str]:
    return sorted(c.target.target_id for c in ordered if isinstance(c, commands.StopRun))


def _filler(count: int) -> jobs.Step:
    return jobs.Step(count=count, cpu_millis=1_000, estimate_s=1.0, filler=True, image="f")


@pytest.mark.parametrize(
    "step",
    [
        SHORT,
        jobs.Step(count=2, cpu_millis=1_000, long_running=True),
        jobs.Step(count=2, cpu_millis=1_000, max_per_target=1, estimate_s=1.0),
        jobs.Step(count=2, cpu_millis=1_000, estimate_s=1.0, gang=True),
        _filler(2),
    ],
    ids=["short", "long-running", "limited", "gang", "filler"],
)
def test_no_kind_of_step_is_placed_in_an_evacuated_domain(step):
    """Guards against a way of placement that doesn't check the domain."""
    case = DomainCase("a0", "a1")
    case.request("a")
    case.submit(step)
    assert case.tick() == []
    case.end("a")
    assert len(_starts(case.tick(0.1))) == 2


def test_tasks_go_to_the_other_domains():
    case = DomainCase("a0", "b0", "c0")
    case.request("a")
    case.request("c")
    case.submit(SHORT)
    assert _starts(case.tick()) == ["b0", "b0"]


def test_request_for_a_domain_whose_targets_appear_later_takes_effect_then():
    case = DomainCase("b0")
    case.request("a")
    assert case.logged("evacuation.requested") == []
    row = case.add("a0")
    case.apply()
    assert row.evacuated
    case.submit(jobs.Step(count=8, cpu_millis=1_000, estimate_s=1.0))
    assert set(_starts(case.tick())) == {"b0"}
    (line,) = case.logged("evacuation.requested")
    assert (line["domain"], line["targets"]) == ("a", 1)


def test_target_that_moves_to_another_domain_is_judged_by_its_new_one():
    case = DomainCase("a0", "b0")
    case.request("a")
    moved = msgspec.structs.replace(case.rows["a0"].target, failure_domain="b")
    case.scheduler.set_target(moved, now=0.0)
    assert not case.rows["a0"].evacuated


@pytest.mark.parametrize("uncertain", [False, True])
def test_starts_in_flight_are_stopped_at_once(uncertain):
    """Guards against a start that is carried out in the domain long after the request."""
    case = DomainCase("a0")
    job = case.submit(SHORT)
    ordered = case.tick()
    if uncertain:
        for command in ordered:
            case.scheduler.reconciler.start_uncertain(command.run, reason="lost", now=0.1)
    case.request("a", now=0.2)
    stopped = case.tick(0.2)
    assert [stop.reason for stop in stopped] == [domain_evacuation.REASON] * 2
    assert {stop.key for stop in stopped} == {start.run.key for start in ordered}
    case.add("b0")
    for command in ordered:
        command.run.order_deadline_s = 0.5
    case.report("a0", now=0.9)
    assert _starts(case.tick(0.9)) == ["b0", "b0"], "the target refuses them from then on"
    assert not job.ended


def test_runs_that_are_running_are_not_stopped_with_those_in_flight():
    case = DomainCase("a0")
    case.submit(SHORT)
    case.confirm(case.tick())
    case.request("a", now=0.2)
    assert _stops(case.tick(0.2)) == []


def test_starts_in_flight_elsewhere_go_on():
    case = DomainCase("b0")
    case.submit(SHORT)
    case.tick()
    case.add("a0")
    case.request("a", now=0.2)
    assert _stops(case.tick(0.2)) == []


def test_gang_with_a_start_in_flight_in_the_domain_is_stopped_whole():
    """Guards against members elsewhere that hold capacity and wait for one that never starts."""
    case = DomainCase("a0", "b0")
    case.submit(GANG)
    ordered = case.tick()
    assert _starts(ordered) == ["a0", "b0"]
    case.request("a", now=0.2)
    assert _stops(case.tick(0.2)) == ["a0", "b0"]


def test_start_that_is_carried_out_after_it_was_given_up_is_stopped():
    """Guards against the adoption of a run that begins in the domain seconds after the request."""
    case = DomainCase("a0")
    case.report("a0", now=0.0)
    case.submit(jobs.Step(count=1, cpu_millis=1_000, estimate_s=1.0))
    (start,) = case.tick()
    case.scheduler.reconciler.start_uncertain(start.run, reason="lost", now=0.1)
    case.request("a", now=0.2)
    case.tick(0.2)
    case.report("a0", now=0.9)
    assert case.tick(0.9) == []
    case.report("a0", now=8.0, running=(targets.Running(key=start.run.key),))
    assert _stops(case.tick(8.0)) == ["a0"]


def test_run_of_a_former_owner_is_adopted_in_an_evacuated_domain():
    case = DomainCase("a0")
    case.request("a")
    case.submit(jobs.Step(count=1, cpu_millis=1_000, estimate_s=1.0))
    key = targets.RunKey(task=f"{1:016x}.0.0.0", run=1)
    case.report("a0", now=0.1, running=(targets.Running(key=key),))
    assert case.tick(0.1) == []
    assert key in case.rows["a0"].runs


def test_requests_that_are_in_force_when_a_term_begins_apply_to_the_first_targets():
    case = DomainCase()
    case.domains.request("a", revision=1)
    case.add("a0")
    case.submit(SHORT)
    assert case.tick() == []


def test_unknown_domain_is_logged_once_and_evacuates_nothing():
    case = DomainCase("a0")
    for _ in range(3):
        case.request("nowhere")
    case.request("nowhere-else")
    assert [line["domain"] for line in case.logged("evacuation.unreadable")] == [
        "nowhere",
        "nowhere-else",
    ]
    assert case.scheduler.evacuation.domains == ()
    case.submit(SHORT)
    assert _starts(case.tick()) == ["a0", "a0"]


def test_unknown_domain_is_logged_again_after_its_request_ended():
    case = DomainCase("a0")
    case.request("nowhere")
    case.end("nowhere")
    case.request("nowhere")
    assert len(case.logged("evacuation.unreadable")) == 2


def test_domain_of_a_target_that_left_stays_known():
    case = DomainCase("a0", "b0")
    case.scheduler.remove_target(case.rows["a0"])
    case.request("a")
    assert case.logged("evacuation.unreadable") == []
    assert case.scheduler.evacuation.domains == ("a",)


def test_request_and_its_end_are_logged_with_what_they_concern():
    case = DomainCase("a0", "a1", "b0")
    case.submit(jobs.Step(count=9, cpu_millis=1_000, estimate_s=1.0))
    case.confirm(case.tick())
    case.request("a")
    case.apply()
    (line,) = case.logged("evacuation.requested")
    assert (line["domain"], line["revision"], line["targets"]) == ("a", 1, 2)
    assert line["runs"] == len(case.rows["a0"].runs) + len(case.rows["a1"].runs)
    assert case.scheduler.evacuation.gauges() == {
        "evacuated_domains": 1,
        "evacuated_runs": line["runs"],
    }
    case.end("a")
    (line,) = case.logged("evacuation.ended")
    assert line["domain"] == "a"
    assert case.scheduler.evacuation.gauges() == {"evacuated_domains": 0, "evacuated_runs": 0}


def test_evacuation_of_all_domains_is_logged_once_and_tasks_wait():
    case = DomainCase("a0", "b0")
    case.request("a")
    assert case.logged("evacuation.no_targets_left") == []
    case.request("b")
    case.apply()
    (line,) = case.logged("evacuation.no_targets_left")
    assert line["domains"] == ["a", "b"]
    case.submit(SHORT)
    assert case.tick() == []
    case.end("b")
    assert _starts(case.tick(0.1)) == ["b0", "b0"]
