"""Speeds of targets that are learned from progress and ends of runs."""

from __future__ import annotations

import random
import statistics

import load_play
import msgspec
import pytest
from ebonyhatch.fleet import jobs, queues, rows, scheduler, targets
from ebonyhatch.fleet.constraints import speed as speed_constraint
from ebonyhatch.fleet.speed import estimate, kinds, target_speeds

QUEUES = tuple(
    queues.Queue(
        name=f"q{number}", host="", prefix="", pool="p", priority=number, stretch=2.0, slack_s=1.0
    )
    for number in range(2)
)
SLOW_S = 6.5
TARGETS = 16
CPU_MILLIS = 2_000
PLAY_S = 40.0
JOB_ID = "0" * 15 + "1"


class SlowTargets:
    """Episodes in which single targets are slow."""

    def __init__(self, seed: int) -> None:
        source = random.Random(seed)
        self.episodes = [
            (f"t{source.randrange(TARGETS)}", 6 + 2.2 * number, source.uniform(3, 7.5))
            for number in range(14)
        ]

    def speed(self, target_id: str, now: float) -> float:
        factors = [
            factor
            for name, start, factor in self.episodes
            if name == target_id and start <= now < start + SLOW_S
        ]
        return 1 / max(factors, default=1.0)


def _play(*, seed, speed, learn, estimates_s=(0.5, 1.0, 3.0, 8.0), load=0.6) -> load_play.Play:
    """Plays short jobs of one task that arrive at random."""
    play = load_play.Play(seed=seed, target_count=TARGETS, speed=speed, learn_target_speed=learn)
    source = random.Random(seed + 1)
    mean_s = 1.5 * statistics.mean(estimates_s)
    rate = load * TARGETS * 16_000 / CPU_MILLIS / mean_s

    def arrive(at: float) -> None:
        number = len(play.jobs) + 1
        estimate_s = source.choice(estimates_s)
        step = jobs.Step(
            count=1, cpu_millis=CPU_MILLIS, estimate_s=estimate_s, image=f"i{number % 3}"
        )
        queue = QUEUES[number % 2]
        job = jobs.Job(
            job_id=f"{number:016x}", queue=queue.name, spec="", steps=(step,), accepted_at=play.wall
        )
        play.jobs[job.job_id] = load_play.Job(job=job, queue=queue, submitted_at=play.now)
        play.add(job, queue, work_s=[[load_play.actual_s(source, estimate_s)]])
        following = at + source.expovariate(rate)
        if following < PLAY_S:
            play.call_at(following, lambda: arrive(following))

    play.call_at(0.1, lambda: arrive(0.1))
    play.run(PLAY_S + 20.0)
    return play


def _started_slow(play: load_play.Play, slow: SlowTargets) -> int:
    return sum(slow.speed(target_id, at) < 1 for at, _, target_id in play.starts)


def _mean_s(play: load_play.Play) -> float:
    ended = [(job.ended_at or play.now) - job.submitted_at for job in play.jobs.values()]
    return statistics.mean(ended)


def test_targets_that_become_slow_get_less_work_and_jobs_end_earlier():
    """Guards against work for targets that are 3 to 7.5 times as slow for 6.5 s.

    Reports come once a second without an end, so that the first of 6.5 s can't be saved.
    """
    started_off = started_on = 0
    for seed in range(4):
        slow = SlowTargets(seed)
        off = _play(seed=seed, speed=slow.speed, learn=False)
        on = _play(seed=seed, speed=slow.speed, learn=True)
        started_off += _started_slow(off, slow)
        started_on += _started_slow(on, slow)
        assert _mean_s(on) < _mean_s(off)
    assert started_on < 0.5 * started_off


@pytest.mark.parametrize("estimates_s", [(0.1, 0.2, 0.4), (0.5, 1.0, 3.0, 8.0), (2.0, 20.0)])
def test_targets_of_one_speed_keep_their_work_though_run_times_vary(estimates_s):
    """Guards against targets that are taken to be slow for a few runs that were longer than declared."""
    levels = []

    def speed(target_id: str, now: float) -> float:
        levels.append(play_rows[target_id].speed if play_rows else 1.0)
        return 1.0

    play_rows: dict[str, rows.TargetRow] = {}
    original = load_play.Play.add_target

    def add_target(self, target_id, **fields):
        original(self, target_id, **fields)
        play_rows[target_id] = self.subject.tables.targets[target_id]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(load_play.Play, "add_target", add_target)
        _play(seed=1, speed=speed, learn=True, estimates_s=estimates_s)
    assert statistics.mean(level <= 0.5 for level in levels) < 0.01
    assert statistics.mean(levels) > 0.97


