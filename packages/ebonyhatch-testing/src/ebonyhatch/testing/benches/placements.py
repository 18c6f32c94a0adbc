"""Speed of placement with many workers, a long queue and tasks that finish at the next tick."""

from __future__ import annotations

import time

from ebonyhatch.core import commands, entities, events, resources, scheduler
from ebonyhatch.testing import workloads

CAPACITY = resources.Resources(slots=8, connections=64, cores=32.0, memory_gb=125.0)
DEMAND = resources.Resources(slots=1, connections=1, cores=2.0, memory_gb=4.0)
TICK_S = 0.1
QUEUED = 1000


def measure(*, policy: str, workers: int, placements: int) -> float:
    """Returns the processor time of one placement with 1,000 jobs always queued, seconds."""
    policy_under_test = scheduler.build(name=policy, seed=1)
    classes = (entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH),)
    joined = [
        events.WorkerJoined(worker_id=f"w{number}", failure_domain="a", rack="r", capacity=CAPACITY)
        for number in range(workers)
    ]
    policy_under_test.tick(
        now=0.0, events=[events.ClassesChanged(classes=classes, tenants=()), *joined]
    )
    now = 0.0
    number = 0
    waiting = 0
    placed = 0
    processor_s = 0.0
    finished: list[events.Event] = []
    while placed < placements:
        now += TICK_S
        missing = QUEUED - waiting
        submitted = [_submitted(number + offset) for offset in range(missing)]
        number += missing
        waiting += missing
        started_at = time.process_time()
        decisions = policy_under_test.tick(now=now, events=[*finished, *submitted])
        processor_s += time.process_time() - started_at
        starts = [command for command in decisions if isinstance(command, commands.StartTask)]
        placed += len(starts)
        waiting -= len(starts)
        finished = [events.TaskFinished(task_id=start.task_id, run_s=20.0) for start in starts]
    return processor_s / placed


def _submitted(number: int) -> events.JobSubmitted:
    job = entities.Job(
        job_id=f"j{number}",
        work_class="plan",
        tenant=workloads.TENANTS[number % len(workloads.TENANTS)],
        demand=DEMAND,
        expected_run_s=20.0,
    )
    return events.JobSubmitted(job=job)
