"""The interference model, on randomized loads and interference that it has to estimate."""

from __future__ import annotations

import math
import random

import placed
import pytest
from ebonyhatch.fleet import interference, jobs, progress, queues, rows, tables, targets

LIMIT_S = 0.018
BASE_S = 0.004
CPU_MILLIS = 32_000
READ_EVERY_S = 0.5
SWING_S = 10.0

TRUE_INTERFERENCE = {
    ("s", "loud"): 9.0,
    ("s", "quiet"): 0.5,
    ("t", "loud"): 0.4,
    ("t", "quiet"): 7.0,
}
"""Margin that a filler would take if it used all processors of its target, by serving image and
filler image."""


class Fleet:
    """Targets that each run a task of one of two serving jobs, and changing fillers."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.model = interference.InterferenceModel()
        self.queue = queues.Queue(name="q", host="", prefix="", pool="p")
        self.jobs = {image: self.job(image, filler=False) for image in ("s", "t")}
        self.fillers = {image: self.job(image, filler=True) for image in ("loud", "quiet")}
        self.rows = [
            rows.TargetRow(
                target=targets.Target(
                    target_id=f"t{number}",
                    address=f"t{number}:1",
                    pool="p",
                    failure_domain="a",
                    cpu_millis=CPU_MILLIS,
                )
            )
            for number in range(6)
        ]
        self.serving = [
            placed.run_on(row, self.jobs["s" if number % 2 else "t"], number)
            for number, row in enumerate(self.rows)
        ]

    def job(self, image: str, *, filler: bool) -> rows.StepRow:
        step = jobs.Step(
            count=50,
            cpu_millis=4_000,
            image=image,
            filler=filler,
            long_running=not filler,
            tail_limit_s=0.0 if filler else LIMIT_S,
        )
        job = jobs.Job(job_id=image.ljust(16, "0"), queue="q", spec="", steps=(step,))
        return progress.new_steps(rows.JobRow(job=job, queue=self.queue), 0)[0]

    def simulate(self, seconds: float) -> None:
        for tick in range(int(seconds / READ_EVERY_S)):
            now = tick * READ_EVERY_S
            self.model.advance_to(now)
            for index, row in enumerate(self.rows):
                if tick % 4 == 0:
                    self.randomize_fillers(row, index)
                self.read(self.serving[index], row, now)

    def randomize_fillers(self, row: rows.TargetRow, index: int) -> None:
        for filler in interference.filler_runs(row):
            tables.release(filler)
        for number, image in enumerate(("loud", "quiet")):
            if self.random.random() < 0.6:
                filler = placed.run_on(row, self.fillers[image], 10 * number + index)
                filler.reading = float(filler.task.step.step.cpu_millis)

    def read(self, run: rows.RunRow, row: rows.TargetRow, now: float) -> None:
        image = run.task.step.step.image
        phase = 0.0 if image == "s" else 1.0
        load = 0.42 * (1 + 0.5 * math.sin(2 * math.pi * now / SWING_S + phase))
        margin = (1 - load) * LIMIT_S / BASE_S
        fillers = interference.filler_runs(row)
        for filler in fillers:
            value = TRUE_INTERFERENCE[(image, filler.task.step.step.image)]
            margin -= value * filler.task.step.step.cpu_millis / CPU_MILLIS
        margin = max(0.3, margin + self.random.gauss(0.0, 0.2))
        run.reading = round(LIMIT_S / margin, 3)
        self.model.learn(run, fillers)


@pytest.mark.parametrize("seed", range(8))
def test_pairs_with_high_and_low_interference_are_distinguished_within_twenty_seconds(seed):
    """The load of the job changes at the same time, by more than a filler changes the margin."""
    fleet = Fleet(seed)
    fleet.simulate(20.0)
    learned = {
        pair: fleet.model.interference(serving=pair[0], filler=pair[1])
        for pair in TRUE_INTERFERENCE
    }
    low = [
        value
        for pair, value in learned.items()
        if TRUE_INTERFERENCE[pair] < interference.PRIOR_INTERFERENCE
    ]
    high = [
        value
        for pair, value in learned.items()
        if TRUE_INTERFERENCE[pair] > interference.PRIOR_INTERFERENCE
    ]
    assert min(high) > max(interference.PRIOR_INTERFERENCE, 2 * max(low)), learned


@pytest.mark.parametrize("seed", range(8))
def test_the_baseline_margin_follows_the_load_despite_fillers(seed):
    fleet = Fleet(seed)
    fleet.simulate(20.0)
    for image, phase in (("s", 0.0), ("t", 1.0)):
        load = 0.42 * (1 + 0.5 * math.sin(2 * math.pi * 19.5 / SWING_S + phase))
        learned = fleet.model.baseline_margin(image.ljust(16, "0"))
        assert learned == pytest.approx((1 - load) * LIMIT_S / BASE_S, abs=0.6)


def test_a_slow_target_changes_estimates_of_pairs_little():
    """Its tails are many times too long, whichever fillers it runs."""
    fleet = Fleet(1)
    fleet.simulate(20.0)
    before = fleet.model.interference(serving="t", filler="loud")
    run, row = fleet.serving[0], fleet.rows[0]
    for filler in interference.filler_runs(row):
        tables.release(filler)
    filler = placed.run_on(row, fleet.fillers["loud"], 0)
    filler.reading = float(filler.task.step.step.cpu_millis)
    run.reading = 0.9
    for _ in range(3):
        fleet.model.learn(run, [filler])
    assert fleet.model.interference(serving="t", filler="loud") < before + 3.0


def _cautious_cost(model, run, step):
    """Returns the upper estimate of what one more task of a filler step would cost a serving run."""
    serving = interference.serving_runs(run.target)
    margin = model.margins(run.target, step.step.image)[serving.index(run)]
    return margin.upper_interference * interference.full_fraction(run.target, step)


def test_a_pair_needs_observation_until_it_is_known():
    fleet = Fleet(3)
    run, step = fleet.serving[0], fleet.fillers["quiet"]
    assert fleet.model.needs_observation(run, step)
    assert _cautious_cost(fleet.model, run, step) > fleet.model.extra_cost(run, step)
    uncertain = _cautious_cost(fleet.model, run, step) - fleet.model.extra_cost(run, step)
    fleet.simulate(20.0)
    assert not fleet.model.needs_observation(run, step)
    certain = _cautious_cost(fleet.model, run, step) - fleet.model.extra_cost(run, step)
    assert certain < uncertain / 3


@pytest.mark.parametrize("seed", range(4))
def test_cautious_cost_equals_the_one_computed_anew(seed):
    fleet = Fleet(seed)
    model, pick = fleet.model, random.Random(seed)
    for step in range(300):
        event = pick.randrange(4)
        index = pick.randrange(len(fleet.rows))
        if event == 0:
            model.advance_to(step * 0.1)
        elif event == 1:
            fleet.randomize_fillers(fleet.rows[index], index)
        elif event == 2:
            fleet.read(fleet.serving[index], fleet.rows[index], step * 0.1)
        elif pick.random() < 0.1:
            model.restore((("s", "loud", pick.uniform(0, 9)),))
        for run in fleet.serving:
            for filler in fleet.fillers.values():
                pair = (run.task.step.step.image, filler.step.image)
                deviation = math.sqrt(model._variance(pair))
                upper = model.interference(serving=pair[0], filler=pair[1])
                upper += interference.CAUTION_DEVIATIONS * deviation
                expected = upper * filler.step.cpu_millis / CPU_MILLIS
                assert _cautious_cost(model, run, filler) == pytest.approx(expected, rel=1e-12)


@pytest.mark.parametrize("seed", range(4))
def test_kept_margins_equal_those_of_the_model_once_changed_targets_are_forgotten(seed):
    fleet = Fleet(seed)
    fleet.simulate(5.0)
    kept, pick = interference.KeptMargins(model=fleet.model), random.Random(seed)
    for _ in range(100):
        index = pick.randrange(len(fleet.rows))
        row = fleet.rows[index]
        if pick.random() < 0.5:
            fleet.randomize_fillers(row, index)
            kept.forget(row)
        for image in ("loud", "quiet", "unknown"):
            assert kept.margins(row, image) == fleet.model.margins(row, image)


@pytest.mark.parametrize("seed", range(4))
def test_present_cost_is_that_of_all_fillers_at_full_pace(seed):
    fleet = Fleet(seed)
    fleet.simulate(5.0)
    for row in fleet.rows:
        serving = interference.serving_runs(row)
        margins = fleet.model.margins(row, "unknown")
        for run, margin in zip(serving, margins, strict=True):
            fillers = [filler.task.step for filler in interference.filler_runs(row)]
            expected = sum(_cautious_cost(fleet.model, run, step) for step in fillers)
            assert margin.present_cost == pytest.approx(expected, rel=1e-12)


def test_pairs_of_images_that_were_not_observed_for_long_are_forgotten():
    """Guards against memory that grows with each pair of images that ever shared a target."""
    model = interference.InterferenceModel()
    count = interference.MAX_PAIRS + 10
    model.restore(tuple((f"s{number}", "f", 0.5) for number in range(count)))
    assert len(model.interferences()) == interference.MAX_PAIRS
