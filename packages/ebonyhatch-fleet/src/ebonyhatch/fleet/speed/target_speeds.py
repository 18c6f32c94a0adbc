"""Speeds of all targets, learned from their status reports.

A run compares with its own earlier rate, which tells a change of the target's speed from two reports,
and with the expected run time of its queue and image, which says little for one run. All runs of a
target in one report are combined.
"""

from __future__ import annotations

import dataclasses
import math
import statistics

from ebonyhatch.fleet import commands, rows, targets
from ebonyhatch.fleet.speed import estimate, kinds, rates

REVIEW_INTERVAL_S = 0.25
"""Time between two updates of the speeds of slow targets without reports, seconds."""

END_DELAY_S = 0.2
"""Usual time from the end of a run to the report of it, seconds."""

LOGGED_SPEED = 0.5
"""Speed at or below which a target is logged as slow: above it the estimate varies with the errors of
declared run times, and a line for each target and second would fill the log."""

REMOTE_VARIANCE = 4.0
"""Additional variance of the expected rate of a run whose data are in another rack: it takes a
multiple of the time, which the configuration tells and the owner doesn't know."""

FLEET_INTERVAL_S = 1.0
"""Time between two computations of the fleet's median speed, seconds; targets without evidence for
longer than twice this don't count in it."""

MIN_FLEET = 5
"""Number of targets with evidence from which on their median is used."""

WARM_S = 30.0
"""Time after the end of a run of an image for which the target is taken to have loaded the image,
seconds. Only runs that start within it count by their ends."""

