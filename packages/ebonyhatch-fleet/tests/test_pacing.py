from __future__ import annotations

import itertools

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

LIMIT_S = 0.02


class Setting:
    """One target with serving runs and fillers, and what pacing decides for it."""

    def __init__(self) -> None:
        target = targets.Target(
            target_id="t", address="t:1", pool="p", failure_domain="a", cpu_millis=10_000
        )
        self.row = rows.TargetRow(target=target)
        self.model = interference.InterferenceModel()
        self.commands: list[commands.Command] = []
        self.stopped: list[rows.RunRow] = []
        self.now = 0.0
        self.pacing = pacing.Pacing(
            model=self.model,
            emit=self.commands.append,
            decide=lambda *args, **fields: None,
            stop=lambda run, **fields: self.stopped.append(run),
        )

    def add(self, number: int, step: jobs.Step) -> rows.RunRow:
        job_id = f"{number:016x}"
        job = jobs.Job(job_id=job_id, queue="q", spec="", steps=(step,))
        queue = queues.Queue(name="q", host="", prefix="", pool="p")
        row = rows.JobRow(job=job, queue=queue)
        task = progress.new_steps(row, 0)[0].tasks[0]
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


def test_a_filler_beside_a_task_over_its_limit_is_paced_down():
    setting = Setting()
    setting.serving(1)
    filler = setting.filler(2)
    for _ in range(4):
        setting.review(0.04)
    assert filler.pace == 0
    assert setting.commands


def test_a_filler_beside_tasks_with_margin_works_on():
    setting = Setting()
    setting.serving(1)
    filler = setting.filler(2)
    for _ in range(10):
        setting.review(0.007)
    assert filler.pace == 100 and setting.commands == []


def test_the_filler_that_does_the_harm_is_lowered_first():
    setting = Setting()
    setting.serving(1)
    harmful, harmless = setting.filler(2, "bad"), setting.filler(3, "good")
    setting.model.restore((("s", "bad", 20.0), ("s", "good", 0.0)))
    setting.review(0.021)
    assert harmful.pace < 100 and harmless.pace == 100


def test_a_filler_is_paced_up_again_in_steps_once_there_is_margin():
    setting = Setting()
    setting.serving(1)
    filler = setting.filler(2)
    for _ in range(4):
        setting.review(0.04)
    paces = []
    for _ in range(40):
        setting.review(0.006)
        paces.append(filler.pace)
    assert paces[-1] == 100
    assert all(
        after - before <= pacing.PACE_STEP_PERCENT for before, after in itertools.pairwise(paces)
    )


@pytest.mark.parametrize(("checkpoints", "stopped"), [(True, True), (False, False)])
def test_a_filler_that_stays_low_moves_if_that_loses_little(checkpoints, stopped):
    setting = Setting()
    setting.serving(1)
    filler = setting.filler(2, checkpoints=checkpoints)
    filler.percent = 60
    for _ in range(8):
        setting.review(0.04)
    assert (filler in setting.stopped) == stopped


def test_harm_is_learnt_for_each_pair_of_images():
    setting = Setting()
    setting.serving(1, "touchy")
    setting.filler(2, "loud").reading = 1_000
    for _ in range(60):
        setting.review(0.006)
    calm = setting.model.interference(serving="touchy", filler="loud")
    assert calm < interference.PRIOR_INTERFERENCE / 2


def test_a_harm_that_is_not_seen_is_doubted_after_a_while():
    model = interference.InterferenceModel()
    model.restore((("s", "f", 20.0),))
    assert model.interference(serving="s", filler="f") == 20.0
    model.advance_to(10 * interference.PRIOR_RETURN_HALF_LIFE_S)
    assert model.interference(serving="s", filler="f") == pytest.approx(
        interference.PRIOR_INTERFERENCE, abs=0.1
    )
