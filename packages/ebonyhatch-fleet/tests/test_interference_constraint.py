"""Placement of serving tasks and fillers by their interference."""

from __future__ import annotations

import placed
import pytest
from ebonyhatch.fleet import interference, jobs, progress, queues, reserve, rows, tables, targets
from ebonyhatch.fleet.constraints import interference as interference_constraint
from ebonyhatch.fleet.constraints import registry

CPU_MILLIS = 32_000
LIMIT_S = 0.018


def _row(number: int) -> rows.TargetRow:
    target = targets.Target(
        target_id=f"t{number}",
        address=f"t{number}:1",
        pool="p",
        failure_domain="a",
        cpu_millis=CPU_MILLIS,
        memory_mb=1_000,
    )
    return rows.TargetRow(target=target, free_cpu=CPU_MILLIS, free_memory=1_000)


def _step(image: str, *, filler: bool = False, number: int = 0) -> rows.StepRow:
    step = jobs.Step(
        count=8,
        cpu_millis=6_000,
        image=image,
        filler=filler,
        long_running=not filler,
        tail_limit_s=0.0 if filler else LIMIT_S,
    )
    job = jobs.Job(job_id=f"{number:016x}", queue="q", spec="", steps=(step,))
    queue = queues.Queue(name="q", host="", prefix="", pool="p")
    return progress.new_steps(rows.JobRow(job=job, queue=queue), 0)[0]


def _context(model: interference.InterferenceModel) -> registry.Context:
    reserved = reserve.Reserve(all_tables=tables.Tables())
    return registry.Context(now=0.0, tails=model, kept=reserved.is_reserved)


def test_a_serving_task_prefers_targets_with_its_image_then_mixed_targets():
    """Fillers that interfere with an image can be placed only where none of its tasks run."""
    same, other, mixed = _row(0), _row(1), _row(2)
    placed.run_on(same, _step("a", number=1), 0)
    placed.run_on(other, _step("b", number=2), 0)
    placed.run_on(mixed, _step("b", number=3), 0)
    placed.run_on(mixed, _step("c", number=4), 0)
    for row in (same, other):
        # All have the same free capacity.
        row.free_cpu = mixed.free_cpu
    step, context = _step("a", number=5), _context(interference.InterferenceModel())
    scores = [
        interference_constraint.interference_score(step, row, context)
        for row in (same, mixed, other)
    ]
    assert scores == sorted(scores, reverse=True) and len(set(scores)) == 3


@pytest.mark.parametrize(("interference_value", "allowed"), [(0.5, True), (12.0, False)])
def test_a_filler_is_allowed_where_serving_tasks_stay_within_their_limits(
    interference_value, allowed
):
    model, row = interference.InterferenceModel(), _row(0)
    model.restore((("a", "f", interference_value),))
    placed.run_on(row, _step("a"), 0)
    filler = _step("f", filler=True, number=1)
    assert interference_constraint.keeps_margins(filler, row, _context(model)) == allowed


def test_few_fillers_of_unknown_interference_join_a_serving_task():
    row, filler = _row(0), _step("f", filler=True, number=1)
    placed.run_on(row, _step("a"), 0)
    context = _context(interference.InterferenceModel())
    count = 0
    while interference_constraint.keeps_margins(filler, row, context):
        placed.run_on(row, filler, count)
        count += 1
    assert count <= 1