MAX_WARM_IMAGES = 64
"""Largest number of images for which a target is taken to have loaded them."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _TargetState:
    """What is known of one incarnation of a target.

    Attributes:
        estimate: Its speed.
        rates: Rates of its runs.
        warm: By image, times of the first and the last of its ends, which follow each other within
            `WARM_S`, seconds.
    """

    estimate: estimate.SpeedEstimate
    rates: dict[targets.RunKey, rates.RunRate] = dataclasses.field(default_factory=dict)
    warm: dict[str, tuple[float, float]] = dataclasses.field(default_factory=dict)


_Evidence = tuple[float, float, float]
"""Logarithm of a speed, its variance, and the deviation that it shares with the other runs."""


class TargetSpeeds:
    """Estimates the speed of each target and sets `rows.TargetRow.speed`.

    Call `apply_report` before the report is applied to the tables, which removes the runs that
    ended.
    """

    def __init__(self, *, decide: commands.Decide) -> None:
        self._decide = decide
        self._states: dict[str, _TargetState] = {}
        self._kinds = kinds.Kinds()
        self._slow: dict[str, rows.TargetRow] = {}
        self._logged: set[str] = set()
        self._reviewed_at = 0.0
        self._fleet = 0.0
        self._fleet_at = 0.0

    @property
    def slow_count(self) -> int:
        """Number of targets at half the speed of the fleet or less."""
        return len(self._logged)

    def estimate(self, target_id: str) -> estimate.SpeedEstimate | None:
        """Returns the estimate of a target; None if there is no evidence."""
        state = self._states.get(target_id)
        return None if state is None else state.estimate

    def reset(self, row: rows.TargetRow) -> None:
        """Forgets a target that was removed, or the previous incarnation of one."""
        self._states.pop(row.target_id, None)
        self._slow.pop(row.target_id, None)
        self._logged.discard(row.target_id)
        if row.speed != 1.0:
            row.speed = 1.0

    def apply_report(
        self, row: rows.TargetRow, report: targets.StatusReport, *, now: float
    ) -> None:
        """Learns from the runs that a report lists as running or as done."""
        if not row.runs:
            return
        state = self._states.get(row.target_id)
        if state is None:
            fresh = estimate.SpeedEstimate(at=now)
            state = self._states[row.target_id] = _TargetState(estimate=fresh)
        evidence = self._evidence_of_ends(state, row, report, now=now)
        measured = self._measure(state, row, report)
        evidence += [
            (
                rate.deviation(value),
                variance + rate.variance,
                rate.common_deviation,
            )
            for rate, _, value, variance in measured
        ]
        state.estimate.advance_to(now)
        if evidence:
            weight = sum(1 / variance for _, variance, _ in evidence)
            mean = sum(value / variance for value, variance, _ in evidence) / weight
            common = sum(shared / variance for _, variance, shared in evidence) / weight
            state.estimate.correct(log_speed=mean, variance=1 / weight + common * common)
            self._follow_fleet(now)
        self._learn_rates(state, measured)
        self._update(row, state, runs=len(evidence))

    def review(self, *, now: float) -> None:
        """Lets the speeds of slow targets return to normal without evidence."""
        if not self._slow or now - self._reviewed_at < REVIEW_INTERVAL_S:
            return
        self._reviewed_at = now
        for row in list(self._slow.values()):
            state = self._states[row.target_id]
            state.estimate.advance_to(now)
            self._update(row, state, runs=0)

    def _follow_fleet(self, now: float) -> None:
        """Computes the median speed of the fleet anew, if that is due.

        Short runs look longer by the delay of reports, and more so compared with their median, which
        makes all targets look slow.
        """
        if now - self._fleet_at < FLEET_INTERVAL_S:
            return
        self._fleet_at = now
        recent = [
            state.estimate.log_speed
            for state in self._states.values()
            if now - state.estimate.at < 2 * FLEET_INTERVAL_S
        ]
        self._fleet = statistics.median(recent) if len(recent) >= MIN_FLEET else 0.0

    def _measure(
        self, state: _TargetState, row: rows.TargetRow, report: targets.StatusReport
    ) -> list[tuple[rates.RunRate, rows.RunRow, float, float]]:
        """Returns the rates of the runs in progress, and forgets those that aren't listed."""
        listed: dict[targets.RunKey, rates.RunRate] = {}
        measured = []
        for running in report.running:
            run = row.runs.get(running.key)
            if run is None or not _is_comparable(run):
                continue
            rate = state.rates.get(running.key)
            if rate is None:
                usual, variance = self._usual_rate(run)
                rate = rates.RunRate(
                    clock_s=report.clock_s,
                    percent=running.percent,
                    usual=usual,
                    variance=variance,
                )
            listed[running.key] = rate
            found = rate.measure(clock_s=report.clock_s, percent=running.percent)
            if found is not None:
                measured.append((rate, run, *found))
        state.rates = listed
        return measured

    def _usual_rate(self, run: rows.RunRow) -> tuple[float, float]:
        """Returns the logarithm of the expected rate of an unmeasured run, and its variance."""
        step = run.task.step
        deviation, variance = self._kinds.expected(_kind(run))
        if step.expected_s <= 0 or _is_remote(run):
            variance += REMOTE_VARIANCE
        return deviation - math.log(step.expected_s or 1.0), variance

    def _evidence_of_ends(
        self, state: _TargetState, row: rows.TargetRow, report: targets.StatusReport, *, now: float
    ) -> list[_Evidence]:
        """Returns the evidence of the runs that ended before a rate was measured."""
        evidence = []
        for ended in report.ended:
            run = row.runs.get(ended.key)
            if run is None or ended.kind != targets.EndKind.DONE or not _is_comparable(run):
                continue
            step = run.task.step
            is_warm = _note_end(state, step.step.image, started_at=run.started_at, now=now)
            rate = state.rates.get(run.key)
            if (rate is not None and rate.measured) or not is_warm:
                continue
            if step.expected_s <= 0 or not run.started_at or not run.ordered_at:
                continue
            if run.task.checkpoint or _is_remote(run):
                continue
            run_s = max(now - run.started_at, 0.001)
            deviation = math.log(step.expected_s / run_s)
            expected, variance = self._kinds.expected(_kind(run))
            bounded = max(-rates.MAX_DEVIATION, min(rates.MAX_DEVIATION, deviation - expected))
            delay = END_DELAY_S / run_s
            evidence.append((bounded, variance + delay * delay, 0.0))
            self._kinds.add(_kind(run), deviation)
        return evidence

    def _learn_rates(
        self,
        state: _TargetState,
        measured: list[tuple[rates.RunRate, rows.RunRow, float, float]],
    ) -> None:
        """Corrects the usual rates by what the target's speed leaves unexplained."""
        speed = state.estimate
        for rate, run, value, variance in measured:
            usual = value - speed.log_speed
            step = run.task.step
            if not rate.measured and step.expected_s > 0 and not _is_remote(run):
                self._kinds.add(_kind(run), value + math.log(step.expected_s))
            rate.correct(usual=usual, variance=variance, speed_variance=speed.variance)

    def _update(self, row: rows.TargetRow, state: _TargetState, *, runs: int) -> None:
        speed = state.estimate.speed_in(self._fleet)
        if speed == row.speed:
            return
        if (speed <= LOGGED_SPEED) != (row.target_id in self._logged):
            self._logged.symmetric_difference_update({row.target_id})
            self._decide(
                "target.slow" if speed <= LOGGED_SPEED else "target.not_slow",
                None,
                target=row.target_id,
                speed=round(math.exp(state.estimate.log_speed - self._fleet), 3),
                deviation=round(math.sqrt(state.estimate.variance), 3),
                runs=runs,
            )
        row.speed = speed
        if speed < 1.0:
            self._slow[row.target_id] = row
        else:
            self._slow.pop(row.target_id, None)


def _is_comparable(run: rows.RunRow) -> bool:
    """Returns whether the progress of a run follows the speed of its target.

    Fillers use what others leave and are paced, members of a gang progress with the slowest of them,
    and long-running tasks report no progress.
    """
    step = run.task.step.step
    return (
        run.state != rows.RunState.STOPPING
        and run.pace >= 100
        and not (step.filler or step.gang or step.long_running)
    )


def _is_remote(run: rows.RunRow) -> bool:
    data_rack = run.task.step.step.data_rack
    return bool(data_rack) and run.target.target.rack != data_rack


def _kind(run: rows.RunRow) -> kinds.Kind:
    return run.task.step.job.queue.name, run.task.step.step.image


def _note_end(state: _TargetState, image: str, *, started_at: float, now: float) -> bool:
    """Records the end of a run of an image; returns whether its start was surely a warm one.

    A start is warm once another run of the image has ended on the target: until then the target may
    have been loading what the image needs.
    """
    first, last = state.warm.pop(image, (now, now))
    if now - last > WARM_S:
        first = now
    state.warm[image] = (first, now)
    if len(state.warm) > MAX_WARM_IMAGES:
        del state.warm[next(iter(state.warm))]
    return first < now and started_at >= first
