"""How much fillers slow down serving tasks, estimated from the tails that targets report.

Fillers are tasks that use processor time left over by others.

The tail of a serving task's response times is modeled as that of a queue, base / (1 - utilization),
where each filler on the same target adds to the utilization in proportion to the processor time it
uses, by a factor that depends on both images. The margin, limit / tail, is then linear in the
fillers:

    margin = baseline margin - sum over fillers (interference of the pair x fraction of processors)

The baseline margin is the margin without fillers. It follows the load of its job, which all tasks
of the job share; the interference of a pair of images changes slowly. A Kalman filter without
covariances estimates both, so that a reading corrects each estimate in proportion to its variance.
"""

from __future__ import annotations

import dataclasses
import math
from typing import NamedTuple, Protocol

from ebonyhatch.fleet import rows

PRIOR_INTERFERENCE = 3.0
"""Interference of a pair that was never observed: the margin that a filler would take if it used
all processors of its target. Of the pairs in the recorded traces, about two thirds are near 0.5 and
one third between 4 and 15."""

PRIOR_INTERFERENCE_VARIANCE = 20.0
"""Variance of the interference of a pair that was never observed; see `PRIOR_INTERFERENCE`."""

INTERFERENCE_DRIFT = 0.1
"""Variance that the interference of a pair gains each second: by the contract it changes within
seconds; in the recorded traces it hardly did."""

MAX_INTERFERENCE = 40.0
"""Upper bound of an interference, so that one bad reading can't exclude a pair for good."""

PRIOR_BASELINE_MARGIN = 2.5
"""Baseline margin of a job without readings."""

PRIOR_BASELINE_VARIANCE = 0.5
"""Variance of the baseline margin of a job without readings."""

BASELINE_DRIFT = 0.1
"""Variance that a baseline margin gains each second: loads change by half within seconds."""

NOISE_VARIANCE = 0.04
"""Variance of a reading over half a second, margins squared: the residual that no model explained
in the recorded traces."""

ROUNDING_S = 0.001
"""Resolution of readings, seconds: the protocol carries whole milliseconds."""

OUTLIER_DEVIATIONS = 3.0
"""Errors of a reading above this are treated as this, standard deviations: a reading of a slow
target holds no information about pairs of images."""

MAX_MARGIN = 8.0
"""Margins above this are treated as this: such a tail holds no information about interference."""

MIN_BASELINE_MARGIN = 0.2
"""Baseline margins below this are treated as this: a reading that low comes from a slow target."""

CAUTION_DEVIATIONS = 0.7
"""Number of standard deviations added to an interference where too low an estimate would slow down
serving tasks: three of four true values lie below the sum."""

OBSERVATION_THRESHOLD = 0.12
"""Standard deviation of a filler's cost in margin above which its effect must be observed; below
the noise of a reading."""

PRIOR_RETURN_HALF_LIFE_S = 30.0
"""Half-life of the excess of an interference over the prior while the pair isn't observed, seconds:
interference changes within seconds, and a pair that is kept apart gives no readings."""

MAX_PAIRS = 5_000
"""Largest number of pairs of images with an estimate; those that were not observed for longest go
first."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Estimate:
    """An estimated value that drifts.

    Attributes:
        mean: Expected value.
        variance: Variance of the estimate.
        at: Time of the last correction, seconds.
    """

    mean: float
    variance: float
    at: float

    def drift(self, *, now: float, rate: float, limit: float) -> None:
        """Increases the variance by the time since the last correction."""
        self.variance = min(limit, self.variance + rate * max(0.0, now - self.at))
        self.at = now

    def correct(self, *, error: float, slope: float, total_variance: float) -> None:
        """Corrects the estimate by its part of a reading's error; `slope` is its effect on it."""
        gain = slope * self.variance / total_variance
        self.mean += gain * error
        self.variance *= 1 - gain * slope


class ServingMargin(NamedTuple):
    """Margin of a serving run, as far as one more filler of an image concerns it.

    Attributes:
        interference: Expected interference of the image with the run.
        upper_interference: Upper estimate of it, see `CAUTION_DEVIATIONS`.
        baseline: Margin without fillers.
        present_cost: Upper estimate of the margin that the fillers on the target take at full pace.
    """

    interference: float
    upper_interference: float
    baseline: float
    present_cost: float


class MarginSource(Protocol):
    """Source of the margins of the serving runs on a target."""

    def margins(self, row: rows.TargetRow, image: str) -> tuple[ServingMargin, ...]:
        """Returns the margins of the serving runs on a target for a filler image."""


