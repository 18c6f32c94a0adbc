"""One job with many steps, inside all limits of the pages; the jobs of others must go on."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import platform_standins as standins  # noqa: E402

STEPS = 10_000
WORKERS = 8
WORKER_CPU = 32_000
TRAFFIC_S = 30.0
LARGE_JOB_AT_S = 4.0
JOB_INTERVAL_S = 2.0
FINISH_S = standins.BOUNDS["finish_s"]
IDLE_S = 3.0
WATCHED_S = 8.0
SMALL_TASKS = 6
SMALL_CPU = 2300
LARGE_JOB = {"spec": "work 0.2", "steps": [{"count": 1, "cpu": 100} for _ in range(STEPS)]}
SMALL_JOB = {
    "spec": "work 0.7",
    "steps": [{"count": SMALL_TASKS, "cpu": SMALL_CPU, "mem_mb": 4600, "estimate_ms": 700}],
}


async def case(record: standins.Record, trouble: bool) -> bool:
    deployment = standins.Deployment(record=record, entries=3, workers=WORKERS)
    try:
        await deployment.start()
        return await _play(deployment, record, trouble)
    finally:
        deployment.close()


async def _play(deployment: standins.Deployment, record: standins.Record, trouble: bool) -> bool:
    began_at = time.monotonic()
    accepted: dict[str, float] = {}
    large: asyncio.Task[standins.Response] | None = None
    sending = []
    while time.monotonic() - began_at < TRAFFIC_S:
        if trouble and large is None and time.monotonic() - began_at >= LARGE_JOB_AT_S:
            plans = standins.Client(deployment, queue="plan")
            large = asyncio.ensure_future(plans.submit(standins.new_job_id(), LARGE_JOB))
        sending.append(asyncio.ensure_future(_submit_small(deployment, accepted)))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*sending)
    if large is not None:
        record.write(f"the large job was answered with {(await large).status}")
    record.write(f"the traffic ends; {len(accepted)} of {len(sending)} small jobs were accepted")
    await asyncio.sleep(FINISH_S)
    stalled = await _watch(deployment, accepted)
    for job_id, at in accepted.items():
        done = sum(end[3] == "done" for end in deployment.ends(job_id))
        record.write(
            f"small job {job_id}, accepted at {at:.2f}: {len(deployment.starts(job_id))} starts, "
            f"{done} of {SMALL_TASKS} tasks done"
        )
    for entry in deployment.entries:
        log = entry.log_path.read_text(encoding="utf-8", errors="replace")
        record.write(
            f"{entry.name}: was the owner {log.count('owner.gained')} times, "
            f"{entry.resident_mb():.0f} MB resident"
        )
    record.write(
        f"jobs with nothing running for {IDLE_S} s beside free capacity: {sorted(stalled)}"
    )
    return not stalled


async def _submit_small(deployment: standins.Deployment, accepted: dict[str, float]) -> None:
    client = standins.Client(deployment, queue="quote")
    job_id = standins.new_job_id()
    if (await client.submit(job_id, SMALL_JOB)).status == 200:
        accepted[job_id] = deployment.record.now()


async def _watch(deployment: standins.Deployment, accepted: dict[str, float]) -> set[str]:
    """Returns the jobs that have nothing running for a while although there is capacity."""
    idle_since: dict[str, float] = {}
    stalled = set()
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        now = time.monotonic()
        running = [task for worker in deployment.workers for task in worker.running]
        # At most the processor time of a small job's task for each task that runs.
        room = len(running) * SMALL_CPU < WORKERS * WORKER_CPU / 2
        for job_id in accepted:
            done = sum(end[3] == "done" for end in deployment.ends(job_id)) >= SMALL_TASKS
            if done or not room or any(task.startswith(job_id) for task in running):
                idle_since.pop(job_id, None)
            elif now - idle_since.setdefault(job_id, now) >= IDLE_S:
                stalled.add(job_id)
        await asyncio.sleep(0.05)
    return stalled


standins.run_case(case, HERE)
