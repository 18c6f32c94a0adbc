"""Admission under overload: what waits, what is refused, and what callers get."""

from __future__ import annotations

import math

import overload_play
import placed
import pytest
from ebonyhatch.fleet import jobs, progress, queues, rows, tables, targets
from ebonyhatch.fleet.overload import backlog

PEAK_FROM_S = 10.0
USUAL_LOAD = 0.7


def _peak(height: float, lasts_s: float):
    def load(now: float) -> float:
        return height if PEAK_FROM_S <= now < PEAK_FROM_S + lasts_s else USUAL_LOAD

    return load


def _swing(now: float) -> float:
    return 0.9 * (1 + 0.55 * math.sin(2 * math.pi * now / 13))


def _play(load, *, seed: int, refuse: bool, play_s: float) -> overload_play.OverloadPlay:
    return overload_play.OverloadPlay(seed=seed, load=load, play_s=play_s, refuse=refuse)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "load", [_peak(1.5, 4.0), _peak(2.6, 3.5), _swing], ids=["1.5", "2.6", "swing"]
)
def test_nothing_is_refused_in_an_overload_that_is_worked_off_in_time(load, seed):
    """Guards against refusals of jobs that would have earned a part of their worth."""
    play = _play(load, seed=seed, refuse=True, play_s=20.0)
    assert not play.refused_at
    assert play.mean_worth() > 0.5


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("height", [1.5, 2.6])
def test_callers_get_no_less_in_a_sustained_overload_with_refusals(height, seed):
    """Guards against refusals of jobs that could be served, or of urgent ones."""
    load = _peak(height, 100.0)
    off = _play(load, seed=seed, refuse=False, play_s=35.0)
    on = _play(load, seed=seed, refuse=True, play_s=35.0)
    assert on.mean_worth() > off.mean_worth() - 0.03
    assert len(on.refused_at) <= 0.6 * on.submissions
    assert max(on.free_at_refusal, default=0.0) <= backlog.FREE_FRACTION
    urgent = [called for called in on.play.jobs.values() if called.queue.priority == 0]
    assert not any(called.refusals for called in urgent)
    wide = on.mean_worth(lambda called: called.job.steps[0].count == 8)
    assert wide >= 0.5 * on.mean_worth()


def test_callers_that_are_refused_in_a_sustained_overload_do_not_come_back_together():
    """Guards against waves of retries: no quarter of a second gets half of those of 5 s."""
    on = _play(_peak(2.6, 100.0), seed=1, refuse=True, play_s=35.0)
    assert on.refused_at
    for start in range(15, 35, 5):
        within = [at for at in on.retry_at if start <= at < start + 5]
        bins = [
            sum(int(4 * at) == number for at in within)
            for number in range(4 * start, 4 * start + 20)
        ]
        if len(within) >= 40:
            assert max(bins) < 0.5 * len(within)


CONFIGURATION = queues.Configuration(version=1, queues=overload_play.QUEUES)


class Pool:
    """A target of 4 cores with short runs, and waiting work that a test adds."""

    def __init__(self, *, free_millis: int = 0) -> None:
        self.tables = tables.Tables()
        self.subject = backlog.Backlog(all_tables=self.tables)
        self.now = 0.0
        target = targets.Target(
            target_id="t", address="a:1", pool="p", failure_domain="a", cpu_millis=4_000
        )
        row = self.tables.set_target(target)
        row.confirmed = row.announced = True
        busy = self.step(count=1, cpu_millis=4_000 - free_millis)
        self.run = placed.run_on(row, busy, 0)
        self._number = 1

    def step(
        self, *, priority: int = 0, due_s: float = 1e6, number: int = 0, **fields
    ) -> rows.StepRow:
        spec = jobs.Step(estimate_s=1.0, **fields)
        queue = overload_play.QUEUES[priority]
        job = jobs.Job(job_id=f"{number:016x}", queue=queue.name, spec="", steps=(spec,))
        step = progress.new_steps(rows.JobRow(job=job, queue=queue), 0)[0]
        step.due_at = due_s
        return step

    def wait_for(self, *, priority: int = 0, count: int = 80, due_s: float = 1e6) -> rows.StepRow:
        step = self.step(
            priority=priority, count=count, cpu_millis=1_000, due_s=due_s, number=self._number
        )
        self._number += 1
        step.waiting.extend(step.tasks)
        self.tables.add_waiting(step)
        return step

    def observe(self, seconds: float = 3.0, *, started: float = 1.0) -> dict[str, float]:
        """Observes for a while in which a core starts `started` core-seconds of work a second."""
        until = self.now + seconds
        waits_s: dict[str, float] = {}
        while self.now < until:
            self.now += 0.25
            spec = self.run.task.step
            spec.expected_s = 0.25 * started
            self.subject.note_start(self.run)
            waits_s = self.subject.waits_s(CONFIGURATION, now=self.now, wall=0.0)
        return waits_s