class InterferenceModel:
    """Baseline margins of serving jobs and interference of pairs of images."""

    def __init__(self) -> None:
        self._baselines: dict[str, _Estimate] = {}
        self._interferences: dict[tuple[str, str], _Estimate] = {}
        self._upper_interferences: dict[tuple[str, str], float] = {}
        self._now = 0.0

    def advance_to(self, now: float) -> None:
        """Sets the model's time, seconds."""
        self._now = now
        self._upper_interferences.clear()

    def interference(self, *, serving: str, filler: str) -> float:
        """Returns the interference of a filler image with a serving image."""
        estimate = self._interferences.get((serving, filler))
        if estimate is None:
            return PRIOR_INTERFERENCE
        if estimate.mean <= PRIOR_INTERFERENCE:
            return estimate.mean
        age_s = max(0.0, self._now - estimate.at)
        return PRIOR_INTERFERENCE + (estimate.mean - PRIOR_INTERFERENCE) * float(
            0.5 ** (age_s / PRIOR_RETURN_HALF_LIFE_S)
        )

    def baseline_margin(self, job_id: str) -> float:
        """Returns a serving job's margin without fillers."""
        baseline = self._baselines.get(job_id)
        return PRIOR_BASELINE_MARGIN if baseline is None else baseline.mean

    def interferences(self) -> tuple[tuple[str, str, float], ...]:
        """Returns all estimates: serving image, filler image, interference.

        They stand in the order of their observation, from the last one on.
        """
        return tuple(
            (serving, filler, round(self.interference(serving=serving, filler=filler), 2))
            for serving, filler in reversed(self._interferences)
        )

    def restore(self, interferences: tuple[tuple[str, str, float], ...]) -> None:
        """Loads earlier estimates, in the order of `interferences`.

        Their variances aren't stored, so a quarter of the prior's is assumed.
        """
        self._upper_interferences.clear()
        for serving, filler, interference in reversed(interferences):
            self._interferences[(serving, filler)] = _Estimate(
                mean=interference, variance=PRIOR_INTERFERENCE_VARIANCE / 4, at=self._now
            )
        self._forget_unobserved()

    def forget(self, job_id: str) -> None:
        """Removes a job that has ended."""
        self._baselines.pop(job_id, None)

    def learn(self, run: rows.RunRow, fillers: list[rows.RunRow]) -> None:
        """Updates the estimates with the reading of a serving run and the fillers on its target."""
        step = run.task.step
        if not run.reading:
            return
        self._upper_interferences.clear()
        margin = min(step.step.tail_limit_s / run.reading, MAX_MARGIN)
        baseline = self._baseline_estimate(step.job.job.job_id)
        pairs = [
            (self._interference_estimate(step.step.image, name), fraction)
            for name, fraction in self._used_fractions(run.target, fillers).items()
        ]
        variance = _reading_variance(margin, step.step.tail_limit_s) + baseline.variance
        variance += sum(fraction * fraction * estimate.variance for estimate, fraction in pairs)
        error = (
            margin - baseline.mean + sum(fraction * estimate.mean for estimate, fraction in pairs)
        )
        bound = OUTLIER_DEVIATIONS * math.sqrt(variance)
        error = min(bound, max(-bound, error))
        baseline.correct(error=error, slope=1.0, total_variance=variance)
        baseline.mean = min(MAX_MARGIN, max(MIN_BASELINE_MARGIN, baseline.mean))
        for estimate, fraction in pairs:
            estimate.correct(error=error, slope=-fraction, total_variance=variance)
            estimate.mean = min(MAX_INTERFERENCE, max(0.0, estimate.mean))

    def cost(self, run: rows.RunRow, filler: rows.RunRow) -> float:
        """Returns the margin that a filler at its pace takes from a serving run on its target."""
        return self._cost(run, filler.task.step.step.image, _paced_fraction(filler))

    def margin(self, run: rows.RunRow, fillers: list[rows.RunRow]) -> float:
        """Returns the predicted margin of a serving run with fillers at their paces."""
        baseline = self.baseline_margin(run.task.step.job.job.job_id)
        return baseline - sum(self.cost(run, filler) for filler in fillers)

    def extra_cost(self, run: rows.RunRow, step: rows.StepRow) -> float:
        """Returns the margin that one more task of a filler step would take from a serving run."""
        return self._cost(run, step.step.image, full_fraction(run.target, step))

    def margins(self, row: rows.TargetRow, image: str) -> tuple[ServingMargin, ...]:
        """Returns the margins of the serving runs on a target for a filler image."""
        requested = _requested_fractions(row)
        by_image: dict[str, tuple[float, float, float]] = {}
        margins = []
        for run in serving_runs(row):
            step = run.task.step
            serving = step.step.image
            estimates = by_image.get(serving)
            if estimates is None:
                estimates = by_image[serving] = (
                    self.interference(serving=serving, filler=image),
                    self._upper_interference((serving, image)),
                    sum(
                        self._upper_interference((serving, name)) * fraction
                        for name, fraction in requested.items()
                    ),
                )
            margins.append(
                ServingMargin(
                    interference=estimates[0],
                    upper_interference=estimates[1],
                    baseline=self.baseline_margin(step.job.job.job_id),
                    present_cost=estimates[2],
                )
            )
        return tuple(margins)

    def needs_observation(self, run: rows.RunRow, step: rows.StepRow) -> bool:
        """Returns whether the effect of one more task of a filler step must be observed."""
        pair = (run.task.step.step.image, step.step.image)
        return (
            math.sqrt(self._variance(pair)) * full_fraction(run.target, step)
            > OBSERVATION_THRESHOLD
        )

    def _upper_interference(self, pair: tuple[str, str]) -> float:
        """Returns an upper estimate of an interference, see `CAUTION_DEVIATIONS`."""
        upper = self._upper_interferences.get(pair)
        if upper is None:
            uncertainty = CAUTION_DEVIATIONS * math.sqrt(self._variance(pair))
            upper = self.interference(serving=pair[0], filler=pair[1]) + uncertainty
            self._upper_interferences[pair] = upper
        return upper

    def _variance(self, pair: tuple[str, str]) -> float:
        estimate = self._interferences.get(pair)
        if estimate is None:
            return PRIOR_INTERFERENCE_VARIANCE
        variance = estimate.variance + INTERFERENCE_DRIFT * max(0.0, self._now - estimate.at)
        return min(PRIOR_INTERFERENCE_VARIANCE, variance)

    def _baseline_estimate(self, job_id: str) -> _Estimate:
        baseline = self._baselines.get(job_id)
        if baseline is None:
            baseline = _Estimate(
                mean=PRIOR_BASELINE_MARGIN, variance=PRIOR_BASELINE_VARIANCE, at=self._now
            )
            self._baselines[job_id] = baseline
        baseline.drift(now=self._now, rate=BASELINE_DRIFT, limit=PRIOR_BASELINE_VARIANCE)
        return baseline

    def _interference_estimate(self, serving: str, filler: str) -> _Estimate:
        estimate = self._interferences.get((serving, filler))
        if estimate is None:
            estimate = _Estimate(
                mean=PRIOR_INTERFERENCE, variance=PRIOR_INTERFERENCE_VARIANCE, at=self._now
            )
        estimate.mean = self.interference(serving=serving, filler=filler)
        estimate.drift(now=self._now, rate=INTERFERENCE_DRIFT, limit=PRIOR_INTERFERENCE_VARIANCE)
        self._interferences.pop((serving, filler), None)
        self._interferences[(serving, filler)] = estimate
        self._forget_unobserved()
        return estimate

    def _forget_unobserved(self) -> None:
        while len(self._interferences) > MAX_PAIRS:
            del self._interferences[next(iter(self._interferences))]

    def _cost(self, run: rows.RunRow, image: str, fraction: float) -> float:
        return self.interference(serving=run.task.step.step.image, filler=image) * fraction

    def _used_fractions(self, row: rows.TargetRow, fillers: list[rows.RunRow]) -> dict[str, float]:
        fractions: dict[str, float] = {}
        for filler in fillers:
            used = filler.reading
            fraction = (
                _paced_fraction(filler) if used is None else used / (row.target.cpu_millis or 1)
            )
            image = filler.task.step.step.image
            fractions[image] = fractions.get(image, 0.0) + fraction
        return {image: fraction for image, fraction in fractions.items() if fraction > 0}


