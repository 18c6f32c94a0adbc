from __future__ import annotations

import gc
import tracemalloc

import pytest
from ebonyhatch.fleet import jobs, progress, queues, scheduler
from ebonyhatch.fleet.budget import ledger, price

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", slack_s=10.0)


def _job(*steps: jobs.Step, **fields) -> jobs.Job:
    return jobs.Job(job_id="0" * 16, queue="q", spec="work", steps=steps, accepted_at=1.0, **fields)


@pytest.mark.parametrize(
    "job",
    [
        _job(jobs.Step(count=20_000, cpu_millis=3_500, memory_mb=6_400)),
        _job(*(jobs.Step(count=1, cpu_millis=100) for _ in range(2_000))),
        _job(*(jobs.Step(count=1, cpu_millis=100, after=(0,) * (n > 0)) for n in range(2_000))),
        _job(*(jobs.Step(count=1, after=tuple(range(n))) for n in range(200))),
        _job(jobs.Step(count=1_000, gang=True)),
        _job(
            *(jobs.Step(count=1, cpu_millis=100) for _ in range(200)),
            occurrences=100,
            first_at=1.0,
            interval_s=0.01,
        ),
    ],
    ids=["tasks", "wide", "chain", "joined", "gang", "timed"],
)
def test_job_takes_no_more_memory_than_its_price(job):
    """Guards against jobs that are accepted although they exceed the memory of the owner."""
    record = progress.encode_accepted(job=job, queue=QUEUE)
    gc.collect()
    tracemalloc.start()
    try:
        subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
        subject.reconciled = subject.may_place = True
        row = scheduler.restore_job(
            accepted=progress.decode_accepted(bytes(bytearray(record))),
            durable=None,
            configuration=queues.Configuration(version=0),
            inherited=False,
        )
        subject.add_job(row, now=2.0, wall=100.0)
        subject.tick(now=2.0, wall=100.0)
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used_bytes < price.price(job, record_bytes=len(record)) + 30_000


def test_ordinary_jobs_and_jobs_of_many_tasks_that_reserve_capacity_are_cheap():
    ordinary = _job(jobs.Step(count=8, cpu_millis=3_500), jobs.Step(count=8, after=(0,)))
    assert price.price(ordinary, record_bytes=500) <= ledger.SMALL_BYTES
    many = _job(jobs.Step(count=5_000, cpu_millis=3_500))
    assert price.price(many, record_bytes=500) <= ledger.SMALL_BYTES


@pytest.mark.parametrize("fields", [{}, {"filler": True, "cpu_millis": 900}, {"memory_mb": 1}])
def test_tasks_that_may_all_be_in_progress_at_once_are_dear(fields):
    """Guards against a few bytes by which each target gets thousands of runs."""
    job = _job(jobs.Step(count=20_000, **fields))
    assert price.price(job, record_bytes=300) > 20_000 * price.RUN_BYTES
