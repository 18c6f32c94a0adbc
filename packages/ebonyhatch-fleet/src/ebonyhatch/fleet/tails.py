"""How fillers disturb serving tasks, learnt from the tails that targets report.

The tail of a serving task is taken as that of a queue: base / (1 - utilization), where fillers
beside it add to the utilization in proportion to the processor time they use, by an amount that
depends on both images. In terms of the margin, limit / tail, that is linear:

    margin = own margin - sum over fillers (harm of the pair x share of the target's processors)

The own margin moves with the load of its job, which all tasks of the job share; the harms of pairs
move slowly. A Kalman filter without covariances estimates both, so that a reading corrects
each in proportion to how uncertain it is.
"""

from __future__ import annotations

import dataclasses
import math

from ebonyhatch.fleet import rows

PRIOR_HARM = 3.0
"""Harm of a pair that was never seen, margins for a whole target's processors: of the pairs that
were traced, about two thirds are near 0.5 and one third between 4 and 15."""

PRIOR_HARM_VARIANCE = 20.0
"""Variance of the harm of a pair that was never seen; see `PRIOR_HARM`."""

HARM_DRIFT = 0.1
"""Variance that a harm gains a second: the contract says that it changes within seconds; on the
traced days it hardly did."""

MOST_HARM = 40.0
"""Bound of a harm, so that one bad reading can't exclude a pair for good."""

START_MARGIN = 2.5
"""Own margin of a job that was not read yet."""

START_VARIANCE = 0.5
"""Variance of the own margin of a job that was not read yet."""

OWN_DRIFT = 0.1
"""Variance that an own margin gains a second: loads swing by half within seconds."""

NOISE_VARIANCE = 0.04
"""Variance of a reading of half a second, margins squared; what no model explained of traces."""

ROUNDING_S = 0.001
"""Readings are whole milliseconds; the wire has no finer ones."""

OUTLIER_DEVIATIONS = 3.0
"""Deviations above which an error counts as this many: a slow target says nothing about pairs."""

MOST_MARGIN = 8.0
"""Margins above this count as this: there the tail tells nothing about harm."""

LEAST_OWN_MARGIN = 0.2
"""Own margins below this count as this; a reading that low comes from a slow target."""

DOUBT_DEVIATIONS = 0.7
"""Deviations that are added to a harm where a wrong guess disturbs serving tasks: three harms in
four are below."""

UNSURE_MARGIN = 0.12
"""Deviation of a cost from which it has to be seen what a filler does; below the noise of a reading."""

