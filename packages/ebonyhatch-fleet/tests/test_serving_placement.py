"""Serving tasks that are placed again beside fillers, on a load with known interference."""

from __future__ import annotations

import math
import random

from ebonyhatch.fleet import commands, jobs, queues, rows, scheduler, targets
from ebonyhatch.fleet.constraints import interference as interference_constraint

QUEUE = queues.Queue(name="q", host="", prefix="", pool="p", priority=1, max_attempts=3)
LIMIT_S = 0.2
BASE_S = 0.045
CPU_MILLIS = 32_000
TARGETS = 12
READ_EVERY_S = 0.5
LOSS_EVERY_S = 2.0
AWAY_S = 5.0
PLAY_S = 60.0
TRUE_INTERFERENCE = {
    ("s", "loud"): 9.0,
    ("s", "quiet"): 0.4,
    ("t", "loud"): 0.4,
    ("t", "quiet"): 9.0,
}
"""Margin that a filler would take if it used all processors of its target, by serving image and
filler image."""


class Play:
    """Targets with serving tasks and fillers, of which one after the other is lost and comes back."""

    def __init__(self, *, seed: int) -> None:
        self.random = random.Random(seed)
        self.subject = scheduler.Scheduler(decide=lambda *args, **fields: None)
        self.subject.reconciled = self.subject.may_place = True
        self.now = 0.0
        self.over_s = self.served_s = 0.0
        for number in range(TARGETS):
            self._register(f"t{number}", born=1)
        for number, image in enumerate(("s", "t")):
            self._add(10 + number, count=12, image=image, long_running=True, tail_limit_s=LIMIT_S)
        for number, image in enumerate(("loud", "quiet")):
            self._add(number, count=40, image=image, filler=True, estimate_s=1_000.0)

    def _register(self, target_id: str, *, born: int) -> None:
        target = targets.Target(
            target_id=target_id,
            address="a:1",
            pool="p",
            failure_domain="a",
            born=born,
            cpu_millis=CPU_MILLIS,
            memory_mb=100_000,
        )
        row = self.subject.set_target(target, now=self.now)
        row.confirmed = row.announced = True

    def _add(self, number: int, **fields: object) -> None:
        step = jobs.Step(cpu_millis=4_000, **fields)
        job = jobs.Job(job_id=f"{number:016x}", queue="q", spec="", steps=(step,))
        row = rows.JobRow(job=job, queue=QUEUE)
        self.subject.add_job(row, now=self.now, wall=self.now)

    def run(self) -> float:
        """Returns the part of the time of serving tasks in which they are over their limit."""
        while self.now < PLAY_S:
            self.now += READ_EVERY_S
            if self.now % LOSS_EVERY_S < READ_EVERY_S / 2:
                serving = [row for row in self.subject.tables.targets.values() if row.serving]
                lost = self.random.choice(serving)
                self.subject.mark_runs_lost(lost, why="lost", now=self.now)
                lost.quarantined_until = self.now + AWAY_S
            for row in self.subject.tables.targets.values():
                self._report(row)
            for command in self.subject.tick(now=self.now, wall=self.now):
                if isinstance(command, commands.StartRun):
                    self.subject.reconciler.start_confirmed(
                        command.run, clock_s=self.now, now=self.now
                    )
                elif isinstance(command, commands.StopRun):
                    self._end(command)
        return self.over_s / self.served_s

    def _end(self, command: commands.StopRun) -> None:
        ended = targets.Ended(
            number=self.random.randrange(1, 10**9), key=command.key, kind=targets.EndKind.STOPPED
        )
        self._report(command.target, ended=(ended,))

    def _report(self, row: rows.TargetRow, *, ended: tuple[targets.Ended, ...] = ()) -> None:
        gone = {one.key for one in ended}
        report = targets.StatusReport(
            clock_s=self.now,
            born=row.target.born,
            running=tuple(
                targets.Running(key=run.key, percent=100.0, reading=self._reading(run))
                for run in row.runs.values()
                if run.key not in gone
            ),
            ended=ended,
        )
        self.subject.apply_report(row, report, now=self.now)

    def _reading(self, run: rows.RunRow) -> float:
        spec = run.task.step.step
        if spec.filler:
            return spec.cpu_millis * run.pace / 100
        load = 0.35 * (1 + 0.4 * math.sin(self.now))
        margin = (1 - load) * LIMIT_S / BASE_S
        for filler in run.target.fillers.values():
            value = TRUE_INTERFERENCE[(spec.image, filler.task.step.step.image)]
            margin -= value * spec.cpu_millis / CPU_MILLIS * filler.pace / 100
        margin = max(0.3, margin + self.random.gauss(0.0, 0.1))
        self.served_s += READ_EVERY_S
        self.over_s += READ_EVERY_S * (margin < 1)
        return 1000 * LIMIT_S / margin


def test_serving_tasks_that_are_placed_again_avoid_fillers_that_would_take_their_margin(
    monkeypatch,
):
    """Guards against responses over the limit until the fillers of the new target are slowed down."""
    seeds = range(4)
    avoided = [Play(seed=seed).run() for seed in seeds]
    monkeypatch.setattr(interference_constraint, "MAX_SHORTAGE_PENALTY", 0.0)
    ignored = [Play(seed=seed).run() for seed in seeds]
    assert all(one < other for one, other in zip(avoided, ignored, strict=True))
