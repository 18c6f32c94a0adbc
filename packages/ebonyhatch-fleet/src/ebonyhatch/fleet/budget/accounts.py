"""The jobs that an owner keeps: their price while they last, and their records for a while after."""

from __future__ import annotations

from ebonyhatch.fleet import clocks, decision_log, retention, rows
from ebonyhatch.fleet.budget import ledger, price

CANCELLATION_KEEP_S = 60.0
"""Longest time for which a cancellation without a job is kept, seconds: writes without an answer and
repeated submissions arrive some seconds later."""


class JobAccounts:
    """Prices of all jobs of an owner, and the ended ones whose records are to be removed."""

    def __init__(
        self, *, budget: int, first_term: bool, keep_ended_s: float, all_clocks: clocks.Clocks
    ) -> None:
        """Creates accounts without jobs.

        Args:
            budget: Memory for accepted jobs, bytes.
            first_term: Whether no owner was there before.
            keep_ended_s: Time for which the records of ended jobs are kept, seconds.
            all_clocks: Clocks of the process.
        """
        self._clocks = all_clocks
        self._max_runs = ledger.max_runs(budget)
        self._ledger = ledger.Ledger(budget=budget, first_term=first_term, now=all_clocks.now)
        self._keep_ended_s = keep_ended_s
        self._retention = retention.Retention(keep_s=keep_ended_s)
        self._record_bytes: dict[str, int] = {}
        self._with_runs: dict[str, rows.JobRow] = {}
        self._cancelled: set[str] = set()

    @property
    def ledger(self) -> ledger.Ledger:
        """Memory that the jobs take, and that is promised to new ones."""
        return self._ledger

    @property
    def max_runs(self) -> int:
        """Number of tasks that may be in progress."""
        return self._max_runs

    @property
    def ended_count(self) -> int:
        """Number of ended jobs whose records are kept."""
        return self._retention.count

    def gauges(self) -> dict[str, float]:
        """Returns the current state for metrics."""
        return {"jobs_ended": self._retention.count, "jobs_bytes": self._ledger.used_bytes}

    def add(self, row: rows.JobRow, *, record_bytes: int) -> bool:
        """Adds a job that was read; returns whether its cancellation was read before it.

        Args:
            row: The job.
            record_bytes: Size of its stored submission, bytes.
        """
        job_id = row.job.job_id
        self._record_bytes[job_id] = record_bytes
        self._ledger.record(job_id, price.price(row.job, record_bytes=record_bytes))
        if row.visible_state in rows.ENDED_STATES:
            since_end_s = self._clocks.wall() - row.ended_at if row.ended_at else 0.0
            self.end(row, since_end_s=max(0.0, since_end_s))
        return job_id in self._cancelled

    def end(self, row: rows.JobRow, *, since_end_s: float = 0.0) -> None:
        """Keeps only the records of a job whose end callers have seen for so many seconds."""
        if row.job.job_id not in self._cancelled:
            self._retention.add(row.job.job_id, now=self._clocks.now() - since_end_s)
        self._with_runs[row.job.job_id] = row
        self._drop_steps_unless_running(row)

    def note_cancellation(self, job_id: str, *, at: float) -> None:
        """Keeps a cancellation for which there is no job: its job may still be created.

        Args:
            job_id: Id of the job.
            at: Time of day at which it was stored, seconds since 1970; 0 where it is unknown.
        """
        if job_id in self._cancelled:
            return
        self._cancelled.add(job_id)
        decision_log.write("cancel.unknown_job", job_id=job_id)
        self._ledger.record(job_id, price.CANCELLATION_BYTES)
        age_s = max(0.0, self._clocks.wall() - at) if at else 0.0
        earlier_s = max(0.0, self._keep_ended_s - CANCELLATION_KEEP_S)
        self._retention.add(job_id, now=self._clocks.now() - age_s - earlier_s)

    def remove(self, job_ids: list[str]) -> None:
        """Removes jobs whose records were removed."""
        for job_id in job_ids:
            self._record_bytes.pop(job_id, None)
            self._with_runs.pop(job_id, None)
            self._cancelled.discard(job_id)
            self._ledger.remove(job_id)

    def is_due(self) -> bool:
        """Returns whether the records of an ended job are to be removed."""
        return self._retention.is_due(now=self._clocks.now())

    def pop_due(self) -> list[str]:
        """Returns the ids of ended jobs whose records are to be removed in one write."""
        return self._retention.pop_due(now=self._clocks.now())

    def drop_steps(self) -> None:
        """Drops the steps of ended jobs of which nothing runs any more.

        Until then they are needed to tell which of the runs on a target belong to a known job.
        """
        for row in list(self._with_runs.values()):
            self._drop_steps_unless_running(row)

    def _drop_steps_unless_running(self, row: rows.JobRow) -> None:
        if _has_runs(row):
            return
        job_id = row.job.job_id
        del self._with_runs[job_id]
        row.drop_steps()
        ended_price = price.price_of_ended(record_bytes=self._record_bytes.get(job_id, 0))
        self._ledger.record(job_id, ended_price)


def _has_runs(row: rows.JobRow) -> bool:
    return any(
        task.runs
        for steps in row.occurrences.values()
        for step in steps
        for task in step.tasks.known
    )
