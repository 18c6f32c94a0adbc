"""Timed jobs whose occurrences overlap, and the death of the entry that gave the last order."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import stand_ins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EARLIER_JOB = "00000000000000a1"
TIMED_JOB = "00000000000000b2"
RUNS = 28
INTERVAL_MS = 200
OPEN_AT_ONCE = 16
CPU = 12_000


def work_s(task: str, spec: str) -> float:
    """Returns the length of a task, seconds; occurrences of the timed job overlap."""
    job_id, occurrence, _, _ = task.split(".")
    if job_id == EARLIER_JOB:
        return 5.0
    number = int(occurrence)
    return 12.0 + 1.5 * number if number < OPEN_AT_ONCE else 1.2


async def submit(world: stand_ins.World, job_id: str, job: dict) -> None:
    if not await world.submit(job_id, job, demand=CPU):
        raise stand_ins.CannotRun("a job was not accepted")


async def next_order(world: stand_ins.World) -> int:
    """Waits for the next start, and kills the entry that ordered it; returns its index."""
    index = world.owner_index()
    if index < 0:
        raise stand_ins.CannotRun("no entry gives orders")
    arrived = asyncio.Event()

    def on_start(worker: stand_ins.Worker, run: stand_ins.Run, fence: int) -> None:
        if not arrived.is_set():
            if TROUBLE:
                world.entries.send(index, signal.SIGKILL)
            arrived.set()

    for worker in world.workers:
        worker.on_start = on_start
    await asyncio.wait_for(arrived.wait(), 15)
    return index


async def play() -> int:
    path = str(FOLDER / "record.txt")
    world = stand_ins.World(record_path=path, entries=3, workers=24, cpu=16_000, work_s=work_s)
    state = ""
    try:
        await world.start()
        await asyncio.sleep(2.0)
        step = {"count": 8, "cpu": CPU, "mem_mb": 256, "estimate_ms": 5000}
        await submit(world, EARLIER_JOB, {"spec": "cutting plan", "steps": [step]})
        await asyncio.sleep(0.5)
        step = {"count": 1, "cpu": CPU, "mem_mb": 256, "estimate_ms": 12000}
        timed = {
            "spec": "stock count", "max_runs": RUNS, "interval_ms": INTERVAL_MS,
            "first_ms": int(time.time() * 1000) + 300, "steps": [step],
        }
        await submit(world, TIMED_JOB, timed)
        await asyncio.sleep(9.0)
        index = await next_order(world)
        if TROUBLE:
            await asyncio.sleep(1.0)
            await world.entries.start(index)
        until = time.monotonic() + 45
        while time.monotonic() < until:
            state = (await world.state(TIMED_JOB))[1]
            if state == "completed":
                break
            await asyncio.sleep(1.0)
        await asyncio.sleep(1.5)
    finally:
        await world.stop()
    broken = stand_ins.twice(path)
    for line in broken:
        world.record.write("BROKEN TWICE: " + line)
        print("TWICE:", line)
    world.record.write("result", broken=len(broken), state=state)
    print(f"{len(broken)} broken; the timed job is {state or 'not answered'}")
    return 1 if broken else 0


stand_ins.main(play)
