"""The owner's account of the memory that accepted jobs take, and of what it has promised to new ones."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

DEFAULT_MEMORY_BYTES = 200_000_000
"""Memory of an instance that doesn't tell its size, bytes."""

JOBS_SHARE = 0.3
"""Share of an instance's memory for accepted jobs; the rest is for the program itself, requests that are
being read and tasks in progress."""

RUNS_SHARE = 0.4
"""Share of an instance's memory for tasks in progress."""

RUN_BYTES = 2_000
"""Memory of a task in progress among many, bytes."""

LARGE_JOBS_SHARE = 0.5
"""Share of the budget that large jobs may fill. Small ones may fill the more the smaller they are, so
that ordinary ones are still accepted beside others."""

REPORTED_SHARE = 0.4
"""Used share of the budget from which on the owner reports it to the entries."""

SMALL_BYTES = 64_000
"""Price up to which a job is small, bytes. Entries accept small jobs without asking the owner."""

PROMISE_S = 10.0
"""Time for which memory is kept for a job that is being made durable, seconds: a write without an answer
may take effect some seconds later."""

MIN_RETRY_AFTER_S = 2.0
MAX_RETRY_AFTER_S = 30.0

RATE_TIME_S = 10.0
"""Time over which the rate at which jobs free memory is averaged, seconds."""


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a job may be accepted.

    Attributes:
        granted: Whether it may.
        permanent: Whether it never may, however little memory is in use.
        uncertain: Whether an earlier submission of it may still take effect, for all that is known.
        reason: Reason of a refusal.
        retry_after_s: Time after which to submit a refused job again, seconds.
    """

    granted: bool
    permanent: bool = False
    uncertain: bool = False
    reason: str = ""
    retry_after_s: float = 0.0


def budget_bytes(memory_bytes: float) -> int:
    """Returns the memory for accepted jobs on an instance, bytes."""
    return int(JOBS_SHARE * (memory_bytes or DEFAULT_MEMORY_BYTES))


def max_runs(budget: int) -> int:
    """Returns the number of tasks that may be in progress on an instance with a budget for jobs."""
    return int(budget / JOBS_SHARE * RUNS_SHARE / RUN_BYTES)


def limit_bytes(price_bytes: int, *, budget: int) -> float:
    """Returns up to where the memory may be in use, together with a job of a price, bytes."""
    size = min(1.0, price_bytes / SMALL_BYTES)
    return budget * (1.0 - (1.0 - LARGE_JOBS_SHARE) * size)


def check_size(*, price_bytes: int, budget: int) -> Decision | None:
    """Returns the refusal of a job that doesn't fit into the budget at all; else None."""
    limit = int(LARGE_JOBS_SHARE * budget)
    if price_bytes <= limit:
        return None
    return Decision(
        granted=False,
        permanent=True,
        reason=f"the job needs {price_bytes} bytes of memory, and a job may take {limit}",
    )


class Ledger:
    """Jobs that an owner has read, and memory that it has promised to others.

    Owners of earlier terms may have promised memory to jobs whose writes are still on their way. So
    a new owner promises none to large jobs until those have taken effect or never will.
    """

    def __init__(self, *, budget: int, first_term: bool, now: Callable[[], float]) -> None:
        """Creates a ledger.

        Args:
            budget: Memory for accepted jobs, bytes.
            first_term: Whether no owner was there before.
            now: Returns the monotonic time, seconds.
        """
        self._budget = budget
        self._now = now
        self._opens_at = now() + (0.0 if first_term else PROMISE_S)
        self._prices: dict[str, int] = {}
        self._used = 0
        self._promised: dict[str, tuple[float, int]] = {}
        self._promised_bytes = 0
        self._freed_bytes = 0.0
        self._freed_at = now()

    @property
    def used_bytes(self) -> int:
        """Memory of the jobs that were read, bytes."""
        return self._used

    @property
    def used_share(self) -> float:
        """Share of the budget that is in use or promised."""
        self._drop_expired()
        return (self._used + self._promised_bytes) / self._budget

    def record(self, job_id: str, price_bytes: int) -> None:
        """Sets the price of a job that is durable; it takes the place of what was promised to it."""
        self._drop_promise(job_id)
        self._set(job_id, price_bytes)

    def remove(self, job_id: str) -> None:
        """Removes a job."""
        self._set(job_id, 0)

    def note_sent(self, job_id: str, price_bytes: int) -> None:
        """Keeps memory for a job that may be made durable at any moment by a write without an answer."""
        if job_id not in self._prices:
            self._promise(job_id, price_bytes)

    def is_promised(self, job_id: str) -> bool:
        """Returns whether memory is kept for a job that may be made durable at any moment."""
        self._drop_expired()
        return job_id in self._promised

    def promise(self, job_id: str, price_bytes: int) -> Decision:
        """Keeps memory for a job that is about to be made durable, unless there is too little.

        A job that was read, or to which memory is promised, is never refused.
        """
        refusal = check_size(price_bytes=price_bytes, budget=self._budget)
        if refusal is not None:
            return refusal
        self._drop_expired()
        if job_id in self._prices:
            return Decision(granted=True)
        if job_id in self._promised:
            self._promise(job_id, price_bytes)
            return Decision(granted=True)
        large = price_bytes > SMALL_BYTES
        now = self._now()
        if large and now < self._opens_at:
            return Decision(
                granted=False,
                uncertain=True,
                reason="the owner of the jobs has just changed",
                retry_after_s=max(MIN_RETRY_AFTER_S, self._opens_at - now),
            )
        limit = limit_bytes(price_bytes, budget=self._budget)
        missing = self._used + self._promised_bytes + price_bytes - limit
        if missing > 0:
            return Decision(
                granted=False,
                reason="accepted jobs fill the memory",
                retry_after_s=self.retry_after_s(missing),
            )
        self._promise(job_id, price_bytes)
        return Decision(granted=True)

    def retry_after_s(self, missing_bytes: float = SMALL_BYTES) -> float:
        """Returns the time in which so much memory is freed at the present rate, seconds."""
        rate = self._freed_bytes * self._kept() / RATE_TIME_S
        if missing_bytes >= rate * MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, missing_bytes / rate)

    def _set(self, job_id: str, price_bytes: int) -> None:
        before = self._prices.pop(job_id, 0)
        if price_bytes:
            self._prices[job_id] = price_bytes
        self._used += price_bytes - before
        if price_bytes < before:
            self._freed_bytes = self._freed_bytes * self._kept() + before - price_bytes
            self._freed_at = self._now()

    def _kept(self) -> float:
        """Returns the part of the memory freed so far that counts for the present rate."""
        return max(0.0, 1.0 - (self._now() - self._freed_at) / RATE_TIME_S)

    def _promise(self, job_id: str, price_bytes: int) -> None:
        self._drop_promise(job_id)
        self._promised[job_id] = (self._now() + PROMISE_S, price_bytes)
        self._promised_bytes += price_bytes

    def _drop_promise(self, job_id: str) -> None:
        _, price_bytes = self._promised.pop(job_id, (0.0, 0))
        self._promised_bytes -= price_bytes

    def _drop_expired(self) -> None:
        """Drops the promises whose time is over; they were made in the order of their times."""
        now = self._now()
        while self._promised:
            job_id, (expires_at, _) = next(iter(self._promised.items()))
            if expires_at > now:
                return
            self._drop_promise(job_id)
