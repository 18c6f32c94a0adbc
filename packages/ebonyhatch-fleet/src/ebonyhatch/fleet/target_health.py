"""Suspicion scores of targets.

A target that fails tasks that have not failed on other targets is quarantined for a while.
"""

from __future__ import annotations

from ebonyhatch.fleet import rows

FAILURE_WEIGHT = 1.0
"""Weight of a run that failed, if its task has not failed on another target."""

SUCCESS_CREDIT = 0.5
"""Reduction of the score by a run that was done."""

NO_ANSWER_WEIGHT = 0.5
"""Weight of a start without an answer: a lost answer alone says little about the target."""

HUNG_WEIGHT = 2.0
"""Weight of a hung run."""

QUARANTINE_SCORE = 2.5
"""Score at which a target is quarantined: three failures in a row, or two hung runs."""

QUARANTINE_S = 2.0
"""Duration of a quarantine, seconds; faults of targets last a few seconds."""

HALF_LIFE_S = 6.0
"""Half-life of a score, seconds."""

MAX_QUARANTINED_FRACTION = 0.3
"""Fraction of the targets above which the work itself is taken to be at fault, so that no more
targets are quarantined."""


def decay(row: rows.TargetRow, *, elapsed_s: float) -> None:
    """Decays a target's score over the elapsed time."""
    if row.suspicion_score:
        row.suspicion_score *= 0.5 ** (elapsed_s / HALF_LIFE_S)


def record_success(row: rows.TargetRow) -> None:
    """Reduces a target's score for a run that was done."""
    row.suspicion_score = max(0.0, row.suspicion_score - SUCCESS_CREDIT)


def record_failure(
    row: rows.TargetRow, *, weight: float, quarantined: int, total: int, now: float
) -> bool:
    """Adds to a target's score; returns whether the target is quarantined for it.

    Args:
        row: Row of the target.
        weight: Weight of the failure.
        quarantined: Number of targets in quarantine.
        total: Number of targets.
        now: Time, seconds.
    """
    row.suspicion_score += weight
    if row.suspicion_score < QUARANTINE_SCORE or row.quarantined_until > now:
        return False
    if quarantined + 1 > max(1.0, MAX_QUARANTINED_FRACTION * total):
        return False
    row.quarantined_until = now + QUARANTINE_S
    # One more failure after the quarantine is enough for the next one.
    row.suspicion_score = QUARANTINE_SCORE - FAILURE_WEIGHT
    return True
