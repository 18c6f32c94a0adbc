"""What an owner knows of its attempts beyond the journal; lost with the process."""

from __future__ import annotations

import dataclasses

NEVER = float("-inf")
"""Time before everything."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt.

    Attributes:
        task_id: The attempt.
        worker_id: Its worker.
        announced: The scheduler knows it.
        sending: Its intent or its start is on the way.
        unsettled_until: Time until which a start without an answer may still arrive.
        confirmed_at: When the worker confirmed the start.
        ending: An entry that ends it is on the way.
        saving: A checkpoint entry is on the way.
        stopping: It is to be stopped.
        stop_sent: A stop is on the way.
        cancelled: Its job has ended without it.
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
        """Tell whether a report asked for at `sent_at` without it proves that it is over."""
        if self.sending or self.ending or self.uncertain_until > sent_at:
            return False
        return self.confirmed_at < sent_at


class AttemptTable:
    """Attempts by task id and by worker."""

    def __init__(self) -> None:
        self._rows: dict[str, Attempt] = {}
        self._by_worker: dict[str, dict[str, Attempt]] = {}

    def get(self, task_id: str) -> Attempt | None:
        """Row of an attempt, or None."""
        return self._rows.get(task_id)

    def find_or_add(self, task_id: str, worker_id: str) -> Attempt:
        """Row of an attempt; a new one knows nothing yet."""
        row = self._rows.get(task_id)
        if row is None:
            row = Attempt(task_id=task_id, worker_id=worker_id)
            self._rows[task_id] = row
            self._by_worker.setdefault(worker_id, {})[task_id] = row
        return row

    def cancelled_on(self, worker_id: str) -> list[Attempt]:
        """Attempts on a worker whose jobs have ended without them."""
        rows = self._by_worker.get(worker_id, {}).values()
        return [row for row in rows if row.cancelled]

    def forget(self, task_id: str) -> None:
        """Drop an attempt that is over."""
        row = self._rows.pop(task_id, None)
        if row is None:
            return
        rows = self._by_worker[row.worker_id]
        del rows[task_id]
        if not rows:
            del self._by_worker[row.worker_id]
