"""Admission control: under overload, refuses jobs that would finish too late to be useful."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import jobs, ordering, queues

LOAD_VALID_S = 2.0
"""Age at which the owner's load report expires, seconds; jobs are accepted after that."""

MIN_RETRY_AFTER_S = 1.0
"""Minimum value of Retry-After, seconds; the header holds whole seconds."""


MAX_REFUSED_SHARE = 0.5
"""Share of the recent submissions to an entry above which it accepts jobs in any case: on a day at
most 0.6 of the requests may be refused or fail."""

SHARE_HALF_LIFE_S = 30.0
"""Half-life of the counts of submissions and refusals, seconds."""

MIN_SUBMISSIONS = 10.0
"""Number of recent submissions from which on their share counts."""


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for refusing a job, and the time after which to submit it again."""

    reason: str
    retry_after_s: float


class QueueLoad:
    """Load of each queue as last reported by the owner.

    It guards against sustained overload, when more work arrives than the targets can do: if every
    job were accepted, all would wait until none is useful.
    """

    def __init__(self) -> None:
        self._waits_s: dict[str, float] = {}
        self._updated_at: float | None = None
        self._term = 0
        self._submissions = 0.0
        self._refusals = 0.0
        self._counted_at = 0.0

    def update(self, *, term: int, waits_s: dict[str, float], now: float) -> None:
        """Applies the owner's load report; a report of an older term is dropped."""
        if term < self._term:
            return
        self._term = term
        self._waits_s = waits_s
        self._updated_at = now

    def age_s(self, *, now: float) -> float | None:
        """Returns the age of the owner's load report, seconds; None if there is none."""
        return None if self._updated_at is None else round(now - self._updated_at, 3)

    def longest_wait_s(self, *, now: float) -> float:
        """Returns the longest wait of a queue, seconds; 0 without a valid load report."""
        age_s = self.age_s(now=now)
        if age_s is None or age_s > LOAD_VALID_S:
            return 0.0
        return max(self._waits_s.values(), default=0.0)

    def record(self, *, refused: bool, now: float) -> None:
        """Counts an answered submission."""
        kept = 0.5 ** (max(0.0, now - self._counted_at) / SHARE_HALF_LIFE_S)
        self._counted_at = now
        self._submissions = self._submissions * kept + 1
        self._refusals = self._refusals * kept + refused

    @property
    def _refuses_too_much(self) -> bool:
        return (
            self._submissions >= MIN_SUBMISSIONS
            and self._refusals > MAX_REFUSED_SHARE * self._submissions
        )

    def refusal(self, *, queue: queues.Queue, job: jobs.Job, now: float) -> Refusal | None:
        """Returns a refusal if a job would start too late to be useful, otherwise None."""
        age_s = self.age_s(now=now)
        if age_s is None or age_s > LOAD_VALID_S or job.timed or job.long_running:
            return None
        wait_s = self._waits_s.get(queue.name, 0.0) - age_s
        if self._refuses_too_much:
            return None
        work_s = _longest_chain_s(job)
        useful_s = (
            ordering.USEFUL_OBJECTIVE_FACTOR * (queue.stretch * work_s + queue.slack_s) - work_s
        )
        if wait_s <= useful_s:
            return None
        return Refusal(
            reason=f"a job would wait {wait_s:.1f} s",
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s - useful_s),
        )


def _longest_chain_s(job: jobs.Job) -> float:
    """Returns the declared run time of the longest chain of steps of a job, seconds."""
    longest: list[float] = []
    for step in job.steps:
        predecessors_s = max((longest[index] for index in step.after), default=0.0)
        longest.append(predecessors_s + step.estimate_s)
    return max(longest, default=0.0)
