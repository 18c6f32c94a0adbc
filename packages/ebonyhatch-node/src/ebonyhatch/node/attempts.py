"""State of attempts that an owner keeps beside the journal; lost with the process."""

from __future__ import annotations

import dataclasses

NEVER = float("-inf")
"""Time before all other times."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """State of one attempt to run a job on a worker.

    Attributes:
        task_id: Id of the attempt.
        worker_id: Worker on which it runs.
        announced: Whether the scheduler has been notified of it.
        sending: Whether its intent is being written or its start is being sent.
        uncertain_until: Time until which a start without an answer may still arrive, seconds.
        confirmed_at: Time at which the worker confirmed the start, seconds.
        ending: Whether an entry that ends it is being written.
        saving: Whether a checkpoint entry is being written.
        stopping: Whether it is to be stopped.
        stop_sent: Whether a stop is being sent.
        cancelled: Whether its job has ended without it.
    """

    task_id: str
    worker_id: str
    announced: bool = False
    sending: bool = False
    uncertain_until: float = NEVER
    confirmed_at: float = NEVER
    ending: bool = False
    saving: bool = False
    stopping: bool = False
    stop_sent: bool = False
    cancelled: bool = False

    def absent(self, *, sent_at: float) -> bool:
        """Returns whether a report requested at `sent_at` that lacks it proves that it is over."""
        if self.sending or self.ending or self.uncertain_until > sent_at:
            return False
        return self.confirmed_at < sent_at


class AttemptTable:
    """Attempts by task id and by worker."""

    def __init__(self) -> None:
        self._rows: dict[str, Attempt] = {}
        self._by_worker: dict[str, dict[str, Attempt]] = {}

    def get(self, task_id: str) -> Attempt | None:
        """Returns the row of an attempt, or None."""
        return self._rows.get(task_id)

    def find_or_add(self, task_id: str, worker_id: str) -> Attempt:
        """Returns the row of an attempt, which is added with defaults if it is new."""
        row = self._rows.get(task_id)
        if row is None:
            row = Attempt(task_id=task_id, worker_id=worker_id)
            self._rows[task_id] = row
            self._by_worker.setdefault(worker_id, {})[task_id] = row
        return row

    def cancelled_on(self, worker_id: str) -> list[Attempt]:
        """Returns the attempts on a worker whose jobs have ended without them."""
        rows = self._by_worker.get(worker_id, {}).values()
        return [row for row in rows if row.cancelled]

    def remove(self, task_id: str) -> None:
        """Removes an attempt that is over."""
        row = self._rows.pop(task_id, None)
        if row is None:
            return
        rows = self._by_worker[row.worker_id]
        del rows[task_id]
        if not rows:
            del self._by_worker[row.worker_id]