class KeptMargins:
    """Margins of a model that doesn't change, kept until the runs on their target change."""

    def __init__(self, *, model: InterferenceModel) -> None:
        self._model = model
        self._margins: dict[str, dict[str, tuple[ServingMargin, ...]]] = {}

    def margins(self, row: rows.TargetRow, image: str) -> tuple[ServingMargin, ...]:
        """Returns the margins of the serving runs on a target for a filler image."""
        by_image = self._margins.setdefault(row.target_id, {})
        margins = by_image.get(image)
        if margins is None:
            margins = by_image[image] = self._model.margins(row, image)
        return margins

    def forget(self, row: rows.TargetRow) -> None:
        """Drops what is kept of a target whose runs have changed."""
        self._margins.pop(row.target_id, None)


def _reading_variance(margin: float, limit_s: float) -> float:
    """Returns the variance of a margin: its noise, and the rounding of the tail it comes from."""
    rounding = margin * margin * ROUNDING_S / limit_s
    return NOISE_VARIANCE + rounding * rounding / 12


def full_fraction(row: rows.TargetRow, step: rows.StepRow) -> float:
    """Returns the fraction of a target's processors that one task of a step requests."""
    return step.step.cpu_millis / (row.target.cpu_millis or 1)


def _requested_fractions(row: rows.TargetRow) -> dict[str, float]:
    """Returns the fraction of a target's processors that its fillers request, by image."""
    requested: dict[str, float] = {}
    for filler in row.fillers.values():
        step = filler.task.step
        image = step.step.image
        requested[image] = requested.get(image, 0.0) + full_fraction(row, step)
    return requested


def _paced_fraction(filler: rows.RunRow) -> float:
    return full_fraction(filler.target, filler.task.step) * filler.pace / 100


def serving_runs(row: rows.TargetRow) -> list[rows.RunRow]:
    """Returns the serving runs on a target, except those being stopped."""
    return [run for run in row.serving.values() if run.state != rows.RunState.STOPPING]


def filler_runs(row: rows.TargetRow) -> list[rows.RunRow]:
    """Returns the fillers on a target."""
    return list(row.fillers.values())
