"""Jobs that would fill the memory of the owner are refused before they are accepted."""

from __future__ import annotations

import random

import pytest
import world as world_module
from ebonyhatch.fleet import entry, jobs, keys
from ebonyhatch.fleet.budget import gate, ledger, price
from twisted.internet import defer

MEMORY_BYTES = 20_000_000
BUDGET = ledger.budget_bytes(MEMORY_BYTES)
LARGE_STEPS = 300


def _ready(**fields) -> world_module.World:
    world = world_module.World(memory_bytes=MEMORY_BYTES, **fields)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    return world


def _large(world: world_module.World, *, steps: int = LARGE_STEPS) -> jobs.Job:
    return world.job(*(jobs.Step(count=1, cpu_millis=9_000) for _ in range(steps)))


def _stored_bytes(world: world_module.World) -> int:
    """Returns the price of all jobs in the store that were accepted."""
    return sum(
        price.price(job, record_bytes=len(world.store.items[keys.job(job.job_id)].value))
        for job in world.accepted.values()
        if keys.job(job.job_id) in world.store.items
    )


def _submit_all(world: world_module.World, *many: jobs.Job) -> list[entry.Answer]:
    """Submits jobs at the same moment, each at the next entry."""
    names = list(world.members)
    answers: list[entry.Answer] = []
    for number, job in enumerate(many):
        submitted = world.members[names[number % len(names)]].node.entry.submit(
            job, queue=world_module.QUEUE, version=1, until=world.clock.seconds() + 2.5
        )
        pending = defer.Deferred.fromCoroutine(submitted)

        def note(answer: entry.Answer, job: jobs.Job = job) -> None:
            answers.append(answer)
            if answer.verdict == entry.Verdict.DONE:
                world.accepted[job.job_id] = job

        pending.addCallback(note)
    world.run_until(lambda: len(answers) == len(many))
    return answers


def _run_until_completed(world: world_module.World, job: jobs.Job) -> None:
    world.run_until(lambda: world.state(job.job_id) == "completed")


def test_large_jobs_that_come_together_at_all_entries_stay_within_the_memory():
    """Guards against owners over their memory, one after the other."""
    world = _ready()
    answers = _submit_all(world, *(_large(world) for _ in range(20)))
    refused = [one for one in answers if one.verdict == entry.Verdict.OVERLOADED]
    assert 0 < len(refused) < 20 and all(one.retry_after_s >= 1.0 for one in refused)
    assert _stored_bytes(world) <= ledger.LARGE_JOBS_SHARE * BUDGET
    ordinary = world.job()
    assert world.submit(ordinary).verdict == entry.Verdict.DONE
    _run_until_completed(world, ordinary)
    world.run(3.0)
    assert len([key for key in world.store.items if key.startswith(keys.JOBS)]) == len(
        world.accepted
    )


def test_job_that_never_fits_is_refused_for_good():
    world = _ready()
    answer = world.submit(_large(world, steps=5_000))
    assert answer.verdict == entry.Verdict.TOO_LARGE and "memory" in answer.reason


def test_cancelled_jobs_make_room_for_others():
    world = _ready()
    first = [_large(world) for _ in range(6)]
    _submit_all(world, *first)
    assert world.submit(_large(world)).verdict == entry.Verdict.OVERLOADED
    for job in first:
        world.cancel(job.job_id)
    world.run(1.0)
    assert world.submit(_large(world)).verdict == entry.Verdict.DONE


def test_accepted_job_that_is_submitted_again_is_not_refused():
    world = _ready()
    many = [_large(world) for _ in range(6)]
    _submit_all(world, *many)
    assert world.submit(_large(world)).verdict == entry.Verdict.OVERLOADED
    for job in world.accepted.values():
        assert world.submit(job).verdict == entry.Verdict.DONE


def test_job_is_not_refused_while_nobody_knows_whether_it_was_accepted():
    """Guards against a refusal of a job that runs."""
    world = _ready()
    job = _large(world)
    world.submit(job, at="e0")
    world.kill(world.owner.name)
    name = next(iter(world.members))
    world.members[name].store.faults.refuse = True
    assert world.submit(job, at=name).verdict == entry.Verdict.UNKNOWN


@pytest.mark.parametrize("seed", range(6))
def test_jobs_of_all_sizes_beside_takeovers_stay_within_the_memory(seed):
    """Guards against jobs that fill the memory while one owner follows the other."""
    pick = random.Random(seed)
    world = _ready(keep_ended_s=5.0)
    for round_number in range(12):
        if round_number % 4 == 3:
            world.run_until(lambda: world.owner is not None)
            world.kill(world.owner.name)
            world.start(f"n{round_number}")
        many = [
            _large(world, steps=pick.choice((1, 5, 30, LARGE_STEPS)))
            for _ in range(pick.randrange(10, 40))
        ]
        _submit_all(world, *many)
        assert _stored_bytes(world) <= BUDGET * (1 + gate.ALLOWANCE_SHARE)
        world.run(pick.random())
        world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
        ordinary = world.job()
        assert world.submit(ordinary).verdict == entry.Verdict.DONE
        _run_until_completed(world, ordinary)


def test_job_that_may_take_effect_late_is_not_refused_as_new():
    """Guards against a refusal that says that a job never runs, while its write is on its way."""
    world = _ready()
    job = _large(world)
    faults = world.members["e0"].store.faults
    faults.lose_answers, faults.delay_s = True, 6.0
    assert world.submit(job, at="e0").verdict == entry.Verdict.UNKNOWN
    faults.lose_answers, faults.delay_s = False, 0.0
    _submit_all(world, *(_large(world) for _ in range(10)))
    assert world.submit(_large(world), at="e1").verdict == entry.Verdict.OVERLOADED
    assert world.submit(job, at="e1").verdict == entry.Verdict.DONE
    world.run(8.0)
    assert _stored_bytes(world) <= BUDGET


def test_job_that_may_take_effect_late_is_not_refused_for_load():
    world = _ready()
    job = world.job()
    faults = world.members["e0"].store.faults
    faults.lose_answers, faults.delay_s = True, 6.0
    assert world.submit(job, at="e0").verdict == entry.Verdict.UNKNOWN
    faults.lose_answers, faults.delay_s = False, 0.0
    member = world.members["e1"]
    member.node._load.update(term=99, waits_s={"plans": 1_000.0}, now=member.clocks.now())
    assert world.submit(world.job(), at="e1").verdict == entry.Verdict.OVERLOADED
    member.node._load.update(term=99, waits_s={"plans": 1_000.0}, now=member.clocks.now())
    assert world.submit(job, at="e1").verdict == entry.Verdict.DONE


def test_tasks_in_progress_stay_within_the_memory(monkeypatch):
    """Guards against small tasks of which the targets hold more than the owner."""
    monkeypatch.setattr(ledger, "RUN_BYTES", MEMORY_BYTES * ledger.RUNS_SHARE / 20)
    world = _ready()
    job = world.job(jobs.Step(count=100, cpu_millis=100), work_s=60.0)
    world.submit(job)
    world.run(3.0)
    running = sum(len(engine.runs) for engine in world.engines.values())
    assert running == 20
    world.cancel(job.job_id)
    other = world.job()
    world.submit(other)
    _run_until_completed(world, other)
