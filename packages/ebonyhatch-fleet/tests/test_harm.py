"""Where serving tasks and fillers go, with regard to each other."""

from __future__ import annotations

import placed
import pytest
from ebonyhatch.fleet import jobs, progress, queues, reserve, rows, tables, tails, targets
from ebonyhatch.fleet.constraints import harm, registry

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


def _context(model: tails.TailModel) -> registry.Context:
    kept = reserve.Reserve(all_tables=tables.Tables())
    return registry.Context(now=0.0, tails=model, kept=kept.keeps)


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
    step, context = _step("a", number=5), _context(tails.TailModel())
    scores = [harm.harm_score(step, row, context) for row in (like, mixed, pure)]
    assert scores == sorted(scores, reverse=True) and len(set(scores)) == 3


@pytest.mark.parametrize(("harms", "allowed"), [(0.5, True), (12.0, False)])
def test_a_filler_goes_where_the_tasks_beside_stay_within_their_limits(harms, allowed):
    model, row = tails.TailModel(), _row(0)
    model.restore((("a", "f", harms),))
    placed.run_on(row, _step("a"), 0)
    filler = _step("f", filler=True, number=1)
    assert harm.is_harmless(filler, row, _context(model)) == allowed


def test_of_fillers_whose_effect_nobody_knows_few_go_beside_a_serving_task():
    row, filler = _row(0), _step("f", filler=True, number=1)
    placed.run_on(row, _step("a"), 0)
    context = _context(tails.TailModel())
    count = 0
    while harm.is_harmless(filler, row, context):
        placed.run_on(row, filler, count)
        count += 1
    assert count <= 1
