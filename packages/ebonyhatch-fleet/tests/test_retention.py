"""Ended jobs are kept for the retention period and then removed from the store and the owner."""

from __future__ import annotations

import world as world_module
from ebonyhatch.fleet import entry, jobs, keys, retention

KEEP_S = 5.0
SHORT = (jobs.Step(count=2, cpu_millis=500, estimate_s=0.2),)


def _keys(world: world_module.World, job_id: str) -> list[str]:
    return [key for key in world.store.items if key.endswith(job_id)]


def test_jobs_are_removed_in_the_order_of_their_ends_a_limited_number_per_write():
    ended = retention.Retention(keep_s=KEEP_S)
    for number in range(retention.MAX_REMOVED_PER_WRITE + 3):
        ended.add(f"{number}", now=float(number))
    assert ended.pop_due(now=KEEP_S - 0.1) == []
    assert ended.pop_due(now=KEEP_S + 1) == ["0", "1"]
    assert len(ended.pop_due(now=1_000.0)) == retention.MAX_REMOVED_PER_WRITE
    assert ended.count == 1


def test_an_ended_job_is_shown_for_the_retention_period_and_then_removed():
    world = world_module.World(keep_ended_s=KEEP_S)
    world.run(1.0)
    job = world.job(*SHORT, work_s=0.2)
    world.submit(job)
    world.run_until(lambda: world.state(job.job_id) == "completed")
    world.run(KEEP_S - 1.0)
    assert world.show(job.job_id).state == "completed"
    world.run(2.0)
    assert _keys(world, job.job_id) == []
    assert world.show(job.job_id).verdict == entry.Verdict.NO_SUCH_JOB
    assert world.owner.node.owner.job(job.job_id) is None


def test_the_next_owner_removes_jobs_that_a_former_one_did_not_remove():
    world = world_module.World(keep_ended_s=KEEP_S)
    world.run(1.0)
    ended = [world.job(*SHORT, work_s=0.2) for _ in range(2 * retention.MAX_REMOVED_PER_WRITE)]
    unfinished = world.job(*SHORT, work_s=60.0)
    for job in (*ended, unfinished):
        world.submit(job)
    world.run_until(lambda: all(world.state(job.job_id) == "completed" for job in ended))
    world.kill(world.owner.name)
    world.run(KEEP_S + 6.0)
    assert all(_keys(world, job.job_id) == [] for job in ended)
    assert keys.job(unfinished.job_id) in world.store.items
    assert world.state(unfinished.job_id) == "running"
    world_module.check_all(world)


def test_jobs_that_have_not_ended_are_never_removed():
    world = world_module.World(keep_ended_s=KEEP_S)
    world.run(1.0)
    job = world.job(*SHORT, work_s=4 * KEEP_S)
    world.submit(job)
    world.run(3 * KEEP_S)
    assert world.show(job.job_id).state == "running"


def test_retention_goes_on_over_changes_of_the_owner_that_come_more_often_than_it_lasts():
    world = world_module.World(keep_ended_s=KEEP_S)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    job = world.job(*SHORT, work_s=0.2)
    world.submit(job)
    world.run_until(lambda: world.state(job.job_id) == "completed")
    for number in range(3):
        world.run(KEEP_S / 2)
        world.kill(world.owner.name)
        world.start(f"n{number}")
        world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    assert _keys(world, job.job_id) == []


def test_cancellation_without_a_job_is_removed_although_owners_follow_each_other():
    """Guards against records that stay for good, one for each cancellation of an unknown job."""
    world = world_module.World(keep_ended_s=KEEP_S)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    job = world.job(*SHORT)
    assert world.cancel(job.job_id).verdict == entry.Verdict.NO_SUCH_JOB
    assert _keys(world, job.job_id)
    for number in range(3):
        world.run(KEEP_S / 2)
        world.kill(world.owner.name)
        world.start(f"n{number}")
        world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    assert _keys(world, job.job_id) == []
