"""Jobs with many tasks, each inside all limits; processes over the memory of their machine are killed."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import platform_standins as standins  # noqa: E402

LARGE_JOBS = 30
TASKS = 20_000
TRAFFIC_S = 90.0
ENDS_PER_MACHINE = 3
MACHINES = 2
LARGE_JOB = {
    "spec": "work 2.0",
    "steps": [{"count": TASKS, "cpu": 3500, "mem_mb": 6400, "estimate_ms": 2000}],
}
SMALL_JOB = {
    "spec": "work 0.7",
    "steps": [{"count": 6, "cpu": 2300, "mem_mb": 4600, "estimate_ms": 700}],
}


async def case(record: standins.Record, trouble: bool) -> bool:
    deployment = standins.Deployment(record=record, entries=3, workers=8)
    try:
        await deployment.start()
        return await _play(deployment, record, trouble)
    finally:
        deployment.close()


async def _play(deployment: standins.Deployment, record: standins.Record, trouble: bool) -> bool:
    platform = asyncio.ensure_future(_enforce_memory(deployment, record))
    quotes = standins.Client(deployment, queue="quote")
    plans = standins.Client(deployment, queue="plan")
    began_at = time.monotonic()
    sent, unanswered = 0, 0
    while time.monotonic() - began_at < TRAFFIC_S:
        if trouble and sent < LARGE_JOBS:
            sent += 1
            await plans.send("POST", standins.new_job_id(), LARGE_JOB)
        response = await quotes.send("POST", standins.new_job_id(), SMALL_JOB)
        unanswered += response.status != 200
        await asyncio.sleep(1.0)
        if _broken(deployment):
            break
    platform.cancel()
    for entry in deployment.entries:
        record.write(f"{entry.name}: ended {len(entry.exits)} times, {entry.resident_mb():.0f} MB")
    record.write(f"ordinary jobs that weren't accepted at once: {unanswered}")
    return not _broken(deployment)


def _broken(deployment: standins.Deployment) -> bool:
    often = [entry for entry in deployment.entries if len(entry.exits) >= ENDS_PER_MACHINE]
    return len(often) >= MACHINES


async def _enforce_memory(deployment: standins.Deployment, record: standins.Record) -> None:
    """Kills processes over the memory of their machine, and restarts what has ended."""
    while True:
        for entry in deployment.entries:
            resident_mb = entry.resident_mb()
            if resident_mb > standins.MEMORY_MB:
                record.write(
                    f"entry {entry.name} has {resident_mb:.0f} MB of {standins.MEMORY_MB} MB"
                )
                entry.kill()
            if entry.poll() is not None:
                await asyncio.sleep(standins.RESTART_DELAY_S)
                entry.start()
        await asyncio.sleep(0.05)


standins.run_case(case, HERE)
