"""Tasks of the runs that targets report, which may be those of occurrences that nothing else shows."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import commands, graph, jobs, rows, tables, targets

MAX_OPENED_STEPS = jobs.TASKS_LIMIT
"""Largest number of steps that one report opens: it bounds what a report with a wrong name costs."""


class ReportedTasks:
    """Finds the tasks of reported runs, most of which a former owner may have ordered.

    An owner starts the tasks of an occurrence of a timed job at once. That the occurrence is open, and
    the end of an earlier one that made room for it, may not be durable yet, and the clock of the next
    owner may be behind. So an occurrence with a reported run is opened here: a former owner has opened
    it, and before it all earlier ones.
    """

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        release_steps: Callable[[rows.JobRow], None],
        decide: commands.Decide,
    ) -> None:
        """Creates a component.

        Args:
            all_tables: Tables of jobs and targets.
            release_steps: Releases the steps of a job that are ready.
            decide: Logs a decision.
        """
        self._tables = all_tables
        self._release_steps = release_steps
        self._decide = decide

    def find(
        self, row: rows.TargetRow, key: targets.RunKey, *, number: int = 0, how: str = ""
    ) -> rows.TaskRow | None:
        """Returns the task of a run that a target reports; logs why if there is none.

        Args:
            row: The target.
            key: The run.
            number: Number of its end at the target; 0 for a run in progress.
            how: Kind of its end; empty for a run in progress.
        """
        task = self._tables.task(key.task)
        if task is None and self._open_occurrence(row, key):
            task = self._tables.task(key.task)
        if task is None:
            self._decide(
                "run.unknown",
                None,
                key=key,
                target=row.target_id,
                number=number,
                how=how,
                reason=self._why_unknown(key.task),
            )
        return task

    def _open_occurrence(self, row: rows.TargetRow, key: targets.RunKey) -> bool:
        """Opens the occurrence of a run that a former owner ordered; returns whether it did."""
        parsed = rows.parse_task_name(key.task)
        if parsed is None:
            return False
        job_id, occurrence, step, index = parsed
        job = self._tables.jobs.get(job_id)
        if job is None or job.ended or not job.next_occurrence <= occurrence < job.job.occurrences:
            return False
        steps = job.job.steps
        if step >= len(steps) or index >= steps[step].count:
            return False
        opened = occurrence + 1 - job.next_occurrence
        if opened * len(steps) > MAX_OPENED_STEPS:
            return False
        self._decide(
            "job.occurrences_found",
            None,
            key=key,
            target=row.target_id,
            first=job.next_occurrence,
            opened=opened,
        )
        graph.open_through(job, occurrence)
        self._release_steps(job)
        return True

    def _why_unknown(self, name: str) -> str:
        parsed = rows.parse_task_name(name)
        if parsed is None:
            return "malformed"
        job_id, occurrence, _, _ = parsed
        row = self._tables.jobs.get(job_id)
        if row is None:
            return "no-such-job"
        if row.ended:
            return "job-ended"
        if occurrence in row.occurrences:
            return "no-such-task"
        return "occurrence-done" if occurrence < row.next_occurrence else "not-released"
