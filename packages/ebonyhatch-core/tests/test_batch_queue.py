"""Queues of jobs: lanes, tenants, priorities."""

from __future__ import annotations

from ebonyhatch.core import batch_queue, entities, resources, rows


def job(job_id, tenant="a", lane=rows.Lane.SHORT):
    entity = entities.Job(
        job_id=job_id, work_class="plan", tenant=tenant, demand=resources.Resources(slots=1)
    )
    return rows.Job(job=entity, lane=lane)


def test_evicted_jobs_go_first():
    queue = batch_queue.BatchQueue()
    queue.push(job("new"), priority=0)
    queue.push(job("again"), priority=0, first=True)
    waiting = queue.waiting(priority=0, lane=rows.Lane.SHORT)["a"]
    assert [row.job.job_id for row in waiting.jobs()] == ["again", "new"]


def test_late_tenant_starts_at_the_service_of_waiting_tenants():
    queue = batch_queue.BatchQueue()
    first = job("first")
    queue.push(first, priority=0)
    queue.charge(first, priority=0, amount=100.0)
    queue.push(job("late", tenant="b"), priority=0)
    assert queue.service_received(priority=0, lane=rows.Lane.SHORT, tenant="b") == 100.0


def test_sizes_and_priorities_follow_removals():
    queue = batch_queue.BatchQueue()
    low, high = job("low", lane=rows.Lane.LONG), job("high")
    queue.push(low, priority=0)
    queue.push(high, priority=5)
    assert queue.priorities() == [5, 0]
    assert queue.remove(high, priority=5)
    assert not queue.remove(high, priority=5)
    assert queue.priorities() == [0]
    assert (len(queue), queue.size(rows.Lane.LONG)) == (1, 1)
