"""The write of a new job is carried out late; its caller cancels the job meanwhile."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import platform_standins as standins  # noqa: E402

CANCEL_S = standins.BOUNDS["cancel_ms"] / 1000
STABLE_S = standins.BOUNDS["stable_window_ms"] / 1000
LATE_S = 5.5
WATCHED_S = 25.0
JOB = {
    "spec": "work 4.0",
    "steps": [
        {"count": 2, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 4000},
        {"count": 2, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 4000, "after": [0]},
    ],
}


class LateWrites:
    """Loses the answers to the writes of one job's record; they are carried out late.

    All of them are carried out at one moment, 1 to 6 s after each was sent, as long as its condition
    holds then. All other writes are answered.
    """

    def __init__(self, *, job_id: str, record: standins.Record) -> None:
        self._job_id = job_id
        self._record = record
        self._late_at: float | None = None
        self.last_at = 0.0
        self.lost = 0
        self.answered = 0

    def __call__(self, body: dict[str, Any]) -> float:
        new = any(self._job_id in one["key"] for one in body.get("expected", ()))
        if not new:
            self.answered += self._late_at is not None
            return 0.0
        now = time.monotonic()
        self._late_at = self._late_at or now + LATE_S
        self.lost += 1
        self.last_at = self._record.now()
        self._record.write(
            f"the store gives no answer to a write, done {self._late_at - now:.2f} s later"
        )
        return max(0.01, self._late_at - now)


async def case(record: standins.Record, trouble: bool) -> bool:
    deployment = standins.Deployment(record=record, entries=3, workers=4)
    try:
        await deployment.start()
        return await _play(deployment, record, trouble)
    finally:
        deployment.close()


async def _play(deployment: standins.Deployment, record: standins.Record, trouble: bool) -> bool:
    client = standins.Client(deployment, queue="plan")
    others = asyncio.ensure_future(_ordinary_traffic(deployment))
    await asyncio.sleep(2.0)
    job_id = standins.new_job_id()
    late = LateWrites(job_id=job_id, record=record)
    if trouble:
        deployment.store.before_write = late
    submitted = await client.send("POST", job_id, JOB)
    cancelled = await client.send("DELETE", job_id)
    while cancelled.status not in (200, 202, 204, 410):
        await asyncio.sleep(0.5)
        cancelled = await client.send("DELETE", job_id)
    acknowledged_at = record.now()
    record.write(f"the job: POST {submitted.status}, DELETE acknowledged with {cancelled.status}")
    await asyncio.sleep(WATCHED_S)
    state = await client.send("GET", job_id)
    others.cancel()
    record.write(
        f"writes of the job without an answer: {late.lost}; answered meanwhile: {late.answered}"
    )
    in_touch_from = max(acknowledged_at + CANCEL_S, late.last_at + STABLE_S if trouble else 0.0)
    starts = [start for start in deployment.starts(job_id) if start[0] > in_touch_from]
    record.write(f"state at the end: {state.status} {state.body}")
    record.write(f"starts later than {in_touch_from:.2f}: {starts}")
    return not starts


async def _ordinary_traffic(deployment: standins.Deployment) -> None:
    client = standins.Client(deployment, queue="quote")
    body = {
        "spec": "work 0.3",
        "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}],
    }
    while True:
        await client.submit(standins.new_job_id(), body)
        await asyncio.sleep(0.4)


standins.run_case(case, HERE)
