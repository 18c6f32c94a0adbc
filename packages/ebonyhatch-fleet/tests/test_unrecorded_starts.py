"""Owners that end right after a start whose reason is not durable yet."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest
import world as world_module
from ebonyhatch.fleet import graph, jobs, memory_targets

LAG_S = 5.0
"""Time by which the clock of the next owner is behind, seconds."""

LONG_S = 6.0
SHORT_S = 1.0
COMPLETION_S = 40.0
INTERVAL_S = 0.1

KINDS = {
    "plain": jobs.Step(count=2, cpu_millis=1000, estimate_s=1.0),
    "gang": jobs.Step(count=2, cpu_millis=1000, estimate_s=1.0, gang=True),
    "filler": jobs.Step(count=2, cpu_millis=1000, estimate_s=1.0, filler=True),
    "checkpoints": jobs.Step(count=2, cpu_millis=1000, estimate_s=1.0, checkpoints=True),
}


def _ready(*, target_count: int = 4) -> world_module.World:
    world = world_module.World(entries=3, target_count=target_count)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    return world


def _set_clocks_of_others_back(world: world_module.World) -> None:
    for member in world.members.values():
        if member is not world.owner:
            member.clocks.wall_offset_s = -LAG_S


def _kill_owner_at_start(world: world_module.World, wanted: Callable[[str], bool]) -> None:
    """Kills the owner at the first start of a wanted task, before the journal holds anything of it."""
    world.run_until(
        lambda: any(
            wanted(key.task) for engine in world.engines.values() for _, key, _ in engine.started
        )
    )
    world.kill(world.owner.name)


def _engine_of(world: world_module.World, task_name: str) -> memory_targets.TargetEngine | None:
    """Returns the target on which a task was started first; None if there is none yet."""
    for engine in world.engines.values():
        if any(key.task == task_name for _, key, _ in engine.started):
            return engine
    return None


def _complete(world: world_module.World, job: jobs.Job) -> None:
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=COMPLETION_S)
    world.run(2.0)
    world_module.check_single_execution(world)
    world_module.check_run_numbers_increase(world)


def _task(job: jobs.Job, occurrence: int) -> str:
    return f"{job.job_id}.{occurrence}.0.0"


def test_occurrence_that_a_former_owner_opened_for_an_unrecorded_end_does_not_run_again():
    """Guards against ends that are acknowledged while their occurrence isn't open.

    The target with the earlier end, for which the occurrence was opened, reports last.
    """
    world = _ready(target_count=graph.MAX_OPEN_OCCURRENCES + 4)
    last = graph.MAX_OPEN_OCCURRENCES
    step = jobs.Step(count=1, cpu_millis=3000, estimate_s=LONG_S)
    job = world.timed(world.job(step), occurrences=last + 4, interval_s=INTERVAL_S)
    lengths = {_task(job, 0): 3.0, **{_task(job, last + number): SHORT_S for number in range(4)}}
    for engine in world.engines.values():
        engine.work_s = lambda name: lengths.get(name, LONG_S)
    world.submit(job)
    world.run_until(lambda: _engine_of(world, _task(job, 0)) is not None)
    earlier = _engine_of(world, _task(job, 0))
    earlier.faults.max_runs = 0
    _kill_owner_at_start(world, lambda name: name == _task(job, last))
    earlier.faults.partitioned = True
    world.run_until(lambda: world.owner is not None)
    world.run(2 * SHORT_S)
    earlier.faults.partitioned = False
    _complete(world, job)
    assert len([start for start in world.starts(job.job_id) if start[1] == _task(job, last)]) == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("work_s", [SHORT_S, LONG_S], ids=["ended", "running"])
def test_occurrence_that_is_not_due_by_the_clock_of_the_next_owner_does_not_run_again(kind, work_s):
    """Guards against a second run of a task that the former owner's clock showed to be due."""
    world = _ready()
    _set_clocks_of_others_back(world)
    plain = world.job(KINDS[kind], work_s=work_s)
    job = world.timed(plain, occurrences=3, interval_s=INTERVAL_S)
    world.submit(job)
    _kill_owner_at_start(world, lambda name: name.startswith(f"{job.job_id}.0."))
    _complete(world, job)
    assert len({start[1] for start in world.starts(job.job_id)}) == 6
    assert len(world.starts(job.job_id)) == 6


def test_lasting_task_of_an_occurrence_that_is_not_due_by_the_next_clock_is_adopted():
    """Guards against lasting tasks that the next owner stops as those of an unknown occurrence."""
    world = _ready()
    _set_clocks_of_others_back(world)
    step = jobs.Step(count=2, cpu_millis=1000, long_running=True)
    plain = world.job(step, work_s=-1.0)
    job = world.timed(plain, occurrences=1, interval_s=INTERVAL_S)
    world.submit(job)
    _kill_owner_at_start(world, lambda name: name.startswith(job.job_id))
    world.run_until(lambda: world.owner is not None)
    world.run(LAG_S + 2.0)
    world_module.check_single_execution(world)
    assert len(world.starts(job.job_id)) == 2
    assert sum(len(engine.runs) for engine in world.engines.values()) == 2


@pytest.mark.parametrize("work_s", [SHORT_S, LONG_S], ids=["ended", "running"])
@pytest.mark.parametrize("kind", KINDS)
def test_step_that_a_former_owner_released_for_an_unrecorded_end_does_not_run_again(kind, work_s):
    """Guards against a successor that is unknown until its predecessor's target has reported."""
    world = _ready()
    first = jobs.Step(count=1, cpu_millis=4000, estimate_s=SHORT_S)
    job = world.job(first, msgspec.structs.replace(KINDS[kind], after=(0,)), work_s=work_s)
    for engine in world.engines.values():
        engine.work_s = lambda name: SHORT_S if name == _task(job, 0) else work_s
    world.submit(job)
    world.run_until(lambda: _engine_of(world, _task(job, 0)) is not None)
    predecessor = _engine_of(world, _task(job, 0))
    predecessor.faults.max_runs = 0
    _kill_owner_at_start(world, lambda name: name.startswith(f"{job.job_id}.0.1."))
    predecessor.faults.partitioned = True
    world.run_until(lambda: world.owner is not None)
    world.run(2 * SHORT_S)
    predecessor.faults.partitioned = False
    _complete(world, job)
    world_module.check_step_order(world)
    assert len(world.starts(job.job_id)) == 3
