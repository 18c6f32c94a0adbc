"""Pacing fillers so that serving tasks beside them stay within their limits."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import commands, rows, tails, targets

LEAST_MARGIN = 1.1
"""Margin of a serving task below which fillers beside it are paced down."""

WANTED_MARGIN = 1.25
"""Margin that pacing restores, and above which fillers are paced up again."""

FREE_COST = 0.12
"""Margin that a filler may take whatever the margin is: below the noise of a reading."""

PACE_STEP = 25
"""Percent by which a filler is paced up at once: with care, since the harm may have grown."""

LEAST_PACE = 10
"""Paces below this are set to 0, percent: less is hardly work and still disturbs."""

PACE_AGAIN_S = 0.4
"""Time after which a filler's pace may change again, seconds: a reading covers half a second."""


CLOSE_MARGIN = 2.0
"""Margin below which a target's readings are asked for more often."""

MOVE_AFTER_S = 1.0
"""Time at a pace of at most `MOVE_PACE` after which a filler is stopped to be placed elsewhere,
seconds: it is longer than a restart from a checkpoint takes."""

MOVE_PACE = 25
"""Percent at or below which a filler does better elsewhere."""

MOVE_LOSS_PERCENT = 20
"""Progress up to which a filler without checkpoints may be stopped, percent."""


class Pacing:
    """Keeps the margins of serving tasks, target by target, after each account."""

    def __init__(
        self,
        *,
        model: tails.TailModel,
        emit: commands.Emit,
        decide: commands.Decide,
        stop: Callable[..., None],
    ) -> None:
        self._stop = stop
        self._model = model
        self._emit = emit
        self._decide = decide

    def review(self, row: rows.TargetRow, *, now: float) -> None:
        """Learn from a target's readings, and change the pace of its fillers."""
        serving = tails.serving_runs(row)
        fillers = [run for run in tails.filler_runs(row) if run.state == rows.RunState.RUNNING]
        for run in serving:
            self._model.learn(run, fillers)
        row.close_watch = bool(fillers) and any(_seen_margin(run) < CLOSE_MARGIN for run in serving)
        if not fillers:
            return
        wanted = {run.key: float(run.pace) for run in fillers}
        for run in serving:
            self._spare(run, fillers, wanted)
        for filler in fillers:
            pace = wanted[filler.key]
            if pace >= filler.pace:
                pace = self._raised(filler, serving, fillers)
            self._set(filler, pace, now=now)
            if self._is_stuck(filler, now=now):
                self._stop(filler, reason="paced-down", now=now)

    def _spare(
        self, run: rows.RunRow, fillers: list[rows.RunRow], wanted: dict[targets.RunKey, float]
    ) -> None:
        """Lower the wanted paces as far as one serving run needs it."""
        seen = _seen_margin(run)
        margin = min(seen, self._model.margin(run, fillers))
        if margin >= LEAST_MARGIN:
            return
        costs = {filler.key: self._model.cost(run, filler) for filler in fillers}
        lacking = WANTED_MARGIN - margin
        if sum(costs.values()) < FREE_COST:
            # Nothing is known to do it, so that all are lowered alike.
            for filler in fillers:
                wanted[filler.key] = min(wanted[filler.key], filler.pace / 2)
            return
        for filler in sorted(fillers, key=lambda filler: -costs[filler.key]):
            cost = costs[filler.key]
            if lacking <= 0 or cost <= 0:
                return
            share = min(1.0, lacking / cost)
            wanted[filler.key] = min(wanted[filler.key], filler.pace * (1 - share))
            lacking -= share * cost

    def _raised(
        self, filler: rows.RunRow, serving: list[rows.RunRow], fillers: list[rows.RunRow]
    ) -> float:
        """Give the next higher pace of a filler, or its pace where a margin is short."""
        if filler.pace >= 100:
            return 100
        step = min(PACE_STEP, 100 - filler.pace)
        for run in serving:
            full = self._model.extra_cost(run, filler.task.step)
            if full < FREE_COST:
                continue
            margin = min(_seen_margin(run), self._model.margin(run, fillers))
            if margin - full * step / 100 < WANTED_MARGIN:
                return filler.pace
        return filler.pace + step

    def _is_stuck(self, filler: rows.RunRow, *, now: float) -> bool:
        if filler.pace > MOVE_PACE or now - filler.low_since < MOVE_AFTER_S:
            return False
        return filler.task.step.step.checkpoints or filler.percent <= MOVE_LOSS_PERCENT

    def _set(self, filler: rows.RunRow, pace: float, *, now: float) -> None:
        percent = int(pace) if pace >= LEAST_PACE else 0
        if percent == filler.pace:
            return
        if percent > filler.pace and now - filler.paced_at < PACE_AGAIN_S:
            return
        self._decide("run.pace", filler, before=filler.pace, percent=percent)
        if filler.pace > MOVE_PACE >= percent:
            filler.low_since = now
        filler.pace = percent
        filler.paced_at = now
        self._emit(commands.PaceRun(run=filler, percent=percent))


def _seen_margin(run: rows.RunRow) -> float:
    if not run.reading:
        return tails.MOST_MARGIN
    return run.task.step.step.tail_limit_s / run.reading
