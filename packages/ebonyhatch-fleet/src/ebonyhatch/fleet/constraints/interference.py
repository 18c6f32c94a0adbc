"""Places fillers where serving tasks stay within their limits.

Fillers are tasks that use processor time left over by others. Margins and costs are those of the
interference model: limit divided by tail, and the part of it that a filler takes.
"""

from __future__ import annotations

from ebonyhatch.fleet import interference, pacing, rows
from ebonyhatch.fleet.constraints import registry

INTERFERENCE_PENALTY = 1.5
"""Weight of a filler's cost in margin, for each serving task on the target."""

SAME_IMAGE_SCORE = 1.0
"""Score of a target whose serving tasks all run the step's image: a filler that interferes with one
image does so with all of its tasks, and fillers that don't interfere with it can be placed on such
a target."""

PACKING_SCORE = 0.5
"""Score of a full target for a serving task: empty targets are left for other work."""


@registry.predicate("harm", applies=lambda step: step.filler)
def keeps_margins(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Returns whether all serving tasks would stay within their limits with one more filler."""
    if not step.step.filler:
        return True
    fraction = interference.full_fraction(row, step)
    for serving in context.tails.margins(row, step.step.image):
        cost = serving.upper_interference * fraction
        if cost + serving.present_cost < pacing.NEGLIGIBLE_COST:
            continue
        if serving.baseline - serving.present_cost - cost < pacing.DESIRED_MARGIN:
            return False
    return True


@registry.scorer("harm", applies=lambda step: step.filler or step.tail_limit_s > 0)
def interference_score(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> float:
    """Prefers targets where a filler costs least, and for serving tasks those with their image."""
    spec = step.step
    if spec.filler:
        fraction = interference.full_fraction(row, step)
        margins = context.tails.margins(row, spec.image)
        cost = sum(serving.interference * fraction for serving in margins)
        return -INTERFERENCE_PENALTY * cost
    if not spec.tail_limit_s:
        return 0.0
    used = 1 - row.free_cpu / (row.target.cpu_millis or 1)
    return SAME_IMAGE_SCORE * _image_similarity(spec.image, row) + PACKING_SCORE * used


def _image_similarity(image: str, row: rows.TargetRow) -> float:
    """Returns the similarity of a target's serving tasks to an image, from -1 to 1.

    One more image degrades a target less if it runs several images already.
    """
    images = [run.task.step.step.image for run in interference.serving_runs(row)]
    if not images:
        return 0.0
    same = images.count(image)
    return same / len(images) if same else -1.0 / len(set(images))
