from __future__ import annotations

import pytest
import scripted
import world as world_module
from ebonyhatch.fleet import (
    change_feed,
    entry,
    jobs,
    journal,
    ownership,
    scheduler,
    supervision,
    target_session,
)
from ebonyhatch.fleet import owner as owner_module
from ebonyhatch.fleet.takeover import stabilization
from ebonyhatch.node import coroutines
from twisted.internet import task


def test_a_loop_is_started_again_with_a_growing_delay_until_it_returns():
    clock = task.Clock()
    group = coroutines.CoroutineGroup(clock=clock)
    started: list[float] = []

    async def run() -> None:
        started.append(clock.seconds())
        if len(started) < 6:
            raise ValueError("odd")

    with scripted.logged() as lines:
        supervision.spawn(group, "test", run)
        scripted.advance(clock, 20.0)
    delays = [round(later - before, 2) for before, later in zip(started, started[1:], strict=False)]
    assert delays == [0.25, 0.5, 1.0, 2.0, 2.0]
    restarts = [line for line in lines if line["message_type"] == "loop.restarted"]
    assert len(restarts) == 5
    assert restarts[0]["loop"] == "test" and "odd" in restarts[0]["reason"]


def test_a_loop_ends_with_its_group():
    clock = task.Clock()
    group = coroutines.CoroutineGroup(clock=clock)
    started: list[float] = []

    async def run() -> None:
        started.append(clock.seconds())
        await group.sleep(10.0)

    with scripted.logged() as lines:
        supervision.spawn(group, "test", run)
        group.close()
        scripted.advance(clock, 20.0)
    assert started == [0.0]
    assert not lines


CALLS = [
    (ownership.Ownership, "_renew"),
    (ownership.Ownership, "_apply_item"),
    (ownership.Ownership, "_try_takeover"),
    (change_feed.ChangeFeed, "_wake"),
    (owner_module.Owner, "_apply_intake_changes"),
    (owner_module.Owner, "_add_job"),
    (owner_module.Owner, "_recover"),
    (stabilization.Stabilization, "_unconfirmed_targets"),
    (owner_module.Owner, "_collect_changed_jobs"),
    (owner_module.Owner, "_on_durable"),
    (journal.Journal, "_collect"),
    (scheduler.Scheduler, "mark_runs_lost"),
    (target_session.TargetSession, "_handle_failure"),
    (target_session.TargetSession, "_is_superseded"),
]


@pytest.mark.parametrize("at_start", [True, False], ids=["at-start", "later"])
@pytest.mark.parametrize(
    ("kind", "name"), CALLS, ids=lambda value: getattr(value, "__name__", value)
)
def test_one_unexpected_error_in_a_loop_ends_no_loop(kind, name, at_start, monkeypatch):
    called = getattr(kind, name)
    failing = [at_start]
    failed: list[str] = []

    def fail_once(self, *arguments, **named):
        if failing[0] and not failed:
            failed.append(name)
            raise RuntimeError(f"{name} failed")
        return called(self, *arguments, **named)

    monkeypatch.setattr(kind, name, fail_once)
    world = world_module.World(entries=1, target_count=2)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    failing[0] = True
    first = world.job(jobs.Step(count=4, cpu_millis=500), work_s=3.0)
    assert world.submit(first).verdict == entry.Verdict.DONE
    world.run(1.0)
    world.engines["t1"].faults.partitioned = True
    world.run(8.0)
    world.engines["t1"].faults.partitioned = False
    world.run(1.0)
    world.kill("e0")
    world.start("e1")
    world.run_until(lambda: world.members["e1"].node.ready, limit_s=10.0)
    second = world.job(jobs.Step(count=4, cpu_millis=500), work_s=1.0)
    assert world.submit(second).verdict == entry.Verdict.DONE
    world.run_until(
        lambda: all(world.state(job.job_id) == "completed" for job in (first, second)),
        limit_s=40.0,
    )
    assert failed
    cancelled = world.job(jobs.Step(count=1, cpu_millis=500), work_s=30.0)
    world.submit(cancelled)
    world.run(1.0)
    assert world.cancel(cancelled.job_id).verdict == entry.Verdict.DONE
    world.run_until(lambda: not any(engine.runs for engine in world.engines.values()))
