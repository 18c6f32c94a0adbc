"""What an owner without a valid lease may do, by the targets that still answer it."""

from __future__ import annotations

import types

import pytest
import world as world_module
from ebonyhatch.fleet import clocks, jobs, node, poll_pace, reach
from twisted.internet import task

LINK_DELAY_S = 0.4


def _reach(*answered_at: float, now: float) -> tuple[reach.Reach, task.Clock, list]:
    clock = task.Clock()
    clock.advance(now)
    listed = types.SimpleNamespace(listed=True)
    sessions = [types.SimpleNamespace(row=listed, answered_at=at) for at in answered_at]
    subject = reach.Reach(
        all_clocks=clocks.MemoryClocks(clock=clock), sessions=lambda: sessions, lease_ttl_s=1.5
    )
    return subject, clock, sessions


def test_owner_that_no_target_has_answered_may_not_act_without_a_lease():
    for answered_at in ((), (0.0, 0.0)):
        subject, _, _ = _reach(*answered_at, now=50.0)
        assert not subject.suffices(lease_valid=False)


def test_targets_that_answered_before_a_held_up_loop_count_although_that_is_long_ago():
    subject, clock, sessions = _reach(*[49.9] * 10, now=50.0)
    assert subject.suffices(lease_valid=True)
    clock.advance(20.0)
    assert not subject.suffices(lease_valid=False)
    clock.advance(1.0)
    for session in sessions[:7]:
        session.answered_at = clock.seconds()
    assert not subject.suffices(lease_valid=False)
    clock.advance(1.0)
    for session in sessions[:8]:
        session.answered_at = clock.seconds()
    assert subject.suffices(lease_valid=False)


@pytest.mark.parametrize("phase_s", [0.0, 0.6, 1.2, 1.8])
@pytest.mark.parametrize("link_delay_s", [0.0, LINK_DELAY_S])
def test_tasks_of_a_slowly_polling_owner_that_is_cut_off_with_most_targets_are_not_run_twice(
    link_delay_s, phase_s, monkeypatch
):
    monkeypatch.setattr(poll_pace.PollPace, "pause_s", lambda pace: poll_pace.MAX_PAUSE_S)
    monkeypatch.setattr(node.Settings, "link_delay_s", property(lambda settings: link_delay_s))
    world = world_module.World(entries=3, target_count=10)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.submit(world.job(jobs.Step(count=20, cpu_millis=1000, estimate_s=60.0), work_s=60.0))
    world.run(3.0 + phase_s)
    cut_off, names = world.owner, sorted(world.engines)
    cut_off.store.faults.silent = True
    world.network.partitioned.add(cut_off.name)
    for member in world.members.values():
        beyond = names[7:] if member is cut_off else names[:7]
        member.targets.unreached = frozenset(beyond)
    world.run(20.0)
    assert any(m.node.owner for m in world.members.values() if m is not cut_off)
    world_module.check_single_execution(world)
