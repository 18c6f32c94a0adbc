"""Where serving tasks and fillers go, with regard to each other."""

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


def test_a_serving_task_prefers_its_image_then_what_is_mixed_already():
    """Fillers that harm one image find a place only where none of its tasks run."""
    like, pure, mixed = _row(0), _row(1), _row(2)
    placed.run_on(like, _step("a", number=1), 0)
    placed.run_on(pure, _step("b", number=2), 0)
    placed.run_on(mixed, _step("b", number=3), 0)
    placed.run_on(mixed, _step("c", number=4), 0)
    for row in (like, pure):
        # The same room is free on all.
        row.free_cpu = mixed.free_cpu
    step, context = _step("a", number=5), _context(interference.InterferenceModel())
    scores = [
        interference_constraint.interference_score(step, row, context)
        for row in (like, mixed, pure)
    ]
    assert scores == sorted(scores, reverse=True) and len(set(scores)) == 3


@pytest.mark.parametrize(("interference_value", "allowed"), [(0.5, True), (12.0, False)])
def test_a_filler_goes_where_the_tasks_beside_stay_within_their_limits(interference_value, allowed):
    model, row = interference.InterferenceModel(), _row(0)
    model.restore((("a", "f", interference_value),))
    placed.run_on(row, _step("a"), 0)
    filler = _step("f", filler=True, number=1)
    assert interference_constraint.keeps_margins(filler, row, _context(model)) == allowed


def test_of_fillers_whose_effect_nobody_knows_few_go_beside_a_serving_task():
    row, filler = _row(0), _step("f", filler=True, number=1)
    placed.run_on(row, _step("a"), 0)
    context = _context(interference.InterferenceModel())
    count = 0
    while interference_constraint.keeps_margins(filler, row, context):
        placed.run_on(row, filler, count)
        count += 1
    assert count <= 1
