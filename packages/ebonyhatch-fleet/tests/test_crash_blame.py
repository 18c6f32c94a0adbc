from __future__ import annotations

import random

import pytest
import world as world_module
from ebonyhatch.fleet import crash_blame, entry, jobs, rows, targets

MAX_STARTS = 5


def _ready(*, target_count: int = 8, entries: int = 3) -> world_module.World:
    world = world_module.World(entries=entries, target_count=target_count)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(2.0)
    return world


def _submit(world: world_module.World, count: int, *, tasks: int = 4, work_s: float = 1.0):
    step = jobs.Step(count=tasks, cpu_millis=500, estimate_s=work_s)
    submitted = [world.job(step, work_s=work_s) for _ in range(count)]
    for job in submitted:
        assert world.submit(job).verdict == entry.Verdict.DONE
    return submitted


def _mark_deadly(world: world_module.World, job: jobs.Job) -> str:
    task = rows.task_name(job_id=job.job_id, occurrence=0, step=0, index=0)
    world.deadly.add(task)
    return task


def _submit_deadly(world: world_module.World) -> tuple[jobs.Job, str]:
    """Submits a job of one task that crashes its targets; returns it and the task's name."""
    job = world.job(jobs.Step(count=1, cpu_millis=500, estimate_s=1.0), work_s=1.0)
    name = _mark_deadly(world, job)
    assert world.submit(job).verdict == entry.Verdict.DONE
    return job, name


def _starts(world: world_module.World, task: str) -> int:
    return sum(name == task for _, name, _, _ in world.starts(task.partition(".")[0]))


@pytest.mark.parametrize("deadly", [1, 4])
def test_task_that_crashes_its_targets_is_given_up_and_the_tasks_beside_it_are_done(deadly):
    world = _ready()
    step = jobs.Step(count=4, cpu_millis=500, estimate_s=1.0)
    culprits = [world.job(step, work_s=1.0) for _ in range(deadly)]
    names = [_mark_deadly(world, job) for job in culprits]
    others = _submit(world, 6)
    for job in culprits:
        world.submit(job)
    others += _submit(world, 6)
    world.run_until(
        lambda: all(world.state(job.job_id) == "failed" for job in culprits), limit_s=40.0
    )
    world.run_until(
        lambda: all(world.state(job.job_id) == "completed" for job in others), limit_s=40.0
    )
    assert all(_starts(world, name) <= MAX_STARTS for name in names)
    assert len(world.crashes) <= 3 * deadly
    world_module.check_all(world)


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 1.55, 1.6, 1.7])
def test_count_of_crashes_outlives_the_owner_that_counted_them(delay_s):
    world = _ready(entries=5)
    job, name = _submit_deadly(world)
    for _ in range(3):
        crashes = len(world.crashes)
        world.run_until(
            lambda before=crashes: len(world.crashes) > before
            or world.state(job.job_id) == "failed",
            limit_s=30.0,
        )
        world.run(delay_s)
        if world.owner is not None and world.state(job.job_id) != "failed":
            world.kill(world.owner.name)
            world.run_until(lambda: world.owner is not None, limit_s=10.0)
    world.run_until(lambda: world.state(job.job_id) == "failed", limit_s=40.0)
    assert _starts(world, name) <= MAX_STARTS


def test_tasks_of_targets_that_lose_power_together_are_not_given_up():
    world = _ready()
    submitted = _submit(world, 8, work_s=3.0)
    for _ in range(3):
        world.run(0.6)
        for number in range(4):
            world.crash_target(f"t{number}", down_s=1.0)
        world.run(1.5)
    world.run_until(
        lambda: all(world.state(job.job_id) == "completed" for job in submitted), limit_s=60.0
    )


@pytest.mark.parametrize("worked_s", [2.6, 6.0])
def test_task_that_worked_for_seconds_on_each_of_two_crashed_targets_is_done(worked_s):
    """Guards against a job that is failed since the two targets that it ran on crashed."""
    world = _ready()
    job = world.job(jobs.Step(count=1, cpu_millis=500, estimate_s=20.0), work_s=20.0)
    assert world.submit(job).verdict == entry.Verdict.DONE
    for number in range(1, 3):
        world.run_until(lambda number=number: len(world.starts(job.job_id)) == number)
        world.run(worked_s)
        world.crash_target(world.starts(job.job_id)[-1][3])
    world.run_until(lambda: world.state(job.job_id) in ("completed", "failed"), limit_s=60.0)
    assert world.state(job.job_id) == "completed"


