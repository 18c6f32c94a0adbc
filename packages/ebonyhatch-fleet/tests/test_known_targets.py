from __future__ import annotations

import random

import msgspec
import pytest
from ebonyhatch.fleet import jobs, known_targets, progress, queues, rows, targets
from placed import run_on

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p")
TARGET = targets.Target(target_id="t", address="t:1", pool="p", failure_domain="a", born=1)


@pytest.mark.parametrize("seed", range(20))
def test_a_record_kept_from_before_equals_a_new_one(seed):
    pick = random.Random(seed)
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=(jobs.Step(count=40),))
    step = progress.new_steps(rows.JobRow(job=job, queue=QUEUE), 0)[0]
    row = rows.TargetRow(target=TARGET)
    recorded = None
    for index in range(40):
        field = pick.choice(("confirmed", "reachable", "listed"))
        setattr(row, field, pick.random() < 0.8)
        if pick.random() < 0.2:
            changed = {"draining": pick.random() < 0.5, "born": pick.randrange(3)}
            row.target = msgspec.structs.replace(row.target, **changed)
        if pick.random() < 0.5:
            run_on(row, step, index)
        recorded = known_targets.describe(row, recorded=recorded)
        assert recorded == known_targets.describe(row)
