"""How fillers disturb serving tasks, learnt from the tails that targets report.

The tail of a serving task is taken as that of a queue: base / (1 - utilization), where fillers
beside it add to the utilization in proportion to the processor time they use, by an amount that
depends on both images. In terms of the margin, limit / tail, that is linear:

    margin = own margin - sum over fillers (harm of the pair x share of the target's processors)

The own margin moves with the job's load and is followed job by job; the harms are followed by
normalized least mean squares, since they change too.
"""

from __future__ import annotations

import dataclasses

from ebonyhatch.fleet import rows

PRIOR_HARM = 4.0
"""Harm of a pair that was never seen, margins for a whole target's processors: of the pairs that
were traced, about half are near 0 and half between 3 and 9."""

MOST_HARM = 40.0
"""Bound of a harm, so that one bad reading can't exclude a pair for good."""

HARM_RATE = 0.25
"""Share of the error that one reading corrects in the harms."""

OWN_RATE = 0.25
"""Share of the error that one reading corrects in a job's own margin; it follows swings of
seconds."""

MOST_MARGIN = 8.0
"""Margins above this count as this: there the tail tells nothing about harm."""

START_MARGIN = 2.5
"""Own margin of a job that was not read yet."""

DOUBT_HALF_LIFE_S = 30.0
"""Time after which half of what a harm exceeds the prior by is forgotten while the pair isn't seen,
seconds: harms change within seconds, and a pair that is kept apart teaches nothing."""

NOISE_SHARES = 0.01
"""Regularization, shares of a target squared: fillers that use little teach little."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class OwnMargin:
    """Own margin of a serving job.

    Attributes:
        level: The margin without fillers, as last estimated.
        readings: Readings so far.
    """

    level: float = START_MARGIN
    readings: int = 0


class TailModel:
    """Margins of serving jobs and harms of pairs of images."""

    def __init__(self) -> None:
        self._own: dict[str, OwnMargin] = {}
        self._harms: dict[tuple[str, str], float] = {}
        self._seen_at: dict[tuple[str, str], float] = {}
        self._now = 0.0

    def at(self, now: float) -> None:
        """Let time pass until `now`, seconds."""
        self._now = now

    def harm(self, *, serving: str, filler: str) -> float:
        """Give the harm of a filler image on a serving image."""
        pair = (serving, filler)
        harm = self._harms.get(pair, PRIOR_HARM)
        if harm <= PRIOR_HARM:
            return harm
        age_s = max(0.0, self._now - self._seen_at.get(pair, self._now))
        return float(PRIOR_HARM + (harm - PRIOR_HARM) * 0.5 ** (age_s / DOUBT_HALF_LIFE_S))

    def own_margin(self, job_id: str) -> float:
        """Give a serving job's margin without fillers."""
        own = self._own.get(job_id)
        return START_MARGIN if own is None else own.level

    def harms(self) -> tuple[tuple[str, str, float], ...]:
        """Give the harms: serving image, filler image, harm."""
        return tuple(
            (serving, filler, round(self.harm(serving=serving, filler=filler), 2))
            for serving, filler in self._harms
        )

    def restore(self, harms: tuple[tuple[str, str, float], ...]) -> None:
        """Begin with harms that were learnt before."""
        for serving, filler, harm in harms:
            self._harms[(serving, filler)] = harm
            self._seen_at[(serving, filler)] = self._now

    def forget(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._own.pop(job_id, None)

    def learn(self, run: rows.RunRow, fillers: list[rows.RunRow]) -> None:
        """Take in the reading of a serving run, with the fillers beside it."""
        step = run.task.step
        if not run.reading:
            return
        margin = min(step.step.tail_limit_s / run.reading, MOST_MARGIN)
        own = self._own.setdefault(step.job.job.job_id, OwnMargin())
        shares = self._shares(run.target, fillers)
        image = step.step.image
        expected = own.level - sum(
            self.harm(serving=image, filler=name) * share for name, share in shares.items()
        )
        error = margin - expected
        squares = sum(share * share for share in shares.values())
        own.readings += 1
        rate = max(OWN_RATE, 1.0 / own.readings) if not shares else OWN_RATE / 2
        own.level = min(MOST_MARGIN, max(0.2, own.level + rate * error))
        for name, share in shares.items():
            step_size = HARM_RATE * error * share / (squares + NOISE_SHARES)
            harm = self.harm(serving=image, filler=name) - step_size
            self._harms[(image, name)] = min(MOST_HARM, max(0.0, harm))
            self._seen_at[(image, name)] = self._now

    def cost(self, run: rows.RunRow, filler: rows.RunRow) -> float:
        """Give the margin that a filler at its pace takes from a serving run beside it."""
        return self._cost(run, filler.task.step.step.image, _share(filler))

    def margin(self, run: rows.RunRow, fillers: list[rows.RunRow]) -> float:
        """Predict the margin of a serving run beside fillers at their pace."""
        own = self.own_margin(run.task.step.job.job.job_id)
        return own - sum(self.cost(run, filler) for filler in fillers)

    def extra_cost(self, run: rows.RunRow, step: rows.StepRow) -> float:
        """Give the margin that one more task of a filler step would take from a serving run."""
        share = step.step.cpu_millis / (run.target.target.cpu_millis or 1)
        return self._cost(run, step.step.image, share)

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


def _share(filler: rows.RunRow) -> float:
    total = filler.target.target.cpu_millis or 1
    return filler.task.step.step.cpu_millis * filler.pace / 100 / total


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
