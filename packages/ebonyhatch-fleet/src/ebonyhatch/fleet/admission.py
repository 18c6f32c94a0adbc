"""Refusing jobs at once that could not be of use any more: the answer to overload."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import jobs, ordering, queues

LOAD_VALID_S = 2.0
"""Age from which the owner's word on load counts for nothing, seconds; jobs are accepted then."""

LEAST_RETRY_AFTER_S = 1.0
"""Shortest Retry-After, seconds; the header holds whole seconds."""


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a job is not accepted, and when to come back."""

    reason: str
    retry_after_s: float


class Load:
    """What this entry knows of the load of each queue.

    It answers lasting overload: more work than the targets do. Without it every job waits
    until none is of use.
    """

    def __init__(self) -> None:
        self._waits_s: dict[str, float] = {}
        self._heard_at: float | None = None
        self._term = 0

    def hear(self, *, term: int, waits_s: dict[str, float], now: float) -> None:
        """Take in the owner's word; that of an older term is dropped."""
        if term < self._term:
            return
        self._term = term
        self._waits_s = waits_s
        self._heard_at = now

    def age_s(self, *, now: float) -> float | None:
        """Give the age of the owner's word, seconds; None for none."""
        return None if self._heard_at is None else round(now - self._heard_at, 3)

    def refusal(self, *, queue: queues.Queue, job: jobs.Job, now: float) -> Refusal | None:
        """Refuse a job that would begin after the time in which it is of use."""
        age_s = self.age_s(now=now)
        if age_s is None or age_s > LOAD_VALID_S or job.timed or job.long_running:
            return None
        wait_s = self._waits_s.get(queue.name, 0.0) - age_s
        chain_s = sum(step.estimate_s for step in job.steps)
        useful_s = ordering.USEFUL_OBJECTIVES * (queue.stretch * chain_s + queue.slack_s) - chain_s
        if wait_s <= useful_s:
            return None
        return Refusal(
            reason=f"a job would wait {wait_s:.1f} s",
            retry_after_s=max(LEAST_RETRY_AFTER_S, wait_s - useful_s),
        )