def test_all_targets_slow_at_once_get_their_work():
    """Guards against work that is held back when there is no faster target."""

    def speed(target_id: str, now: float) -> float:
        return 0.2 if 10 <= now < 16 else 1.0

    off = _play(seed=1, speed=speed, learn=False)
    on = _play(seed=1, speed=speed, learn=True)
    assert len(on.starts) == len(off.starts)
    assert _mean_s(on) < 1.02 * _mean_s(off)


class Fleet:
    """A scheduler with two targets whose reports a test makes."""

    def __init__(self, *steps: jobs.Step, target_count: int = 2) -> None:
        self.subject = scheduler.Scheduler(
            decide=lambda *args, **fields: None, learn_target_speed=True
        )
        self.subject.reconciled = self.subject.may_place = True
        for number in range(target_count):
            target = targets.Target(
                target_id=f"t{number}",
                address="a:1",
                pool="p",
                failure_domain="a",
                rack=f"r{number}",
                born=1,
                cpu_millis=8_000,
                memory_mb=1_000,
            )
            row = self.subject.set_target(target, now=0.0)
            row.confirmed = row.announced = True
        job = jobs.Job(job_id=JOB_ID, queue="q0", spec="", steps=steps)
        self.subject.add_job(rows.JobRow(job=job, queue=QUEUES[0]), now=0.0, wall=0.0)
        for command in self.subject.tick(now=0.0, wall=0.0):
            self.subject.reconciler.start_confirmed(command.run, clock_s=0.1, now=0.1)

    def target(self, number: int = 0) -> rows.TargetRow:
        return self.subject.tables.targets[f"t{number}"]

    def report(self, now: float, percent: float, *, number: int = 0, ended=()) -> None:
        row = self.target(number)
        keys = [key for key in row.runs if key not in ended]
        report = targets.StatusReport(
            clock_s=now,
            born=row.target.born,
            running=tuple(targets.Running(key=key, percent=percent) for key in keys),
            ended=tuple(
                targets.Ended(number=n, key=key, kind=targets.EndKind.DONE)
                for n, key in enumerate(ended, start=1)
            ),
        )
        self.subject.apply_report(row, report, now=now)

    def slow_down(self) -> float:
        """Reports progress at the expected rate for 6 s and a seventh of it after; returns the end."""
        for second in range(1, 7):
            self.report(float(second), 2.0 * second)
        for half in range(1, 5):
            self.report(6 + half / 2, 12 + half / 7)
        return 8.0


SHORT = jobs.Step(count=4, cpu_millis=2_000, estimate_s=50.0, image="i")


def _busy_fleet(**fields) -> Fleet:
    return Fleet(msgspec.structs.replace(SHORT, **fields), target_count=1)


def test_runs_that_all_become_slow_show_a_slow_target():
    fleet = _busy_fleet()
    fleet.slow_down()
    assert fleet.target().speed <= target_speeds.LOGGED_SPEED
    assert fleet.subject.slow_targets == 1


@pytest.mark.parametrize(
    "fields",
    [
        {"filler": True},
        {"gang": True},
        {"long_running": True},
    ],
)
def test_runs_whose_progress_says_nothing_of_their_target_are_ignored(fields):
    """Fillers are paced, gangs progress with the slowest member, services report no progress."""
    fleet = _busy_fleet(**fields)
    fleet.slow_down()
    assert fleet.target().speed == 1.0


def test_runs_far_from_their_data_are_not_taken_for_slow():
    """They take a multiple of the time, of which the owner knows nothing."""
    fleet = _busy_fleet(data_rack="elsewhere")
    for second in range(1, 8):
        fleet.report(float(second), 2.0 * second / 3)
    assert fleet.target().speed == 1.0


def test_runs_that_begin_late_are_not_taken_for_slow():
    """Guards against a cold start that looks like a slow target."""
    fleet = _busy_fleet()
    for second in range(1, 6):
        fleet.report(float(second), 0.0)
    for second in range(6, 10):
        fleet.report(float(second), 2.0 * (second - 5))
    assert fleet.target().speed == 1.0


