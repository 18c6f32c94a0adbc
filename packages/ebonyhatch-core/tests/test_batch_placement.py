"""Choice of the worker for a job."""

from __future__ import annotations

from ebonyhatch.core import commands, default_scheduler, entities, events, resources

CAPACITY = resources.Resources(slots=8, connections=64, cores=8.0, memory_gb=16.0)


def test_job_goes_back_to_the_only_worker_after_a_failed_start():
    scheduler = default_scheduler.DefaultScheduler(seed=1)
    plan = entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH)
    demand = resources.Resources(slots=1, cores=1.0)
    job = entities.Job(job_id="j1", work_class="plan", tenant="t", demand=demand)
    joined = events.WorkerJoined(worker_id="w1", failure_domain="a", rack="r", capacity=CAPACITY)
    first = scheduler.tick(
        now=0.0,
        events=[
            events.ClassesChanged(classes=(plan,), tenants=()),
            joined,
            events.JobSubmitted(job=job),
        ],
    )
    failed = events.TaskStartFailed(task_id=first[0].task_id, reason="connection refused")
    decided = scheduler.tick(now=1.0, events=[failed])
    for second in range(2, 60):
        decided += scheduler.tick(now=float(second), events=[])
    starts = [command for command in decided if isinstance(command, commands.StartTask)]
    assert [start.worker_id for start in starts[:1]] == ["w1"]
