"""Decides which slowed-down fillers are stopped so that another target runs them.

Fillers are tasks that use processor time left over by others; they are slowed down where they
disturb serving tasks. A step is done when its last task is, so that one filler which is slowed down
for long delays a whole job. A stop helps only if another target would run the filler at full speed:
otherwise the task waits, and what it could have done meanwhile is lost.
"""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import rows, tables
from ebonyhatch.fleet.constraints import registry

RESTART_S = 0.6
"""Time that a move takes, seconds: the stop, its report, the order and the return to the checkpoint."""

MIN_GAIN_S = 1.0
"""Gain from which a filler is moved, seconds: estimates of the remaining time are off by about as much
for tasks of a few seconds."""

MAX_PROGRESS_PERCENT = 20
"""Progress up to which a filler without checkpoints may be stopped, percent."""

SEARCH_INTERVAL_S = 0.2
"""Minimum time between two searches for a target for steps of one image, seconds; a search may look at all
targets, and there may be hundreds of slowed-down fillers."""

MAX_KEPT_SEARCHES = 256
"""Number of kinds of steps whose last search is remembered."""


class FillerRelocation:
    """Weighs the time that a filler still needs against that of a move.

    This answers a load of fillers whose images disturb the serving tasks of most targets.
    """

    def __init__(
        self, *, all_tables: tables.Tables, context: Callable[[float], registry.Context]
    ) -> None:
        """Creates a decision.

        Args:
            all_tables: Tables of the scheduler.
            context: Returns the context of the constraints at a time in seconds.
        """
        self._tables = all_tables
        self._context = context
        self._searched_at: dict[tuple[str, str, str], float] = {}

    def should_move(self, run: rows.RunRow, *, now: float) -> bool:
        """Returns whether a filler would be done sooner on another target."""
        if not run.task.step.step.checkpoints and run.percent > MAX_PROGRESS_PERCENT:
            return False
        return _gain_s(run, now=now) >= MIN_GAIN_S and self._has_target(run, now=now)

    def _has_target(self, run: rows.RunRow, *, now: float) -> bool:
        step = run.task.step
        spec = step.step
        key = (step.job.queue.pool, spec.image, spec.label)
        if now - self._searched_at.get(key, -SEARCH_INTERVAL_S) < SEARCH_INTERVAL_S:
            # The target that was found may have capacity for one task only.
            return False
        if len(self._searched_at) >= MAX_KEPT_SEARCHES:
            self._searched_at.clear()
        self._searched_at[key] = now
        return self._search(run, now=now)

    def _search(self, run: rows.RunRow, *, now: float) -> bool:
        """Returns whether another target allows the task now."""
        step = run.task.step
        selection = registry.select(step.step)
        context = self._context(now)
        return any(
            row is not run.target and selection.allows(step, row, context)
            for row in self._tables.targets.values()
        )


def _gain_s(run: rows.RunRow, *, now: float) -> float:
    """Returns the time by which a move shortens a run, seconds.

    The remaining work follows from the progress, or from the expected run time before there is any.
    """
    expected_s = run.task.step.expected_s
    remaining_s = expected_s * max(0.0, 100 - run.percent) / 100
    at_this_pace_s = remaining_s * 100 / max(run.pace, 1)
    return at_this_pace_s - (remaining_s + RESTART_S)
