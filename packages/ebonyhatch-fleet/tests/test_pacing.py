from __future__ import annotations

import itertools

import msgspec
import pytest
from ebonyhatch.fleet import (
    commands,
    interference,
    jobs,
    pacing,
    progress,
    queues,
    rows,
    tables,
    targets,
)
from ebonyhatch.fleet.constraints import registry
from ebonyhatch.fleet.relocation import fillers

LIMIT_S = 0.02


class PacingCase:
    """One target with serving runs and fillers, and the decisions of pacing for it."""

    def __init__(self) -> None:
        target = targets.Target(
            target_id="t", address="t:1", pool="p", failure_domain="a", cpu_millis=10_000
        )
        self.row = rows.TargetRow(target=target)
        self.model = interference.InterferenceModel()
        self.commands: list[commands.Command] = []
        self.stopped: list[rows.RunRow] = []
        self.now = 0.0
        self.elsewhere = msgspec.structs.replace(target, target_id="u", address="u:1")
        self.tables = tables.Tables()
        self.tables.targets["t"] = self.row
        self.pacing = pacing.Pacing(
            model=self.model,
            emit=self.commands.append,
            decide=lambda *args, **fields: None,
            stop=lambda run, **fields: self.stopped.append(run),
            should_move=fillers.FillerRelocation(
                all_tables=self.tables, context=self._context
            ).should_move,
        )

    def _context(self, now: float) -> registry.Context:
        margins = interference.KeptMargins(model=self.model)
        return registry.Context(now=now, tails=margins, kept=lambda row: False)

    def add_target(self) -> None:
        """Adds a target without runs, on which fillers are at full speed."""
        row = self.tables.set_target(self.elsewhere)
        row.confirmed = row.announced = True

    def add(self, number: int, step: jobs.Step) -> rows.RunRow:
        job_id = f"{number:016x}"
        job = jobs.Job(job_id=job_id, queue="q", spec="", steps=(step,))
        queue = queues.Queue(name="q", host="", prefix="", pool="p")
        row = rows.JobRow(job=job, queue=queue)
        task = progress.new_steps(row, 0)[0].tasks[0]
        task.step.expected_s = 2.0
        run = rows.RunRow(
            key=targets.RunKey(task=task.name, run=1),
            task=task,
            target=self.row,
            state=rows.RunState.RUNNING,
        )
        tables.reserve(run)
        return run

    def serving(self, number: int, image: str = "s") -> rows.RunRow:
        step = jobs.Step(
            count=1, cpu_millis=2_000, image=image, long_running=True, tail_limit_s=LIMIT_S
        )
        return self.add(number, step)

    def filler(self, number: int, image: str = "f", *, checkpoints: bool = False) -> rows.RunRow:
        step = jobs.Step(
            count=1, cpu_millis=1_000, image=image, filler=True, checkpoints=checkpoints
        )
        return self.add(number, step)

    def review(self, tail_s: float, seconds: float = 0.5) -> None:
        self.now += seconds
        self.model.advance_to(self.now)
        for run in interference.serving_runs(self.row):
            run.reading = tail_s
        self.pacing.review(self.row, now=self.now)


def _steady_tail_s() -> float:
    """Returns a tail at which a filler's pace is neither raised nor lowered, seconds."""
    return LIMIT_S / (pacing.MIN_MARGIN + 0.05)


def test_a_filler_is_slowed_down_when_a_serving_task_is_over_its_limit():
    case = PacingCase()
    case.serving(1)
    filler = case.filler(2)
    for _ in range(4):
        case.review(0.04)
    assert filler.pace == 0
    assert case.commands


def test_a_filler_keeps_its_pace_when_serving_tasks_have_margin():
    case = PacingCase()
    case.serving(1)
    filler = case.filler(2)
    for _ in range(10):
        case.review(0.007)
    assert filler.pace == 100 and case.commands == []


def test_the_filler_with_the_most_interference_is_slowed_down_first():
    case = PacingCase()
    case.serving(1)
    high, low = case.filler(2, "bad"), case.filler(3, "good")
    case.model.restore((("s", "bad", 20.0), ("s", "good", 0.0)))
    case.review(0.021)
    assert high.pace < 100 and low.pace == 100


def test_a_filler_is_sped_up_again_in_steps_once_there_is_margin():
    case = PacingCase()
    case.serving(1)
    filler = case.filler(2)
    for _ in range(4):
        case.review(0.04)
    paces = []
    for _ in range(40):
        case.review(0.006)
        paces.append(filler.pace)
    assert paces[-1] == 100
    assert all(
        after - before <= pacing.PACE_STEP_PERCENT for before, after in itertools.pairwise(paces)
    )


@pytest.mark.parametrize(("checkpoints", "stopped"), [(True, True), (False, False)])
def test_a_filler_with_a_low_pace_is_stopped_if_that_loses_little_work(checkpoints, stopped):
    case = PacingCase()
    case.add_target()
    case.serving(1)
    filler = case.filler(2, checkpoints=checkpoints)
    filler.percent = 60
    for _ in range(8):
        case.review(0.04)
    assert (filler in case.stopped) == stopped


def test_a_filler_with_a_low_pace_stays_while_no_other_target_would_run_it():
    """Guards against tasks that are stopped only to wait, which makes their whole job late."""
    case = PacingCase()
    case.serving(1)
    filler = case.filler(2, checkpoints=True)
    for _ in range(8):
        case.review(0.04)
    assert case.stopped == [] and filler.pace < 50
    case.add_target()
    case.review(0.04)
    assert case.stopped[0] is filler


def test_a_filler_that_is_nearly_done_stays_at_half_its_speed():
    """Guards against moves that take longer than the rest of the work."""
    case = PacingCase()
    case.add_target()
    case.serving(1)
    filler = case.filler(2, checkpoints=True)
    filler.percent, filler.pace = 70, 50
    for _ in range(4):
        case.review(_steady_tail_s())
    assert case.stopped == []


def test_interference_is_learned_for_each_pair_of_images():
    case = PacingCase()
    case.serving(1, "touchy")
    case.filler(2, "loud").reading = 1_000
    for _ in range(60):
        case.review(0.006)
    learned = case.model.interference(serving="touchy", filler="loud")
    assert learned < interference.PRIOR_INTERFERENCE / 2


def test_interference_that_is_not_observed_returns_to_the_prior():
    model = interference.InterferenceModel()
    model.restore((("s", "f", 20.0),))
    assert model.interference(serving="s", filler="f") == 20.0
    model.advance_to(10 * interference.PRIOR_RETURN_HALF_LIFE_S)
    assert model.interference(serving="s", filler="f") == pytest.approx(
        interference.PRIOR_INTERFERENCE, abs=0.1
    )