DOUBT_HALF_LIFE_S = 30.0
"""Time after which half of what a harm exceeds the prior by is forgotten while the pair isn't seen,
seconds: harms change within seconds, and a pair that is kept apart teaches nothing."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Estimate:
    """A figure that drifts.

    Attributes:
        mean: Its expected value.
        variance: How uncertain that is.
        at: When it was last corrected, seconds.
    """

    mean: float
    variance: float
    at: float

    def drift(self, *, now: float, rate: float, limit: float) -> None:
        """Grow more uncertain with time."""
        self.variance = min(limit, self.variance + rate * max(0.0, now - self.at))
        self.at = now

    def correct(self, *, error: float, slope: float, total_variance: float) -> None:
        """Take over its part of the error of a reading that it enters with a slope."""
        gain = slope * self.variance / total_variance
        self.mean += gain * error
        self.variance *= 1 - gain * slope


class TailModel:
    """Margins of serving jobs and harms of pairs of images."""

    def __init__(self) -> None:
        self._own: dict[str, _Estimate] = {}
        self._harms: dict[tuple[str, str], _Estimate] = {}
        self._now = 0.0

    def at(self, now: float) -> None:
        """Let time pass until `now`, seconds."""
        self._now = now

    def harm(self, *, serving: str, filler: str) -> float:
        """Give the harm of a filler image on a serving image."""
        harm = self._harms.get((serving, filler))
        if harm is None:
            return PRIOR_HARM
        if harm.mean <= PRIOR_HARM:
            return harm.mean
        age_s = max(0.0, self._now - harm.at)
        return PRIOR_HARM + (harm.mean - PRIOR_HARM) * float(0.5 ** (age_s / DOUBT_HALF_LIFE_S))

    def own_margin(self, job_id: str) -> float:
        """Give a serving job's margin without fillers."""
        own = self._own.get(job_id)
        return START_MARGIN if own is None else own.mean

    def harms(self) -> tuple[tuple[str, str, float], ...]:
        """Give the harms: serving image, filler image, harm."""
        return tuple(
            (serving, filler, round(self.harm(serving=serving, filler=filler), 2))
            for serving, filler in self._harms
        )

    def restore(self, harms: tuple[tuple[str, str, float], ...]) -> None:
        """Begin with harms that were learnt before; how certain they were isn't known."""
        for serving, filler, harm in harms:
            self._harms[(serving, filler)] = _Estimate(
                mean=harm, variance=PRIOR_HARM_VARIANCE / 4, at=self._now
            )

    def forget(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._own.pop(job_id, None)

    def learn(self, run: rows.RunRow, fillers: list[rows.RunRow]) -> None:
        """Take in the reading of a serving run, with the fillers beside it."""
        step = run.task.step
        if not run.reading:
            return
        margin = min(step.step.tail_limit_s / run.reading, MOST_MARGIN)
        own = self._own_estimate(step.job.job.job_id)
        pairs = [
            (self._harm_estimate(step.step.image, name), share)
            for name, share in self._shares(run.target, fillers).items()
        ]
        variance = _reading_variance(margin, step.step.tail_limit_s) + own.variance
        variance += sum(share * share * harm.variance for harm, share in pairs)
        error = margin - own.mean + sum(share * harm.mean for harm, share in pairs)
        bound = OUTLIER_DEVIATIONS * math.sqrt(variance)
        error = min(bound, max(-bound, error))
        own.correct(error=error, slope=1.0, total_variance=variance)
        own.mean = min(MOST_MARGIN, max(LEAST_OWN_MARGIN, own.mean))
        for harm, share in pairs:
            harm.correct(error=error, slope=-share, total_variance=variance)
            harm.mean = min(MOST_HARM, max(0.0, harm.mean))

    def cost(self, run: rows.RunRow, filler: rows.RunRow) -> float:
        """Give the margin that a filler at its pace takes from a serving run beside it."""
        return self._cost(run, filler.task.step.step.image, _share(filler))

    def margin(self, run: rows.RunRow, fillers: list[rows.RunRow]) -> float:
        """Predict the margin of a serving run beside fillers at their pace."""
        own = self.own_margin(run.task.step.job.job.job_id)
        return own - sum(self.cost(run, filler) for filler in fillers)

    def extra_cost(self, run: rows.RunRow, step: rows.StepRow) -> float:
        """Give the margin that one more task of a filler step would take from a serving run."""
        return self._cost(run, step.step.image, _full_share(run.target, step))

    def cautious_cost(self, run: rows.RunRow, step: rows.StepRow) -> float:
        """Give the same, a margin that it will hardly take more than."""
        pair = (run.task.step.step.image, step.step.image)
        doubt = DOUBT_DEVIATIONS * math.sqrt(self._variance(pair))
        harm = self.harm(serving=pair[0], filler=pair[1]) + doubt
        return harm * _full_share(run.target, step)

    def is_unsure(self, run: rows.RunRow, step: rows.StepRow) -> bool:
        """Tell whether it has to be seen what one more task of a filler step does."""
        pair = (run.task.step.step.image, step.step.image)
        return math.sqrt(self._variance(pair)) * _full_share(run.target, step) > UNSURE_MARGIN

    def _variance(self, pair: tuple[str, str]) -> float:
        harm = self._harms.get(pair)
        if harm is None:
            return PRIOR_HARM_VARIANCE
        grown = harm.variance + HARM_DRIFT * max(0.0, self._now - harm.at)
        return min(PRIOR_HARM_VARIANCE, grown)

    def _own_estimate(self, job_id: str) -> _Estimate:
        own = self._own.get(job_id)
        if own is None:
            own = _Estimate(mean=START_MARGIN, variance=START_VARIANCE, at=self._now)
            self._own[job_id] = own
        own.drift(now=self._now, rate=OWN_DRIFT, limit=START_VARIANCE)
        return own

    def _harm_estimate(self, serving: str, filler: str) -> _Estimate:
        harm = self._harms.get((serving, filler))
        if harm is None:
            harm = _Estimate(mean=PRIOR_HARM, variance=PRIOR_HARM_VARIANCE, at=self._now)
            self._harms[(serving, filler)] = harm
        harm.mean = self.harm(serving=serving, filler=filler)
        harm.drift(now=self._now, rate=HARM_DRIFT, limit=PRIOR_HARM_VARIANCE)
        return harm

    def _cost(self, run: rows.RunRow, image: str, share: float) -> float:
        return self.harm(serving=run.task.step.step.image, filler=image) * share

    def _shares(self, row: rows.TargetRow, fillers: list[rows.RunRow]) -> dict[str, float]:
        shares: dict[str, float] = {}
        for filler in fillers:
            used = filler.reading
            share = _share(filler) if used is None else used / (row.target.cpu_millis or 1)
            image = filler.task.step.step.image
            shares[image] = shares.get(image, 0.0) + share
        return {image: share for image, share in shares.items() if share > 0}


def _reading_variance(margin: float, limit_s: float) -> float:
    """Give the variance of a margin: its noise, and the rounding of the tail that it stands for."""
    rounding = margin * margin * ROUNDING_S / limit_s
    return NOISE_VARIANCE + rounding * rounding / 12


def _full_share(row: rows.TargetRow, step: rows.StepRow) -> float:
    return step.step.cpu_millis / (row.target.cpu_millis or 1)


def _share(filler: rows.RunRow) -> float:
    return _full_share(filler.target, filler.task.step) * filler.pace / 100


def serving_runs(row: rows.TargetRow) -> list[rows.RunRow]:
    """Give the serving runs on a target that are at work."""
    return [
        run
        for run in row.runs.values()
        if run.task.step.step.tail_limit_s and run.state != rows.RunState.STOPPING
    ]


def filler_runs(row: rows.TargetRow) -> list[rows.RunRow]:
    """Give the fillers on a target."""
    return [run for run in row.runs.values() if run.task.step.step.filler]
