"""Pacing: limits the processor time of fillers so that serving tasks stay within their limits.

Fillers are tasks that use processor time left over by others. The margin of a serving task is the
limit of its response times divided by their measured tail; a filler's cost is the part of a margin
that its interference takes. A filler's pace is the limit of its speed, in percent of full speed.
"""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import commands, interference, rows, targets

MIN_MARGIN = 1.1
"""Margin of a serving task below which the fillers on its target are slowed down."""

DESIRED_MARGIN = 1.25
"""Margin that slowing down fillers restores, and above which they are sped up again."""

NEGLIGIBLE_COST = 0.12
"""Cost of a filler that is accepted at any margin: it is below the noise of a reading."""

PACE_STEP_PERCENT = 25
"""Largest increase of a filler's pace at a time, percent: small, since its interference may have
grown."""

MIN_PACE_PERCENT = 10
"""Minimum pace other than 0, percent; lower ones become 0, since the filler would do hardly any work
and still slow down serving tasks."""

MIN_PACE_RAISE_INTERVAL_S = 0.4
"""Time after a change of pace before which the pace isn't raised, seconds: a reading covers half a
second."""

FREQUENT_POLLING_MARGIN = 2.0
"""Margin below which a target's readings are polled more often."""

MOVE_AFTER_S = 0.4
"""Time at a pace of at most `MOVE_PACE_PERCENT` after which a filler may be stopped to be placed on
another target, seconds: the next reading may raise the pace."""

MOVE_PACE_PERCENT = 50
"""Pace at or below which a filler may be better placed on another target, percent."""


class Pacing:
    """Adjusts the paces of the fillers of a target after each of its status reports."""

    def __init__(
        self,
        *,
        model: interference.InterferenceModel,
        emit: commands.Emit,
        decide: commands.Decide,
        stop: Callable[..., None],
        should_move: Callable[..., bool],
    ) -> None:
        self._stop = stop
        self._should_move = should_move
        self._model = model
        self._emit = emit
        self._decide = decide

    def review(self, row: rows.TargetRow, *, now: float) -> None:
        """Updates the model with a target's readings and adjusts the paces of its fillers."""
        serving = interference.serving_runs(row)
        fillers = [
            run for run in interference.filler_runs(row) if run.state == rows.RunState.RUNNING
        ]
        for run in serving:
            self._model.learn(run, fillers)
        row.frequent_polling = bool(fillers) and any(
            _measured_margin(run) < FREQUENT_POLLING_MARGIN for run in serving
        )
        if not fillers:
            return
        paces = {run.key: float(run.pace) for run in fillers}
        for run in serving:
            self._lower_paces(run, fillers, paces)
        for filler in fillers:
            pace = paces[filler.key]
            if pace >= filler.pace:
                pace = self._raised_pace(filler, serving, fillers)
            self._set_pace(filler, pace, now=now)
            low = filler.pace <= MOVE_PACE_PERCENT and now - filler.low_pace_since >= MOVE_AFTER_S
            if low and self._should_move(filler, now=now):
                self._stop(filler, reason="paced-down", now=now)

    def _lower_paces(
        self, run: rows.RunRow, fillers: list[rows.RunRow], paces: dict[targets.RunKey, float]
    ) -> None:
        """Lowers the paces as far as one serving run requires."""
        measured = _measured_margin(run)
        margin = min(measured, self._model.margin(run, fillers))
        if margin >= MIN_MARGIN:
            return
        costs = {filler.key: self._model.cost(run, filler) for filler in fillers}
        deficit = DESIRED_MARGIN - margin
        if sum(costs.values()) < NEGLIGIBLE_COST:
            # No filler is known to cause the shortage, so all are slowed down alike.
            for filler in fillers:
                paces[filler.key] = min(paces[filler.key], filler.pace / 2)
            return
        for filler in sorted(fillers, key=lambda filler: -costs[filler.key]):
            cost = costs[filler.key]
            if deficit <= 0 or cost <= 0:
                return
            fraction = min(1.0, deficit / cost)
            paces[filler.key] = min(paces[filler.key], filler.pace * (1 - fraction))
            deficit -= fraction * cost

    def _raised_pace(
        self, filler: rows.RunRow, serving: list[rows.RunRow], fillers: list[rows.RunRow]
    ) -> float:
        """Returns the next higher pace of a filler, or its present one if a margin is too small."""
        if filler.pace >= 100:
            return 100
        step = min(PACE_STEP_PERCENT, 100 - filler.pace)
        for run in serving:
            full_cost = self._model.extra_cost(run, filler.task.step)
            if full_cost < NEGLIGIBLE_COST:
                continue
            margin = min(_measured_margin(run), self._model.margin(run, fillers))
            if margin - full_cost * step / 100 < DESIRED_MARGIN:
                return filler.pace
        return filler.pace + step

    def _set_pace(self, filler: rows.RunRow, pace: float, *, now: float) -> None:
        percent = int(pace) if pace >= MIN_PACE_PERCENT else 0
        if percent == filler.pace:
            return
        if percent > filler.pace and now - filler.pace_changed_at < MIN_PACE_RAISE_INTERVAL_S:
            return
        self._decide("run.pace", filler, before=filler.pace, percent=percent)
        if filler.pace > MOVE_PACE_PERCENT >= percent:
            filler.low_pace_since = now
        filler.pace = percent
        filler.pace_changed_at = now
        self._emit(commands.PaceRun(run=filler, percent=percent))


def _measured_margin(run: rows.RunRow) -> float:
    if not run.reading:
        return interference.MAX_MARGIN
    return run.task.step.step.tail_limit_s / run.reading