def test_the_wait_is_the_work_ahead_by_the_rate_at_which_it_is_worked_off():
    pool = Pool()
    pool.wait_for(count=80)
    assert pool.observe()["q0"] == pytest.approx(20.0, rel=0.05)
    slow = Pool()
    slow.wait_for(count=80)
    assert slow.observe(started=0.5)["q0"] == pytest.approx(40.0, rel=0.05)


def test_urgent_work_is_estimated_without_the_work_behind_it():
    pool = Pool()
    pool.wait_for(priority=2, count=800)
    assert set(pool.observe()) == {"q2"}


def test_late_work_of_its_own_priority_does_not_hold_up_a_new_job_and_urgent_late_work_does():
    pool = Pool()
    pool.wait_for(priority=1, count=80, due_s=0.9)
    waits_s = pool.observe()
    assert "q1" not in waits_s and waits_s["q2"] > 0


def test_work_that_can_not_be_useful_any_more_holds_up_nothing():
    pool = Pool()
    pool.wait_for(count=80, due_s=0.1)
    assert pool.observe() == {}


def test_no_wait_is_reported_while_targets_have_free_capacity():
    """What waits there lacks a label, memory or a large gap, and others can be served."""
    pool = Pool(free_millis=1_000)
    pool.wait_for(count=800)
    assert pool.observe() == {}


def test_a_new_owner_reports_no_wait_before_it_has_measured_a_rate():
    pool = Pool()
    pool.wait_for(count=800)
    assert pool.observe(backlog.MIN_MEASURED_S / 2) == {}


def test_a_burst_that_is_gone_at_once_is_not_reported():
    """Guards against refusals for a job of many tasks that are placed meanwhile."""
    pool = Pool()
    kept = pool.wait_for(count=4)
    assert pool.observe() == {}
    burst = pool.wait_for(count=800)
    assert pool.observe(backlog.CONFIRM_S / 2) == {}
    burst.waiting.clear()
    pool.tables.waiting.drop_empty()
    assert kept.waiting and pool.observe() == {}


def test_refusals_end_only_below_the_wait_at_which_they_began():
    """Guards against entries that refuse and accept in turn around the limit."""
    pool = Pool()
    limit_s = 3 * overload_play.QUEUES[0].slack_s
    step = pool.wait_for(count=round(4 * limit_s) + 2)
    assert "q0" in pool.observe()
    for _ in range(3):
        step.waiting.popleft()
    assert "q0" in pool.observe()
    for _ in range(4):
        step.waiting.popleft()
    assert "q0" not in pool.observe()
    for _ in range(3):
        step.waiting.append(step.tasks[0])
    assert "q0" not in pool.observe()


def test_a_sample_of_many_steps_estimates_the_wait_of_all():
    """Guards against an owner that measures ten thousand steps four times a second."""
    pool = Pool()
    for _ in range(2 * backlog.MAX_STEPS):
        pool.wait_for(count=1)
    wait_s = pool.observe(2.0)["q0"]
    assert wait_s == pytest.approx(2 * backlog.MAX_STEPS / 4, rel=0.05)
