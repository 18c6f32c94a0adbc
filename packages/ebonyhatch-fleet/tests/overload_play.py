"""Plays callers that compete for too little capacity, with refusals and their retries."""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable

import load_play
from ebonyhatch.fleet import admission, entry, jobs, node, ordering, queues

QUEUES = tuple(
    queues.Queue(
        name=f"q{number}", host="", prefix="", pool="p", priority=number, stretch=2.0, slack_s=1.0
    )
    for number in range(3)
)
TARGETS = 12
CPU_MILLIS = 16_000
ESTIMATES_S = (0.5, 1.0, 2.0, 4.0)
WIDTHS = (1, 1, 1, 2, 4, 8)
MAX_TRIES = 4
"""Number of submissions after which a caller gives up."""


class OverloadPlay:
    """Jobs of one step that arrive at a multiple of what the targets can do.

    `load` returns this multiple at a time; entries refuse as they do with the owner's reports.
    """

    def __init__(
        self, *, seed: int, load: Callable[[float], float], play_s: float, refuse: bool
    ) -> None:
        self.play = load_play.Play(
            seed=seed, target_count=TARGETS, cpu_millis=CPU_MILLIS, refuse_late_work=refuse
        )
        self.random = random.Random(seed + 1)
        self.load = load
        self.play_s = play_s
        self.entry = admission.QueueLoad()
        self.configuration = queues.Configuration(version=1, queues=QUEUES)
        self.work_s: dict[str, list[float]] = {}
        self.refused_at: list[float] = []
        self.retry_at: list[float] = []
        self.free_at_refusal: list[float] = []
        self.submissions = 0
        mean_s = 1.5 * statistics.mean(ESTIMATES_S) * statistics.mean(WIDTHS)
        self.rate = TARGETS * CPU_MILLIS / 1000 / mean_s
        self.play.call_at(0.0, self._notice)
        self.play.call_at(0.1, lambda: self._arrive(0.1))
        self.play.run(play_s + 40.0)

    def _notice(self) -> None:
        now = self.play.now
        waits_s = self.play.subject.waits_s(self.configuration, now=now, wall=self.play.wall)
        self.entry.update(term=1, waits_s=waits_s, now=now)
        self.play.call_at(now + node.LOAD_NOTICE_INTERVAL_S, self._notice)

    def _arrive(self, at: float) -> None:
        number = len(self.work_s) + 1
        estimate_s = self.random.choice(ESTIMATES_S)
        width = self.random.choice(WIDTHS)
        step = jobs.Step(
            count=width, cpu_millis=1_000, estimate_s=estimate_s, image=f"i{number % 3}"
        )
        queue = QUEUES[number % 3]
        job = jobs.Job(
            job_id=f"{number:016x}",
            queue=queue.name,
            spec="",
            steps=(step,),
            accepted_at=self.play.wall,
        )
        self.work_s[job.job_id] = [
            load_play.actual_s(self.random, estimate_s) for _ in range(width)
        ]
        self.play.jobs[job.job_id] = load_play.Job(job=job, queue=queue, submitted_at=self.play.now)
        self._submit(self.play.jobs[job.job_id])
        following = at + self.random.expovariate(self.rate * self.load(at))
        if following < self.play_s:
            self.play.call_at(following, lambda: self._arrive(following))

    def _submit(self, called: load_play.Job) -> None:
        now = self.play.now
        self.submissions += 1
        refusal = self.entry.refusal(queue=called.queue, job=called.job, now=now)
        self.entry.record(refused=refusal is not None, now=now)
        if refusal is None:
            called.accepted_at = now
            self.play.add(called.job, called.queue, work_s=[self.work_s[called.job.job_id]])
            return
        rows_now = self.play.subject.tables.targets.values()
        self.free_at_refusal.append(sum(row.free_cpu for row in rows_now) / (TARGETS * CPU_MILLIS))
        called.refusals += 1
        self.refused_at.append(now)
        if called.refusals < MAX_TRIES:
            jitter = self.random.uniform(1.0, 1.0 + entry.JITTER_FRACTION)
            retry_at = now + refusal.retry_after_s * jitter
            self.retry_at.append(retry_at)
            self.play.call_at(retry_at, lambda: self._submit(called))

    def worth(self, called: load_play.Job) -> float:
        """Returns 1 for a job within its objective, and less up to 0 at three times of it."""
        if called.ended_at is None:
            return 0.0
        work_s = max(self.work_s[called.job.job_id])
        objective_s = called.queue.stretch * work_s + called.queue.slack_s
        late = (called.ended_at - called.submitted_at) / objective_s
        factor = ordering.USEFUL_OBJECTIVE_FACTOR
        return max(0.0, min(1.0, (factor - late) / (factor - 1)))

    def mean_worth(self, selects: Callable[[load_play.Job], bool] = lambda called: True) -> float:
        return statistics.mean(
            self.worth(called) for called in self.play.jobs.values() if selects(called)
        )

    @property
    def never_accepted(self) -> int:
        return sum(called.accepted_at is None for called in self.play.jobs.values())
