"""Tasks of the runs that targets report, and why a report names one that the owner doesn't know."""

from __future__ import annotations

from ebonyhatch.fleet import commands, rows, tables, targets


class ReportedTasks:
    """Finds the tasks of reported runs, most of which a former owner may have ordered."""

    def __init__(self, *, all_tables: tables.Tables, decide: commands.Decide) -> None:
        self._tables = all_tables
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
