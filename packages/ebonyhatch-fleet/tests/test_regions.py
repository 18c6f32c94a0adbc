"""Queues that may use only the targets of some regions."""

from __future__ import annotations

import domain_case
import msgspec
import pytest
from ebonyhatch.fleet import jobs, queues

LIMITED = msgspec.structs.replace(domain_case.QUEUE, name="l", regions=("r1", "r2"))
KINDS = {
    "short": jobs.Step(count=40, cpu_millis=1_000, estimate_s=1.0),
    "long-running": jobs.Step(count=40, cpu_millis=1_000, long_running=True),
    "limited": jobs.Step(count=40, cpu_millis=1_000, estimate_s=1.0, max_per_target=4),
    "filler": jobs.Step(count=2, cpu_millis=1_000, estimate_s=1.0, filler=True, image="f"),
    "gang": jobs.Step(count=8, cpu_millis=1_000, estimate_s=1.0, gang=True),
}


def _case() -> domain_case.DomainCase:
    case = domain_case.DomainCase()
    for number, region in enumerate(("r1", "r2", "r3", "")):
        case.rows[region] = case.add(f"{number}", region=region)
    return case


@pytest.mark.parametrize("kind", KINDS)
def test_tasks_of_a_limited_queue_start_in_its_regions_only(kind):
    """Guards against a way of placement that doesn't check the region."""
    case = _case()
    case.submit(KINDS[kind], queue=LIMITED)
    names = set(domain_case.starts(case.tick()))
    assert names and names <= {"0", "1"}


@pytest.mark.parametrize("kind", KINDS)
def test_other_queues_use_all_targets(kind):
    case = _case()
    case.submit(KINDS["short"], queue=LIMITED)
    case.submit(KINDS[kind])
    assert set(domain_case.starts(case.tick())) >= {"2"}


def test_queues_of_one_pool_with_other_regions_are_ranked_separately():
    """Guards against a ranking of targets that is kept for the regions of another queue."""
    case = _case()
    other = msgspec.structs.replace(domain_case.QUEUE, name="o", regions=("r3",))
    step = jobs.Step(count=1, cpu_millis=1_000, estimate_s=1.0)
    for number in range(3):
        limited = case.submit(step, queue=LIMITED)
        elsewhere = case.submit(step, queue=other)
        case.tick(number / 10)
        (first,) = limited.occurrences[0][0].tasks[0].runs.values()
        (second,) = elsewhere.occurrences[0][0].tasks[0].runs.values()
        assert first.target.target.region in LIMITED.regions
        assert second.target.target.region == "r3"


def test_step_that_fits_in_no_region_of_its_queue_holds_no_other_queue_up():
    case = _case()
    nowhere = msgspec.structs.replace(domain_case.QUEUE, name="n", regions=("r9",))
    case.submit(KINDS["limited"], queue=nowhere)
    case.submit(jobs.Step(count=1, cpu_millis=1_000, long_running=True), queue=nowhere)
    case.submit(jobs.Step(count=1, cpu_millis=1_000, long_running=True))
    assert len(domain_case.starts(case.tick())) == 1


def test_target_whose_region_changes_is_judged_by_the_new_one():
    case = _case()
    case.tick()
    moved = msgspec.structs.replace(case.rows["r3"].target, region="r1")
    case.scheduler.set_target(moved, now=0.1)
    case.submit(KINDS["short"], queue=LIMITED)
    assert "2" in domain_case.starts(case.tick(0.2))


def test_regions_of_a_new_configuration_are_in_force():
    case = _case()
    row = case.submit(jobs.Step(count=1, cpu_millis=9_000, estimate_s=1.0), queue=LIMITED)
    case.tick()
    changed = msgspec.structs.replace(LIMITED, regions=("r3",))
    case.scheduler.configure(queues.Configuration(version=2, queues=(changed,)))
    large = msgspec.structs.replace(case.rows["r3"].target, cpu_millis=9_000)
    case.scheduler.set_target(large, now=0.1)
    assert domain_case.starts(case.tick(0.2)) == ["2"]
    assert row.queue is changed


def test_lasting_task_moves_only_within_its_regions():
    """Guards against a stop of a task that may run nowhere else."""
    case = domain_case.DomainCase()
    case.add("a0", region="r1")
    case.submit(jobs.Step(count=1, cpu_millis=1_000, long_running=True), queue=LIMITED)
    case.confirm(case.tick())
    for number in range(4):
        case.add(f"b{number}", region="r3")
    case.request("a")
    assert domain_case.stops(case.tick(1.0)) == []
    for number in range(4):
        case.add(f"c{number}", region="r2")
    assert domain_case.stops(case.tick(2.0)) == ["a0"]
