"""Jobs with timed occurrences, in the order in which the next one of each is due."""

from __future__ import annotations

import heapq

from ebonyhatch.fleet import graph, rows


class TimedJobs:
    """Finds the jobs of which an occurrence is due, without a look at the others."""

    def __init__(self) -> None:
        self._due_at: dict[str, float] = {}
        self._rows: dict[str, rows.JobRow] = {}
        self._heap: list[tuple[float, str]] = []

    def schedule(self, row: rows.JobRow) -> None:
        """Notes when the next occurrence of a job can be released, if it has one.

        While as many occurrences are in progress as may be, the next one waits for the end of one
        of them.
        """
        due_at = graph.next_due_at(row)
        if due_at is None or len(row.occurrences) >= graph.open_limit(row.job):
            self.discard(row.job.job_id)
            return
        job_id = row.job.job_id
        if self._due_at.get(job_id) != due_at:
            self._due_at[job_id] = due_at
            self._rows[job_id] = row
            heapq.heappush(self._heap, (due_at, job_id))

    def discard(self, job_id: str) -> None:
        """Removes a job, if it was added."""
        self._due_at.pop(job_id, None)
        self._rows.pop(job_id, None)

    def next_due_at(self) -> float | None:
        """Returns the time of day of the next occurrence, seconds since 1970; None without any."""
        while self._heap:
            due_at, job_id = self._heap[0]
            if self._due_at.get(job_id) == due_at and not self._rows[job_id].ended:
                return due_at
            heapq.heappop(self._heap)
        return None

    def pop_due(self, *, wall: float) -> list[rows.JobRow]:
        """Removes and returns the jobs of which an occurrence is due at a time of day, seconds."""
        due = []
        while (due_at := self.next_due_at()) is not None and due_at <= wall:
            _, job_id = heapq.heappop(self._heap)
            due.append(self._rows[job_id])
            self.discard(job_id)
        return due
