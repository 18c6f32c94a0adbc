"""Metrics of a cell, from its events and commands."""

from __future__ import annotations

from ebonyhatch.core import commands, entities, events, resources
from ebonyhatch.node import cell_observer, metrics


def request(request_id, arrived_at):
    return entities.Request(
        request_id=request_id,
        service="s",
        work_class="quote",
        tenant="t",
        arrived_at=arrived_at,
        deadline_at=arrived_at + 1,
        idempotent=True,
        demand=resources.Resources(slots=1),
    )


def job(job_id):
    return entities.Job(
        job_id=job_id, work_class="cutting", tenant="t", demand=resources.Resources(slots=1)
    )


def test_measures_requests_jobs_and_evictions_and_keeps_nothing_that_ended():
    measures = metrics.Metrics()
    observer = cell_observer.CellObserver(measures=measures)
    observe = observer.observe
    observe(now=10.5, received=[events.RequestArrived(request=request("r", 10.0))], decided=[])
    send = commands.SendRequest(request_id="r", attempt=1, worker_id="w", deadline_at=11.0)
    observe(now=10.5, received=[], decided=[send])
    answered = events.RequestAnswered(request_id="r", worker_id="w", service_s=0.2)
    observe(now=10.7, received=[answered], decided=[])

    observe(now=20.0, received=[events.JobSubmitted(job=job("j"))], decided=[])
    start = commands.StartTask(task_id="j/1", job_id="j", attempt=1, worker_id="w")
    evict = commands.EvictTask(task_id="j/1", worker_id="w", checkpoint=False)
    observe(now=21.0, received=[], decided=[start])
    observe(now=25.0, received=[], decided=[evict])
    observe(now=30.0, received=[events.TaskFinished(task_id="j/1", run_s=3.0)], decided=[])

    text = measures.render().decode()
    assert 'ebonyhatch_wait_seconds_sum{tenant="t",work_class="quote"} 0.5' in text
    assert 'ebonyhatch_service_seconds_sum{tenant="t",work_class="quote"} 0.2' in text
    assert 'ebonyhatch_wait_seconds_sum{tenant="t",work_class="cutting"} 1.0' in text
    assert 'ebonyhatch_total_seconds_sum{tenant="t",work_class="cutting"} 10.0' in text
    assert 'ebonyhatch_redone_seconds_total{work_class="cutting"} 4.0' in text
    assert observer.open_work == 0