def test_task_that_crashes_its_targets_after_seconds_of_work_is_given_up():
    """Guards against a task at fault that nothing convicts since it doesn't crash at its start."""
    world = _ready()
    job = world.job(jobs.Step(count=1, cpu_millis=500, estimate_s=20.0), work_s=20.0)
    assert world.submit(job).verdict == entry.Verdict.DONE
    for number in range(1, MAX_STARTS + 1):
        world.run_until(
            lambda number=number: len(world.starts(job.job_id)) == number
            or world.state(job.job_id) == "failed"
        )
        if world.state(job.job_id) == "failed":
            break
        world.run(4.0)
        world.crash_target(world.starts(job.job_id)[-1][3])
    world.run_until(lambda: world.state(job.job_id) == "failed")
    assert len(world.starts(job.job_id)) <= MAX_STARTS


def test_loss_of_a_target_that_is_cut_off_is_no_crash():
    world = _ready(target_count=2)
    submitted = _submit(world, 2, work_s=2.0)
    for _ in range(4):
        world.run(0.5)
        world.engines["t0"].faults.partitioned = True
        world.run(7.0)
        world.engines["t0"].faults.partitioned = False
        world.run(1.0)
    owner = world.owner.node.owner
    for job in submitted:
        for step in owner.job(job.job_id).occurrences.get(0, []):
            assert not any(task.crashes for task in step.tasks)
        assert world.state(job.job_id) == "completed"


def _row_with(*tasks: tuple[int, float]) -> rows.TargetRow:
    """Returns a target with a run for each task, given by its crashes and the time of its order."""
    target = targets.Target(target_id="t", address="t:1", pool="p", failure_domain="a", born=1)
    row = rows.TargetRow(target=target)
    for number, (crashes, ordered_at) in enumerate(tasks):
        task = rows.TaskRow(step=None, index=number, name=f"task{number}", crashes=crashes)
        key = targets.RunKey(task=task.name, run=1)
        row.runs[key] = rows.RunRow(
            key=key,
            task=task,
            target=row,
            state=rows.RunState.RUNNING,
            ordered_at=ordered_at,
            started_at=ordered_at,
        )
    return row


@pytest.mark.parametrize(
    ("tasks", "blamed"),
    [
        ([(0, 1.0), (0, 2.0)], [0, 1]),
        ([(0, 2.0), (0, 2.01)], [0, 0]),
        ([(1, 2.0), (0, 2.01), (0, 2.02)], [1, 0, 0]),
        ([(1, 2.0), (1, 2.01)], [0, 0]),
        ([(2, 2.0), (1, 2.01)], [1, 0]),
        ([(3, 1.0), (0, 2.0)], [0, 1]),
        ([(0, 0.0)], [0]),
    ],
)
def test_the_last_ordered_run_is_blamed_and_of_several_the_one_with_most_crashes(tasks, blamed):
    row = _row_with(*tasks)
    counted = crash_blame.record_crash(row, now=3.0)
    assert [task.blamed_crashes for task in counted] == blamed
    assert [task.crashes for task in counted] == [crashes + 1 for crashes, _ in tasks]


def test_runs_without_an_answer_and_old_runs_are_not_held_responsible():
    row = _row_with((0, 1.0), (0, 50.0), (0, 60.0))
    unanswered = list(row.runs.values())[2]
    unanswered.state, unanswered.started_at = rows.RunState.ORDERED, 0.0
    counted = crash_blame.record_crash(row, now=61.5)
    assert [(task.name, task.blamed_crashes) for task in counted] == [("task1", 1)]


def test_gang_whose_member_crashes_its_targets_is_given_up():
    world = _ready()
    job = world.job(jobs.Step(count=3, cpu_millis=500, estimate_s=1.0, gang=True), work_s=1.0)
    name = _mark_deadly(world, job)
    others = _submit(world, 4)
    world.submit(job)
    world.run_until(lambda: world.state(job.job_id) == "failed", limit_s=60.0)
    assert _starts(world, name) <= MAX_STARTS
    assert all(world.state(other.job_id) == "completed" for other in others)


def test_job_that_was_given_up_says_why():
    world = _ready()
    job, name = _submit_deadly(world)
    world.run_until(lambda: world.state(job.job_id) == "failed", limit_s=40.0)
    assert name in world.owner.node.owner.job(job.job_id).reason
    world.kill(world.owner.name)
    world.run_until(lambda: world.state(job.job_id) == "failed", limit_s=10.0)
    starts = _starts(world, name)
    world.run(5.0)
    assert _starts(world, name) == starts