def test_first_ends_of_an_image_on_a_target_are_not_taken_for_slow():
    """Guards against a cold start that looks like a slow target, where runs end between reports."""
    fleet = _busy_fleet(estimate_s=1.0)
    fleet.report(8.0, 0.0, ended=list(fleet.target().runs))
    assert fleet.target().speed == 1.0


def test_one_run_that_is_slower_than_declared_shows_nothing():
    fleet = _busy_fleet(count=1)
    for second in range(1, 8):
        fleet.report(float(second), 2.0 * second / 4)
    assert fleet.target().speed == 1.0


def test_a_slow_target_without_further_evidence_counts_as_normal_again():
    """Guards against a target that gets no work for good as it was slow once."""
    fleet = _busy_fleet()
    now = fleet.slow_down()
    while fleet.target().speed < 1.0:
        now += 0.5
        fleet.subject.tick(now=now, wall=now)
    assert now - 8.0 < SLOW_S


def test_a_target_whose_runs_are_fast_again_counts_as_normal_at_once():
    fleet = _busy_fleet()
    fleet.slow_down()
    for second in range(1, 4):
        fleet.report(8.0 + second, 12.6 + 2 * second)
    assert fleet.target().speed == 1.0


def test_a_new_incarnation_begins_at_normal_speed():
    fleet = _busy_fleet()
    fleet.slow_down()
    restarted = msgspec.structs.replace(fleet.target().target, born=2)
    fleet.subject.set_target(restarted, now=8.0)
    assert fleet.target().speed == 1.0
    assert fleet.subject.slow_targets == 0


def test_a_target_that_was_removed_leaves_nothing_behind():
    """Guards against memory that grows with replaced targets."""
    fleet = _busy_fleet()
    fleet.slow_down()
    row = fleet.target()
    fleet.subject.mark_runs_lost(row, why="lost", now=8.0)
    fleet.subject.remove_target(row)
    fleet.subject.tick(now=20.0, wall=20.0)
    assert fleet.subject._speeds.estimate("t0") is None and not fleet.subject._speeds._slow


def test_speeds_are_not_learned_unless_enabled():
    subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
    assert subject._speeds is None and subject.slow_targets == 0


def test_a_standing_target_is_worse_than_a_remote_one_and_a_normal_one_is_not():
    """Work in another rack than its data takes about three times as long."""
    fleet = Fleet(SHORT)
    step = fleet.subject.tables.jobs[JOB_ID].occurrences[0][0]
    row = fleet.target()
    assert speed_constraint.speed_score(step, row, None) == 0.0
    row.speed = 1 / 7.5
    assert speed_constraint.speed_score(step, row, None) < -2.0
    row.speed = 0.5
    assert speed_constraint.speed_score(step, row, None) < -1.0


def test_estimate_without_evidence_returns_to_the_prior():
    subject = estimate.SpeedEstimate()
    subject.correct(log_speed=-2.0, variance=0.05)
    assert subject.speed_in(0.0) < 0.3
    subject.advance_to(60.0)
    assert subject.speed_in(0.0) == 1.0
    assert subject.variance == pytest.approx(estimate.PRIOR_VARIANCE, rel=1e-3)


def test_deviations_of_a_kind_are_those_of_its_median_and_bounded_in_number():
    subject = kinds.Kinds()
    for deviation in (0.4, 0.5, 0.6, 0.5, -9.0):
        subject.add(("q", "i"), deviation)
    assert subject.expected(("q", "i")) == (0.5, kinds.RUN_VARIANCE)
    assert subject.expected(("q", "other"))[0] == 0.0
    for number in range(2 * kinds.MAX_KINDS):
        subject.add(("q", str(number)), 0.0)
    assert len(subject) == kinds.MAX_KINDS


def test_warm_images_of_a_target_are_bounded():
    state = target_speeds._TargetState(estimate=estimate.SpeedEstimate())
    for number in range(2 * target_speeds.MAX_WARM_IMAGES):
        target_speeds._note_end(state, str(number), started_at=0.0, now=float(number))
    assert len(state.warm) == target_speeds.MAX_WARM_IMAGES
