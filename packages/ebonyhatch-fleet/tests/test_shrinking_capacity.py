from __future__ import annotations

import msgspec
import world as world_module
from ebonyhatch.fleet import entry, jobs

CPU_MILLIS = 4000
TASK = jobs.Step(count=1, cpu_millis=1000, estimate_s=1.0)


def _ready(*, targets: int = 1, entries: int = 2) -> world_module.World:
    world = world_module.World(entries=entries, target_count=targets)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(2.0)
    return world


def _resize(world: world_module.World, target_id: str, cpu_millis: int) -> None:
    engine = world.engines[target_id]
    engine.target = msgspec.structs.replace(engine.target, cpu_millis=cpu_millis)
    world.register(engine.target)


def _submit(world: world_module.World, count: int, *, work_s: float) -> list[jobs.Job]:
    submitted = [world.job(TASK, work_s=work_s) for _ in range(count)]
    for job in submitted:
        assert world.submit(job).verdict == entry.Verdict.DONE
    return submitted


def _most_runs_at_a_start_after(world: world_module.World, since: float) -> int:
    engine = world.engines["t0"]
    ends = {key: at for at, key, _ in engine.ended}
    return max(
        (
            sum(begun <= at < ends.get(key, float("inf")) for begun, key, _ in engine.started)
            for at, _, _ in engine.started
            if at > since
        ),
        default=0,
    )


def test_nothing_is_started_beyond_a_capacity_that_has_shrunk():
    world = _ready()
    submitted = _submit(world, 12, work_s=1.0)
    _resize(world, "t0", 2000)
    world.run(0.3)
    shrunk_at = world.clock.seconds()
    world.run_until(lambda: all(world.state(job.job_id) == "completed" for job in submitted))
    assert _most_runs_at_a_start_after(world, shrunk_at) == 2


def test_runs_that_are_being_stopped_count_against_a_capacity_that_has_shrunk():
    world = _ready()
    cancelled = _submit(world, 4, work_s=60.0)
    world.run(0.5)
    _resize(world, "t0", 1000)
    world.engines["t0"].faults.unresponsive = True
    for job in cancelled:
        world.owner.node.owner.cancel(job.job_id)
    submitted = _submit(world, 2, work_s=0.5)
    world.run(1.0)
    assert not any(world.starts(job.job_id) for job in submitted)
    world.engines["t0"].faults.unresponsive = False
    world.run_until(lambda: all(world.state(job.job_id) == "completed" for job in submitted))


def test_a_capacity_that_has_grown_again_is_used():
    world = _ready()
    _resize(world, "t0", 0)
    world.run(0.5)
    submitted = _submit(world, 4, work_s=1.0)
    world.run(1.0)
    assert not world.engines["t0"].runs
    _resize(world, "t0", CPU_MILLIS)
    world.run_until(lambda: len(world.engines["t0"].runs) == 4, limit_s=1.0)
    world.run_until(lambda: all(world.state(job.job_id) == "completed" for job in submitted))


def test_new_owner_counts_inherited_runs_against_a_capacity_that_has_shrunk():
    world = _ready(entries=3)
    inherited = _submit(world, 4, work_s=4.0)
    world.run(0.5)
    _resize(world, "t0", 2000)
    waiting = _submit(world, 4, work_s=1.0)
    world.kill(world.owner.name)
    resized_at = world.clock.seconds()
    world.run_until(
        lambda: all(world.state(job.job_id) == "completed" for job in inherited + waiting),
        limit_s=30.0,
    )
    assert _most_runs_at_a_start_after(world, resized_at) == 2


def test_a_target_that_refuses_for_lack_of_capacity_is_not_asked_again_at_once():
    world = _ready()
    world.engines["t0"].faults.max_runs = 1
    submitted = _submit(world, 4, work_s=1.0)
    world.run(1.0)
    assert world.engines["t0"].refused_for_capacity <= 8
    world.run_until(lambda: all(world.state(job.job_id) == "completed" for job in submitted))


def test_a_task_that_a_target_refuses_for_lack_of_capacity_runs_on_another():
    world = _ready(targets=2)
    world.engines["t0"].faults.max_runs = 0
    submitted = _submit(world, 4, work_s=1.0)
    took_s = world.run_until(
        lambda: all(world.state(job.job_id) == "completed" for job in submitted)
    )
    assert took_s < 2.0