@pytest.mark.parametrize("delay_s", [0.5, 1.6])
def test_crash_of_a_target_that_another_one_replaces_at_its_address_outlives_the_owner(delay_s):
    world = _ready(entries=5)
    world.replace_crashed = True
    job, name = _submit_deadly(world)
    world.run_until(lambda: len(world.crashes) == 2, limit_s=30.0)
    world.run(delay_s)
    world.kill(world.owner.name)
    world.run_until(lambda: world.owner is not None, limit_s=10.0)
    before_s = world.clock.seconds()
    world.run_until(lambda: world.state(job.job_id) == "failed", limit_s=40.0)
    assert _starts(world, name) <= 3
    assert world.clock.seconds() - before_s < 8.0


def test_tasks_of_targets_that_lose_power_together_five_times_are_not_given_up():
    world = _ready()
    submitted = _submit(world, 8, work_s=5.0)
    for wave in range(5):
        world.run(1.0)
        for number in range(4):
            world.crash_target(f"t{(number + 4 * wave) % 8}", down_s=1.0)
        world.run(2.0)
    world.run_until(
        lambda: all(world.state(job.job_id) in rows.ENDED_STATES for job in submitted), limit_s=90.0
    )
    assert [world.state(job.job_id) for job in submitted] == ["completed"] * len(submitted)


def _lose_power_in_waves(world: world_module.World, rng: random.Random) -> None:
    """Crashes drawn targets together, up to five times; in half of the cases others replace them."""
    world.replace_crashed = rng.random() < 0.5
    down_s = rng.uniform(0.5, 3.0)
    for _ in range(rng.randint(1, 5)):
        world.run(rng.uniform(0.5, 4.0))
        names = sorted(name for name, engine in world.engines.items() if not engine.faults.replaced)
        for name in rng.sample(names, rng.randint(4, len(names))):
            world.crash_target(name, down_s=down_s + rng.choice([0.0, rng.uniform(0.0, 1.0)]))
            if world.replace_crashed:
                world.clock.callLater(0.9 * down_s, world.unregister, name)
        world.run(down_s)


@pytest.mark.parametrize("seed", [*range(8), 57, 72])
def test_waves_of_power_loss_give_up_no_task_that_could_be_done(seed):
    rng = random.Random(seed)
    world = _ready(target_count=rng.choice([8, 16]))
    submitted = _submit(world, 8, tasks=rng.randint(1, 6), work_s=rng.uniform(0.5, 6.0))
    _lose_power_in_waves(world, rng)
    world.run_until(
        lambda: all(world.state(job.job_id) in rows.ENDED_STATES for job in submitted), limit_s=90.0
    )
    assert [world.state(job.job_id) for job in submitted] == ["completed"] * len(submitted)


@pytest.mark.parametrize("seed", [*range(8), 21])
def test_waves_of_power_loss_dont_hide_a_task_that_crashes_its_targets(seed):
    rng = random.Random(seed)
    world = _ready(target_count=rng.choice([8, 16]))
    submitted = _submit(world, 4, tasks=rng.randint(1, 4), work_s=rng.uniform(0.5, 3.0))
    job, name = _submit_deadly(world)
    _lose_power_in_waves(world, rng)
    world.run_until(lambda: world.state(job.job_id) == "failed", limit_s=60.0)
    assert _starts(world, name) <= MAX_STARTS
    world.run_until(
        lambda: all(world.state(one.job_id) in rows.ENDED_STATES for one in submitted), limit_s=60.0
    )
    assert [world.state(one.job_id) for one in submitted] == ["completed"] * len(submitted)


def _lost_row(*, from_s: float, by_s: float, trial_at: float | None) -> rows.TargetRow:
    """Returns a lost target, with a suspect that started there at `trial_at`."""
    row = _row_with((0, 1.0)) if trial_at is None else _row_with((0, 1.0), (1, trial_at))
    row.loss = rows.Loss(from_s=from_s, by_s=by_s)
    if trial_at is not None:
        run = list(row.runs.values())[-1]
        run.task.trial = rows.Trial(run=run.key.run, target_id="t", born=1, isolated=False)
    return row


