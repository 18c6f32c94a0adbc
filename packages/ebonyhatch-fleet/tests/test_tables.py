from __future__ import annotations

import random

import pytest
from ebonyhatch.fleet import interference, jobs, progress, queues, rows, tables, targets
from placed import run_on

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p")
KINDS = (
    jobs.Step(count=20, long_running=True, tail_limit_s=0.2),
    jobs.Step(count=20, tail_limit_s=0.2),
    jobs.Step(count=20, filler=True),
    jobs.Step(count=20),
)


@pytest.mark.parametrize("seed", range(10))
def test_serving_runs_and_fillers_equal_those_among_all_runs(seed):
    pick = random.Random(seed)
    job = jobs.Job(job_id="0" * 16, queue="q", spec="", steps=KINDS)
    steps = progress.new_steps(rows.JobRow(job=job, queue=QUEUE), 0)
    row = rows.TargetRow(
        target=targets.Target(target_id="t", address="t:1", pool="p", failure_domain="a")
    )
    left = [(step, index) for step in steps for index in range(step.step.count)]
    pick.shuffle(left)
    while left:
        for _ in range(pick.randrange(4)):
            if left:
                run_on(row, *left.pop())
        for run in list(row.runs.values()):
            if pick.random() < 0.1:
                run.state = rows.RunState.STOPPING
            if pick.random() < 0.1:
                tables.release(run)
        serving = [run for run in row.runs.values() if run.task.step.step.tail_limit_s]
        kept = [run for run in serving if run.state != rows.RunState.STOPPING]
        fillers = [run for run in row.runs.values() if run.task.step.step.filler]
        assert interference.serving_runs(row) == kept
        assert interference.filler_runs(row) == fillers
