"""Targets that are cold when their domain is returned to service get their runs gradually."""

from __future__ import annotations

import domain_case
import msgspec
import pytest
from ebonyhatch.fleet import jobs

MANY = jobs.Step(count=40, cpu_millis=100, estimate_s=60.0)


def _returned(
    step: jobs.Step = MANY, *, cold_start_s: float = 10.0, cold_per_s: float = 2.0
) -> domain_case.DomainCase:
    """Returns a case whose only domain was returned to service at 1 s, with waiting work."""
    case = domain_case.DomainCase("a0", "a1")
    case.set_cold_start(cold_start_s, cold_per_s=cold_per_s)
    case.request("a")
    case.submit(step)
    assert case.tick(0.5) == []
    case.end("a", now=1.0)
    return case


def _starts_by_target(case: domain_case.DomainCase, *, until: float) -> dict[str, int]:
    counts: dict[str, int] = {}
    for number in range(round((until - 1.0) * 100)):
        for name in domain_case.starts(case.tick(1.0 + number / 100)):
            counts[name] = counts.get(name, 0) + 1
    return counts


@pytest.mark.parametrize("cold_per_s", [2.0, 5.0])
def test_cold_target_gets_no_more_starts_a_second_than_its_service_says(cold_per_s):
    """Guards against a wave of starts on targets that are slow after their return."""
    case = _returned(cold_per_s=cold_per_s)
    counts = _starts_by_target(case, until=4.0)
    expected = 3.0 * cold_per_s
    assert set(counts) == {"a0", "a1"}
    assert all(expected - 1 <= count <= expected + 1 for count in counts.values())


@pytest.mark.parametrize(
    "step",
    [
        jobs.Step(count=40, cpu_millis=100, long_running=True),
        jobs.Step(count=40, cpu_millis=100, estimate_s=60.0, max_per_target=30),
    ],
    ids=["long-running", "limited"],
)
def test_limit_holds_for_steps_whose_targets_are_scored_one_by_one(step):
    counts = _starts_by_target(_returned(step), until=3.0)
    assert all(count <= 5 for count in counts.values())


def test_gang_starts_one_member_on_a_cold_target():
    gang = jobs.Step(count=3, cpu_millis=100, estimate_s=60.0, gang=True)
    case = _returned(gang)
    assert domain_case.starts(case.tick(1.0)) == []
    case.add("b0")
    assert domain_case.starts(case.tick(1.1)) != []


def test_work_goes_to_warm_targets_meanwhile():
    case = _returned()
    case.add("b0")
    names = domain_case.starts(case.tick(1.0))
    assert names.count("b0") == 38 and names.count("a0") == names.count("a1") == 1


def test_limit_ends_when_the_targets_are_warm():
    case = _returned(cold_start_s=1.0)
    _starts_by_target(case, until=2.0)
    case.tick(2.6)
    assert sum(len(row.runs) for row in case.rows.values()) == 40


def test_nothing_is_limited_where_targets_are_never_cold():
    case = _returned(cold_start_s=0.0)
    assert len(domain_case.starts(case.tick(1.0))) == 40


def test_service_that_names_no_rate_starts_one_a_second():
    case = _returned(cold_per_s=0.0)
    assert all(count <= 4 for count in _starts_by_target(case, until=4.0).values())


def test_registration_of_a_cold_target_limits_its_starts():
    """Guards against a wave of starts by an owner that didn't see the domain return."""
    case = domain_case.DomainCase()
    row = case.add("a0", cold_left_s=5.0)
    case.submit(MANY)
    assert len(domain_case.starts(case.tick(0.0))) == 1
    case.scheduler.set_target(msgspec.structs.replace(row.target, cold_left_s=0.0), now=3.0)
    assert len(domain_case.starts(case.tick(3.0))) == 1
    assert len(domain_case.starts(case.tick(5.1))) == 38


def test_new_owner_whose_entry_saw_the_return_limits_the_starts():
    case = domain_case.DomainCase()
    case.domains.request("a", revision=1)
    case.domains.end("a", revision=2, now=0.5)
    case.set_cold_start(10.0, cold_per_s=2.0)
    case.add("a0")
    case.submit(MANY)
    assert len(domain_case.starts(case.tick(1.0))) == 1
