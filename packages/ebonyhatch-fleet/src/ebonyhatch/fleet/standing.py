"""Evidence against targets: those that fail what others can do get nothing for a while."""

from __future__ import annotations

from ebonyhatch.fleet import rows

FAILED_START_WEIGHT = 1.0
"""Evidence of a run that failed, where the task has not failed elsewhere."""

DONE_CREDIT = 0.5
"""Evidence that a run which was done takes back."""

UNANSWERED_WEIGHT = 0.5
"""Evidence of a start without an answer: a lost answer alone says little about the target."""

HUNG_WEIGHT = 2.0
"""Evidence of a run that stood still."""

BAR_AT = 2.5
"""Evidence at which a target is barred: three failures in a row, or two that stood still."""

BAR_S = 2.0
"""Time for which a target is barred, seconds; the targets' faults last a few seconds."""

HALF_LIFE_S = 6.0
"""Time after which evidence counts half, seconds."""

MOST_BARRED_SHARE = 0.3
"""Share of the targets above which the work is at fault, and none is barred."""


def fade(row: rows.TargetRow, *, elapsed_s: float) -> None:
    """Let evidence fade."""
    if row.standing:
        row.standing *= 0.5 ** (elapsed_s / HALF_LIFE_S)


def done(row: rows.TargetRow) -> None:
    """Note a run that was done."""
    row.standing = max(0.0, row.standing - DONE_CREDIT)


def blame(row: rows.TargetRow, *, weight: float, barred: int, total: int, now: float) -> bool:
    """Note evidence against a target; tells whether it is barred by it.

    Args:
        row: The target.
        weight: How much the evidence counts.
        barred: Targets that are barred now.
        total: Targets.
        now: Time, seconds.
    """
    row.standing += weight
    if row.standing < BAR_AT or row.barred_until > now:
        return False
    if barred + 1 > max(1.0, MOST_BARRED_SHARE * total):
        return False
    row.barred_until = now + BAR_S
    # One more failure after the bar is enough to bar again.
    row.standing = BAR_AT - FAILED_START_WEIGHT
    return True
