"""Reconciling what a target reports with what the tables hold."""

from __future__ import annotations

from ebonyhatch.fleet import commands, rows, standing, tables, targets, task_ends

STOP_AGAIN_S = 1.0
"""Time after which a stop that shows no effect is sent again, seconds."""


class Accounts:
    """Takes in accounts, and the answers to single orders."""

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        ends: task_ends.TaskEnds,
        emit: commands.Emit,
        decide: commands.Decide,
    ) -> None:
        self._tables = all_tables
        self._ends = ends
        self._emit = emit
        self._decide = decide

    def take(self, row: rows.TargetRow, account: targets.StatusReport, *, now: float) -> None:
        """Take in an account; accounts of one target arrive in the order they were made."""
        row.heard_at = now
        for ended in account.ended:
            self._ends.ended(row, ended, now=now)
        listed = {running.key for running in account.running}
        for running in account.running:
            run = row.runs.get(running.key)
            if run is None:
                self._unexpected(row, running, clock_s=account.clock_s, now=now)
            else:
                self._seen(run, running, clock_s=account.clock_s, now=now)
        for run in [run for key, run in row.runs.items() if key not in listed]:
            self._missing(run, clock_s=account.clock_s, now=now)

    def started(self, run: rows.RunRow, *, clock_s: float, now: float) -> None:
        """Note that a target confirmed a start."""
        if run.state in (rows.RunState.ORDERED, rows.RunState.UNCERTAIN):
            run.state = rows.RunState.RUNNING
            run.started_at = now
            run.seen_s = max(run.seen_s, clock_s)
            self._begun(run)
        elif run.state == rows.RunState.STOPPING:
            run.seen_s = max(run.seen_s, clock_s)

    def refused(self, run: rows.RunRow, *, reason: str, now: float) -> None:
        """Note that a start certainly had no effect."""
        if run.key not in run.target.runs or run.state == rows.RunState.RUNNING:
            return
        self._decide("run.refused", run, reason=reason)
        if reason == targets.RefusalReason.UNHEALTHY:
            self._ends.blame(run.target, standing.FAILED_START_WEIGHT, why=reason, now=now)
        self._ends.not_started(run, now=now)

    def uncertain(self, run: rows.RunRow, *, reason: str, now: float) -> None:
        """Note that nobody can tell whether a start takes effect."""
        if run.state == rows.RunState.ORDERED:
            run.state = rows.RunState.UNCERTAIN
            self._decide("run.uncertain", run, reason=reason)
            self._ends.blame(run.target, standing.UNANSWERED_WEIGHT, why="no-answer", now=now)

    def _begun(self, run: rows.RunRow) -> None:
        job = run.task.step.job
        if run.task.step.step.long_running:
            # The next owner has to know that it ran: room is kept only from those that never did.
            self._ends.note_changed(job)
        if not job.begun:
            job.begun = True
            if job.state == rows.JobState.QUEUED:
                job.state = job.shown = rows.JobState.RUNNING

    def _seen(
        self, run: rows.RunRow, running: targets.Running, *, clock_s: float, now: float
    ) -> None:
        self.started(run, clock_s=clock_s, now=now)
        run.seen_s = max(run.seen_s, clock_s)
        if running.percent != run.percent:
            run.progressed_at = now
        run.percent = running.percent
        run.reading = _reading(run, running)
        if running.checkpoint:
            run.task.checkpoint = running.checkpoint
        if run.state == rows.RunState.STOPPING and now - run.stopped_at > STOP_AGAIN_S:
            run.stopped_at = now
            self._emit(commands.StopRun(target=run.target, key=run.key, reason=run.stop_reason))

    def _unexpected(
        self, row: rows.TargetRow, running: targets.Running, *, clock_s: float, now: float
    ) -> None:
        """Adopt a run that a former owner ordered, or stop one that nobody wants."""
        task = self._tables.task(running.key.task)
        job = None if task is None else task.step.job
        wanted = (
            task is not None
            and job is not None
            and not job.ended
            and task.state in (rows.TaskState.WAITING, rows.TaskState.BLOCKED)
            and not task.runs
        )
        if task is None or not wanted:
            self._emit(commands.StopRun(target=row, key=running.key, reason="not-wanted"))
            return
        run = rows.RunRow(
            key=running.key,
            task=task,
            target=row,
            state=rows.RunState.RUNNING,
            started_at=now,
            progressed_at=now,
            seen_s=clock_s,
            percent=running.percent,
        )
        if task.state == rows.TaskState.WAITING:
            task.step.waiting.remove(task)
        task.state = rows.TaskState.PLACED
        task.last_run = max(task.last_run, running.key.run)
        tables.reserve(run)
        self._begun(run)
        self._decide("run.adopted", run, percent=running.percent)
        self._seen(run, running, clock_s=clock_s, now=now)

    def _missing(self, run: rows.RunRow, *, clock_s: float, now: float) -> None:
        """Settle a run that a later account doesn't list."""
        known = run.seen_s and clock_s > run.seen_s
        never = run.state == rows.RunState.UNCERTAIN and clock_s > run.order_deadline_s
        never = never or (
            run.state == rows.RunState.STOPPING
            and not run.seen_s
            and clock_s > run.order_deadline_s
        )
        if run.state == rows.RunState.ORDERED or not (known or never):
            return
        self._decide("run.missing", run, clock_s=clock_s, seen_s=run.seen_s)
        run.task.avoid = run.target.target_id
        self._ends.not_started(run, now=now)


def _reading(run: rows.RunRow, running: targets.Running) -> float | None:
    """Give a serving run's tail in seconds, and any other's processor time as it is."""
    if running.reading is None or not run.task.step.step.tail_limit_s:
        return running.reading
    return running.reading / 1000
