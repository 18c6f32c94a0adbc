"""The owner's role on small entries: a link of 5 Mbit/s and a third of a core."""

from __future__ import annotations

import pytest
import world as world_module
from ebonyhatch.fleet import jobs, keys, memory_link, store, targets

JOB_COUNT = 600
RECOVER_S = 15.0
CANCEL_S = 4.0
STOP_S = 0.4
OBSERVED_S = 30.0
CALL_COST_S = 0.001
"""Processor time of one call on a small entry, seconds."""

FIRST_CALL_COST_S = 0.002
"""The same while calls open connections, seconds."""

SQUEEZED_BYTES_PER_S = 80_000
LAST_ENTRY_TARGETS = 246
LAST_ENTRY_CALL_COST_S = 0.0015
MAX_POLLS_PER_S = 4
STEP = jobs.Step(count=1, cpu_millis=1000, estimate_s=60.0)
SHORT_STEP = jobs.Step(count=1, cpu_millis=1000, estimate_s=3.0)


def _link(world: world_module.World, *, call_cost_s: float = CALL_COST_S) -> memory_link.Link:
    return memory_link.Link(
        clock=world.clock,
        bytes_per_s=world_module.THIN_BYTES_PER_S,
        call_cost_s=call_cost_s,
    )


def _new_jobs(
    world: world_module.World, count: int, *, step: jobs.Step = STEP, work_s: float = 120.0
) -> list[jobs.Job]:
    spec = "s" * world_module.RECORD_SPEC_BYTES
    return [world.job(step, work_s=work_s, spec=spec) for _ in range(count)]


def _recovered(world: world_module.World) -> bool:
    owner = None if world.owner is None else world.owner.node.owner
    return owner is not None and owner.recovered and owner.scheduler.reconciled


def _loaded_fleet(target_count: int) -> tuple[world_module.World, list[jobs.Job]]:
    """Returns a fleet whose owner, on a link without a limit, runs `JOB_COUNT` jobs."""
    world = world_module.World(entries=0, target_count=target_count, large=True)
    stored = _new_jobs(world, JOB_COUNT)
    world.store_jobs(*stored)
    world.store.compact()
    world.start("large")
    world.run_until(lambda: _running_count(world) == JOB_COUNT)
    world.run(1.0)
    return world, stored


def _running_count(world: world_module.World) -> int:
    return sum(len(engine.runs) for engine in world.engines.values())


def _kill_large_owner(world: world_module.World, *, call_cost_s: float = CALL_COST_S) -> None:
    """Ends the owner while only an entry on a thin link is left."""
    world.start("thin", link=_link(world, call_cost_s=call_cost_s))
    world.run(1.0)
    world.kill("large")


def _runs_of(world: world_module.World, job: jobs.Job) -> list[targets.RunKey]:
    return [
        key
        for engine in world.engines.values()
        for key in engine.runs
        if key.task.startswith(job.job_id)
    ]


@pytest.mark.parametrize("target_count", [176, 350])
def test_takeover_on_a_thin_link_recovers_although_a_page_takes_longer_than_a_call(target_count):
    world, _ = _loaded_fleet(target_count)
    _kill_large_owner(world)
    world.run_until(lambda: _recovered(world), RECOVER_S)
    assert world.owner.name == "thin"
    assert _running_count(world) == JOB_COUNT
    world_module.check_all(world)


def test_first_polls_of_a_takeover_sent_at_once_lose_no_target_that_answers():
    world, _ = _loaded_fleet(350)
    _kill_large_owner(world, call_cost_s=FIRST_CALL_COST_S)
    world.run_until(lambda: world.owner is not None)
    owner = world.owner.node.owner
    for _ in range(int(RECOVER_S)):
        world.run(1.0)
        unreachable = sum(not row.reachable for row in owner.scheduler.tables.targets.values())
        assert unreachable == 0
    assert _running_count(world) == JOB_COUNT


