"""Reconciliation of targets' status reports with the scheduler's tables."""

from __future__ import annotations

from ebonyhatch.fleet import commands, rows, tables, target_health, targets, task_ends
from ebonyhatch.fleet.takeover import reported_tasks

STOP_RETRY_S = 1.0
"""Time after which a stop order without effect is sent again, seconds."""

UNKNOWN_RUN_S = 2.5
"""Time for which nothing is placed on a target after it listed a run of an unknown job, seconds: more
than twice the time between two reports."""

NOT_NEEDED = "not-wanted"
"""Reason of the stop of a run that a former owner ordered and that isn't needed any more."""

FULL_S = 0.5
"""Time for which a target that refused a run for lack of capacity gets no other, seconds. Targets
register a changed capacity within about three times as long."""


class Reconciler:
    """Applies status reports and the answers to single orders."""

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        reported: reported_tasks.ReportedTasks,
        ends: task_ends.TaskEnds,
        emit: commands.Emit,
        decide: commands.Decide,
    ) -> None:
        self._tables = all_tables
        self._reported = reported
        self._ends = ends
        self._emit = emit
        self._decide = decide

    def apply_report(
        self, row: rows.TargetRow, report: targets.StatusReport, *, now: float
    ) -> None:
        """Applies a status report; reports of one target arrive in the order they were made."""
        row.last_report_at = now
        for ended in report.ended:
            self._ends.apply_end(row, ended, now=now)
        listed: set[rows.RunRow | None] = set()
        for running in report.running:
            run = row.runs.get(running.key)
            if run is None:
                run = self._adopt_or_stop(row, running, clock_s=report.clock_s, now=now)
            else:
                self._update_run(run, running, clock_s=report.clock_s, now=now)
            listed.add(run)
        if not report.ends_complete:
            # The runs that aren't listed may have ended.
            return
        for run in [run for run in row.runs.values() if run not in listed]:
            self._resolve_missing(run, clock_s=report.clock_s, now=now)

    def start_confirmed(self, run: rows.RunRow, *, clock_s: float, now: float) -> None:
        """Records that a target confirmed a start."""
        if run.state in (rows.RunState.ORDERED, rows.RunState.UNCERTAIN):
            run.state = rows.RunState.RUNNING
            run.started_at = now
            run.seen_s = max(run.seen_s, clock_s)
            self._mark_started(run)
        elif run.state == rows.RunState.STOPPING:
            run.seen_s = max(run.seen_s, clock_s)

    def stop_answered(self, run: rows.RunRow, *, clock_s: float) -> None:
        """Records that a target refuses the start of a run from now on, unless it runs there."""
        run.refused_from_s = run.refused_from_s or clock_s

    def start_refused(self, run: rows.RunRow, *, reason: str, now: float) -> None:
        """Requeues a run whose start certainly had no effect."""
        if run.key not in run.target.runs or run.state == rows.RunState.RUNNING:
            return
        self._decide("run.refused", run, reason=reason)
        if reason == targets.RefusalReason.NO_CAPACITY:
            # Its registration is late; until the next one it would refuse the same run again.
            run.target.full_until = now + FULL_S
        if reason == targets.RefusalReason.UNHEALTHY:
            self._ends.record_failure(run.target, target_health.FAILURE_WEIGHT, why=reason, now=now)
        self._ends.release_and_requeue(run, now=now)

    def start_uncertain(self, run: rows.RunRow, *, reason: str, now: float) -> None:
        """Records that the outcome of a start is unknown."""
        if run.state == rows.RunState.ORDERED:
            run.state = rows.RunState.UNCERTAIN
            self._decide("run.uncertain", run, reason=reason)
            self._ends.record_failure(
                run.target, target_health.NO_ANSWER_WEIGHT, why="no-answer", now=now
            )

    def _mark_started(self, run: rows.RunRow) -> None:
        job = run.task.step.job
        if run.task.step.step.long_running:
            # The next owner has to know that the task ran: only tasks that never ran are kept off
            # reserved targets.
            self._ends.mark_changed(job)
        if not job.begun:
            job.begun = True
            if job.state == rows.JobState.QUEUED:
                job.state = job.visible_state = rows.JobState.RUNNING

    def _update_run(
        self, run: rows.RunRow, running: targets.Running, *, clock_s: float, now: float
    ) -> None:
        if run.state is not rows.RunState.RUNNING:
            self.start_confirmed(run, clock_s=clock_s, now=now)
        if clock_s > run.seen_s:
            run.seen_s = clock_s
        run.listed_at = now
        if running.percent != run.percent:
            run.progressed_at = now
        run.percent = running.percent
        reading = running.reading
        if reading is not None and run.task.step.step.tail_limit_s:
            # Tails are reported in milliseconds.
            reading /= 1000
        run.reading = reading
        if running.checkpoint:
            run.task.checkpoint = running.checkpoint
        if run.state == rows.RunState.STOPPING and now - run.stop_sent_at > STOP_RETRY_S:
            run.stop_sent_at = now
            self._emit(commands.StopRun(target=run.target, key=run.key, reason=run.stop_reason))

    def _adopt_or_stop(
        self, row: rows.TargetRow, running: targets.Running, *, clock_s: float, now: float
    ) -> rows.RunRow | None:
        """Adopts a run that a former owner ordered, or stops one that is not needed.

        Returns the run, which holds its capacity in both cases; None if its job is unknown.
        """
        task = self._reported.find(row, running.key)
        job = None if task is None else task.step.job
        is_needed = (
            task is not None
            and job is not None
            and not job.ended
            and task.state in (rows.TaskState.WAITING, rows.TaskState.BLOCKED)
            and not task.runs
        )
        if task is None:
            # What it uses is unknown, so that nothing may be placed beside it.
            row.full_until = max(row.full_until, now + UNKNOWN_RUN_S)
            self._emit(commands.StopRun(target=row, key=running.key, reason=NOT_NEEDED))
            return None
        run = rows.RunRow(
            key=running.key,
            task=task,
            target=row,
            state=rows.RunState.RUNNING,
            started_at=now,
            listed_at=now,
            progressed_at=now,
            seen_s=clock_s,
            percent=running.percent,
        )
        if not is_needed:
            tables.reserve(run)
            self._ends.stop(run, reason=NOT_NEEDED, now=now)
            return run
        if task.state == rows.TaskState.WAITING:
            task.step.waiting.remove(task)
            self._tables.waiting.touch(task.step)
        task.state = rows.TaskState.PLACED
        task.last_run = max(task.last_run, running.key.run)
        tables.reserve(run)
        self._mark_started(run)
        self._decide("run.adopted", run, percent=running.percent)
        self._update_run(run, running, clock_s=clock_s, now=now)
        return run

    def _resolve_missing(self, run: rows.RunRow, *, clock_s: float, now: float) -> None:
        """Requeues a run that a later status report doesn't list, once it surely isn't running."""
        was_listed = run.seen_s and clock_s > run.seen_s
        if run.state == rows.RunState.ORDERED or not (
            was_listed or _never_starts(run, clock_s=clock_s)
        ):
            self._prevent_start(run, now=now)
            return
        self._decide("run.missing", run, clock_s=clock_s, seen_s=run.seen_s)
        run.task.avoid_target = run.target.target_id
        self._ends.release_and_requeue(run, now=now)

    def _prevent_start(self, run: rows.RunRow, *, now: float) -> None:
        """Orders a target that restarted to stop a run that it doesn't list, or to refuse its start."""
        if not run.deadline_void or run.refused_from_s:
            return
        if run.state is not rows.RunState.STOPPING:
            self._ends.stop(run, reason=task_ends.NEW_INCARNATION, now=now)
        elif now - run.stop_sent_at > STOP_RETRY_S:
            run.stop_sent_at = now
            self._emit(commands.StopRun(target=run.target, key=run.key, reason=run.stop_reason))


def _never_starts(run: rows.RunRow, *, clock_s: float) -> bool:
    """Returns whether a run that no report has listed has ended or will never start."""
    if run.seen_s:
        return False
    if run.refused_from_s and clock_s > run.refused_from_s:
        return True
    if run.deadline_void or run.state not in (rows.RunState.UNCERTAIN, rows.RunState.STOPPING):
        return False
    return clock_s > run.order_deadline_s
