"""Targets of evacuated failure domains get no runs, and starts in flight there are stopped."""

from __future__ import annotations

import domain_case
import msgspec
import pytest
from ebonyhatch.fleet import jobs, reserve, targets
from ebonyhatch.fleet.evacuation import moves

SHORT = jobs.Step(count=2, cpu_millis=1_000, estimate_s=1.0)
GANG = jobs.Step(count=2, cpu_millis=3_000, estimate_s=5.0, gang=True)


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
    case = domain_case.DomainCase("a0", "a1")
    case.request("a")
    case.submit(step)
    assert case.tick() == []
    case.end("a")
    assert len(domain_case.starts(case.tick(0.1))) == 2


def test_tasks_go_to_the_other_domains():
    case = domain_case.DomainCase("a0", "b0", "c0")
    case.request("a")
    case.request("c")
    case.submit(SHORT)
    assert domain_case.starts(case.tick()) == ["b0", "b0"]


def test_request_for_a_domain_whose_targets_appear_later_takes_effect_then():
    case = domain_case.DomainCase("b0")
    case.request("a")
    assert case.logged("evacuation.requested") == []
    row = case.add("a0")
    case.apply()
    assert row.evacuated
    case.submit(jobs.Step(count=8, cpu_millis=1_000, estimate_s=1.0))
    assert set(domain_case.starts(case.tick())) == {"b0"}
    (line,) = case.logged("evacuation.requested")
    assert (line["domain"], line["targets"]) == ("a", 1)


def test_target_that_moves_to_another_domain_is_judged_by_its_new_one():
    case = domain_case.DomainCase("a0", "b0")
    case.request("a")
    moved = msgspec.structs.replace(case.rows["a0"].target, failure_domain="b")
    case.scheduler.set_target(moved, now=0.0)
    assert not case.rows["a0"].evacuated


@pytest.mark.parametrize("uncertain", [False, True])
def test_starts_in_flight_are_stopped_at_once(uncertain):
    """Guards against a start that is carried out in the domain long after the request."""
    case = domain_case.DomainCase("a0")
    job = case.submit(SHORT)
    ordered = case.tick()
    if uncertain:
        for command in ordered:
            case.scheduler.reconciler.start_uncertain(command.run, reason="lost", now=0.1)
    case.request("a", now=0.2)
    stopped = case.tick(0.2)
    assert [stop.reason for stop in stopped] == [moves.REASON] * 2
    assert {stop.key for stop in stopped} == {start.run.key for start in ordered}
    case.add("b0")
    for command in ordered:
        command.run.order_deadline_s = 0.5
    case.report("a0", now=0.9)
    assert domain_case.starts(case.tick(0.9)) == [
        "b0",
        "b0",
    ], "the target refuses them from then on"
    assert not job.ended


def test_runs_that_are_running_are_not_stopped_with_those_in_flight():
    case = domain_case.DomainCase("a0")
    case.submit(SHORT)
    case.confirm(case.tick())
    case.request("a", now=0.2)
    assert domain_case.stops(case.tick(0.2)) == []


def test_starts_in_flight_elsewhere_go_on():
    case = domain_case.DomainCase("b0")
    case.submit(SHORT)
    case.tick()
    case.add("a0")
    case.request("a", now=0.2)
    assert domain_case.stops(case.tick(0.2)) == []


def test_gang_with_a_start_in_flight_in_the_domain_is_stopped_whole():
    """Guards against members elsewhere that hold capacity and wait for one that never starts."""
    case = domain_case.DomainCase("a0", "b0")
    case.submit(GANG)
    ordered = case.tick()
    assert domain_case.starts(ordered) == ["a0", "b0"]
    case.request("a", now=0.2)
    assert domain_case.stops(case.tick(0.2)) == ["a0", "b0"]


def test_start_that_is_carried_out_after_it_was_given_up_is_stopped():
    """Guards against the adoption of a run that begins in the domain seconds after the request."""
    case = domain_case.DomainCase("a0")
    case.report("a0", now=0.0)
    case.submit(jobs.Step(count=1, cpu_millis=1_000, estimate_s=1.0))
    (start,) = case.tick()
    case.scheduler.reconciler.start_uncertain(start.run, reason="lost", now=0.1)
    case.request("a", now=0.2)
    case.tick(0.2)
    case.report("a0", now=0.9)
    assert case.tick(0.9) == []
    case.report("a0", now=8.0, running=(targets.Running(key=start.run.key),))
    assert domain_case.stops(case.tick(8.0)) == ["a0"]


def test_run_of_a_former_owner_is_adopted_in_an_evacuated_domain():
    case = domain_case.DomainCase("a0")
    case.request("a")
    case.submit(jobs.Step(count=1, cpu_millis=1_000, estimate_s=1.0))
    key = targets.RunKey(task=f"{1:016x}.0.0.0", run=1)
    case.report("a0", now=0.1, running=(targets.Running(key=key),))
    assert case.tick(0.1) == []
    assert key in case.rows["a0"].runs


def test_requests_that_are_in_force_when_a_term_begins_apply_to_the_first_targets():
    case = domain_case.DomainCase()
    case.domains.request("a", revision=1)
    case.add("a0")
    case.submit(SHORT)
    assert case.tick() == []


def test_unknown_domain_is_logged_once_and_evacuates_nothing():
    case = domain_case.DomainCase("a0")
    for _ in range(3):
        case.request("nowhere")
    case.request("nowhere-else")
    assert [line["domain"] for line in case.logged("evacuation.unreadable")] == [
        "nowhere",
        "nowhere-else",
    ]
    assert case.scheduler.evacuation.domains == ()
    case.submit(SHORT)
    assert domain_case.starts(case.tick()) == ["a0", "a0"]


def test_unknown_domain_is_logged_again_after_its_request_ended():
    case = domain_case.DomainCase("a0")
    case.request("nowhere")
    case.end("nowhere")
    case.request("nowhere")
    assert len(case.logged("evacuation.unreadable")) == 2


def test_domain_of_a_target_that_left_stays_known():
    case = domain_case.DomainCase("a0", "b0")
    case.scheduler.remove_target(case.rows["a0"])
    case.request("a")
    assert case.logged("evacuation.unreadable") == []
    assert case.scheduler.evacuation.domains == ("a",)


def test_request_and_its_end_are_logged_with_what_they_concern():
    case = domain_case.DomainCase("a0", "a1", "b0")
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
    case = domain_case.DomainCase("a0", "b0")
    case.request("a")
    assert case.logged("evacuation.no_targets_left") == []
    case.request("b")
    case.apply()
    (line,) = case.logged("evacuation.no_targets_left")
    assert line["domains"] == ["a", "b"]
    case.submit(SHORT)
    assert case.tick() == []
    case.end("b")
    assert domain_case.starts(case.tick(0.1)) == ["b0", "b0"]


def test_capacity_for_short_work_is_reserved_outside_the_evacuated_domain():
    """Guards against a reserve that consists of targets on which nothing may start."""
    case = domain_case.DomainCase("a0", "b0", "b1", "c0")
    reserved = reserve.Reserve(all_tables=case.scheduler.tables)
    reserved.choose_targets()
    assert [name for name, row in case.rows.items() if reserved.is_reserved(row)] == ["a0"]
    case.request("a")
    reserved.choose_targets()
    assert [name for name, row in case.rows.items() if reserved.is_reserved(row)] == ["b0"]
    case.end("a")
    reserved.choose_targets()
    assert [name for name, row in case.rows.items() if reserved.is_reserved(row)] == ["a0"]