@pytest.mark.parametrize(
    ("others", "joint"),
    [
        ([], crash_blame.JointLoss.ALONE),
        ([(5.0, 5.1, None)], crash_blame.JointLoss.ALONE),
        ([(5.0, 5.1, None), (5.05, 5.2, None)], crash_blame.JointLoss.COMMON_CAUSE),
        ([(5.0, 5.1, 4.9), (5.05, 5.2, 5.0)], crash_blame.JointLoss.SUSPECTS),
        ([(5.0, 5.1, 4.9), (5.0, 5.1, None), (4.0, 5.2, 3.0)], crash_blame.JointLoss.COMMON_CAUSE),
        ([(5.0, 5.1, 4.9), (5.0, 5.1, None)], crash_blame.JointLoss.SUSPECTS),
        ([(3.0, 3.1, None), (7.0, 7.2, None)], crash_blame.JointLoss.ALONE),
    ],
)
def test_loss_of_targets_without_suspects_at_one_moment_has_a_common_cause(others, joint):
    row = _lost_row(from_s=5.0, by_s=5.0, trial_at=4.95)
    lost = [
        _lost_row(from_s=from_s, by_s=by_s, trial_at=trial_at) for from_s, by_s, trial_at in others
    ]
    assert crash_blame.LossHistory().record(row, [row, *lost], now=8.0) == joint


@pytest.mark.parametrize(("now", "joint"), [(8.0, "common-cause"), (70.0, "alone")])
def test_loss_of_targets_that_are_gone_again_is_remembered_for_a_while(now, joint):
    history = crash_blame.LossHistory()
    for _ in range(2):
        history.record(_lost_row(from_s=5.0, by_s=5.1, trial_at=None), [], now=7.0)
    late = _lost_row(from_s=5.0, by_s=5.1, trial_at=None)
    assert history.record(late, [late], now=now).value == joint
    assert history.record(late, [late], now=now).value == joint


def test_targets_that_are_removed_while_they_are_silent_were_lost():
    history = crash_blame.LossHistory()
    for _ in range(2):
        history.note_removal(_lost_row(from_s=5.0, by_s=5.1, trial_at=None))
    answering = _row_with((0, 1.0))
    history.note_removal(answering)
    late = _lost_row(from_s=5.0, by_s=5.1, trial_at=None)
    assert history.record(late, [late], now=7.0) == crash_blame.JointLoss.COMMON_CAUSE


def test_crashes_of_a_common_cause_make_suspects_and_blame_nobody():
    row = _row_with((0, 1.0), (1, 2.0), (2, 3.0), (3, 4.0))
    counted = crash_blame.record_crash(row, now=5.0, joint=crash_blame.JointLoss.COMMON_CAUSE)
    assert [task.crashes for task in counted] == [1, 2, 2, 3]
    assert not any(task.blamed_crashes for task in counted)


@pytest.mark.parametrize(
    ("isolated", "crashes", "blamed"),
    [
        ([False], [1], [0]),
        ([True], [1], [1]),
        ([True, True, True], [1, 1, 1], [1, 1, 1]),
        ([True, False, False], [1, 1, 1], [0, 0, 0]),
        ([True, True, False, False], [1, 1, 1, 1], [0, 0, 0, 0]),
        ([False, False, False], [1, 1, 1], [0, 0, 0]),
    ],
)
def test_crashes_that_no_owner_saw_are_counted_by_their_trials(isolated, crashes, blamed):
    crashed = []
    for number, alone in enumerate(isolated):
        trial = rows.Trial(run=1, target_id=f"t{number}", born=1, isolated=alone)
        crashed.append((rows.TaskRow(step=None, index=number, name=f"task{number}"), trial))
    crash_blame.record_unseen_crashes(crashed)
    assert [task.crashes for task, _ in crashed] == crashes
    assert [task.blamed_crashes for task, _ in crashed] == blamed


@pytest.mark.parametrize("replaced", [False, True])
def test_target_that_is_back_later_than_those_lost_with_it_shares_their_cause(replaced):
    world = _ready()
    world.replace_crashed = replaced
    submitted = _submit(world, 8, work_s=5.0)
    world.run(1.0)
    for number in range(4):
        world.crash_target(f"t{number}", down_s=1.0 + 0.7 * number)
        if replaced:
            world.clock.callLater(0.9, world.unregister, f"t{number}")
    world.run(5.0)
    owner = world.owner.node.owner
    steps = [owner.job(job.job_id).occurrences.get(0, []) for job in submitted]
    tasks = [task for (step,) in filter(None, steps) for task in step.tasks]
    assert any(task.crashes for task in tasks)
    assert not any(task.blamed_crashes for task in tasks)