def test_cancellation_stored_while_the_owner_recovers_ends_the_runs_and_starts_none():
    world, stored = _loaded_fleet(176)
    _kill_large_owner(world)
    world.run_until(lambda: world.owner is not None)
    assert not world.owner.node.owner.recovered
    cancelled = stored[JOB_COUNT // 2]
    assert _runs_of(world, cancelled)
    cancelled_at = world.clock.seconds()
    cancel = store.Put(key=keys.cancel(cancelled.job_id), value=b"{}")
    world.store.commit((), (cancel,), ())
    world.run_until(lambda: not _runs_of(world, cancelled), CANCEL_S + STOP_S)
    world.run(RECOVER_S)
    assert all(at < cancelled_at for at, *_ in world.starts(cancelled.job_id))
    world_module.check_all(world)


def test_owner_that_is_not_recovered_polls_no_target_in_a_tight_loop():
    world, _ = _loaded_fleet(176)
    member = world.start("thin", link=_link(world, call_cost_s=0.0))
    member.store.faults.silent_prefix = keys.INTAKE
    world.run(1.0)
    world.kill("large")
    world.run_until(lambda: world.owner is not None)
    world.run(1.0)
    before = {name: engine.polls for name, engine in world.engines.items()}
    world.run(5.0)
    assert world.owner is not None and not world.owner.node.owner.recovered
    polls = {name: engine.polls - before[name] for name, engine in world.engines.items()}
    assert max(polls.values()) <= 5 * MAX_POLLS_PER_S


def test_ownership_does_not_alternate_between_two_thin_entries():
    world, _ = _loaded_fleet(350)
    for name in ("thin-1", "thin-2"):
        world.start(name, link=_link(world))
    world.run(1.0)
    world.kill("large")
    world.run_until(lambda: world.owner is not None)
    terms = set()
    for _ in range(int(OBSERVED_S)):
        world.run(1.0)
        if world.owner is not None:
            terms.add(world.owner.node.owner.term)
    assert len(terms) <= 2
    assert _running_count(world) == JOB_COUNT


def test_loaded_owner_on_a_thin_link_loses_neither_its_lease_nor_a_target_that_answers():
    world = world_module.World(entries=0, target_count=176, large=True)
    world.start("thin", link=_link(world))
    world.run_until(lambda: _recovered(world), RECOVER_S)
    owner = world.owner.node.owner
    for _ in range(int(OBSERVED_S)):
        world.store_jobs(*_new_jobs(world, 60, step=SHORT_STEP, work_s=3.0))
        world.run(1.0)
        assert world.owner is not None and world.owner.node.owner is owner
        assert all(row.reachable for row in owner.scheduler.tables.targets.values())
    starts = [key.task for engine in world.engines.values() for _, key, _ in engine.started]
    assert len(starts) == len(set(starts))
    world_module.check_all(world)


@pytest.mark.parametrize("rotation", range(4))
def test_entry_with_the_largest_capacity_takes_over_before_smaller_ones(rotation):
    world = world_module.World(entries=0)
    capacities = {f"e{number}": 0.3 + (number + rotation) % 4 for number in range(4)}
    for name, capacity in capacities.items():
        world.start(name, capacity=capacity)
    world.run(3.0)
    while len(world.members) > 1:
        world.kill(world.owner.name)
        world.run_until(lambda: world.owner is not None)
        assert world.owner.name == max(world.members, key=capacities.__getitem__)
        world.run(1.0)
    world_module.check_all(world)


def test_last_small_entry_keeps_its_lease_and_its_targets_and_completes_half_of_the_work():
    world = world_module.World(entries=0, target_count=LAST_ENTRY_TARGETS, large=True)
    world.start("small", link=_link(world, call_cost_s=LAST_ENTRY_CALL_COST_S))
    world.run_until(lambda: _recovered(world), RECOVER_S)
    owner = world.owner.node.owner
    for _ in range(int(OBSERVED_S)):
        world.store_jobs(*_new_jobs(world, 60, step=SHORT_STEP, work_s=3.0))
        world.run(1.0)
        assert world.owner is not None and world.owner.node.owner is owner
        assert all(row.reachable for row in owner.scheduler.tables.targets.values())
    starts = [key.task for engine in world.engines.values() for _, key, _ in engine.started]
    assert len(starts) == len(set(starts))
    completed = sum(world.state(job_id) == "completed" for job_id in world.accepted)
    assert completed >= len(world.accepted) / 2
    world_module.check_all(world)


def test_owner_whose_page_still_arrives_on_a_squeezed_link_is_not_given_up():
    world = world_module.World(entries=0, target_count=4, large=True)
    world.store_jobs(*_new_jobs(world, JOB_COUNT))
    for name in ("thin-1", "thin-2"):
        world.start(name, link=_link(world))
    world.run_until(lambda: world.owner is not None)
    owner = world.owner.node.owner
    for member in world.members.values():
        member.link.bytes_per_s = SQUEEZED_BYTES_PER_S
    for _ in range(int(OBSERVED_S)):
        world.run(1.0)
        assert world.owner is not None and world.owner.node.owner is owner
    assert owner.recovered
