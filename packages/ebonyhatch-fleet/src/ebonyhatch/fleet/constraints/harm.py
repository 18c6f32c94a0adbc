"""Fillers go where they leave serving tasks within their limits."""

from __future__ import annotations

from ebonyhatch.fleet import pacing, rows, tails
from ebonyhatch.fleet.constraints import registry

HARM_SCORE = 1.5
"""Score that a filler's cost in margin takes, for each serving task beside it."""

SAME_IMAGE_SCORE = 1.0
"""Score of a target whose serving tasks all run the step's image: what harms one image harms all
of its tasks, so that fillers that don't can go there."""

PACKING_SCORE = 0.5
"""Score of a full target for a serving task: targets without any are left for other work."""


@registry.predicate("harm")
def is_harmless(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Tell whether one more filler would leave all serving tasks within their limits."""
    if not step.step.filler:
        return True
    fillers = tails.filler_runs(row)
    for run in tails.serving_runs(row):
        cost = context.tails.cautious_cost(run, step)
        before = sum(context.tails.cautious_cost(run, filler.task.step) for filler in fillers)
        if cost + before < pacing.FREE_COST:
            continue
        own = context.tails.own_margin(run.task.step.job.job.job_id)
        if own - before - cost < pacing.WANTED_MARGIN:
            return False
    return True


@registry.scorer("harm")
def harm_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefer targets where a filler costs least, and for serving tasks those of their image."""
    wanted = step.step
    if wanted.filler:
        cost = sum(context.tails.extra_cost(run, step) for run in tails.serving_runs(row))
        return -HARM_SCORE * cost
    if not wanted.tail_limit_s:
        return 0.0
    used = 1 - row.free_cpu / (row.target.cpu_millis or 1)
    return SAME_IMAGE_SCORE * _likeness(wanted.image, row) + PACKING_SCORE * used


def _likeness(image: str, row: rows.TargetRow) -> float:
    """Tell how much the serving tasks of a target are of an image, from -1 to 1.

    A target that is mixed already is spoilt less by one more image than one that isn't.
    """
    images = [run.task.step.step.image for run in tails.serving_runs(row)]
    if not images:
        return 0.0
    same = images.count(image)
    return same / len(images) if same else -1.0 / len(set(images))
