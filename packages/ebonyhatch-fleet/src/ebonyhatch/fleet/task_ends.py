"""What the end of a run means for its task, its step and its job."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import (
    commands,
    graph,
    rows,
    run_times,
    standing,
    tables,
    targets,
)

FIRST_RETRY_S = 0.0
"""Wait before the second run of a task that failed once; it goes to another target."""

NEXT_RETRY_S = 0.15
"""Wait before each later run, times the number of failures, seconds: long enough that a target
that fails at once does not use up the attempts of a task within one fault."""


class TaskEnds:
    """Applies ends of runs; jobs whose durable progress changed are collected."""

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        times: run_times.RunTimes,
        emit: commands.Emit,
        decide: commands.Decide,
        released: Callable[[rows.JobRow], None],
    ) -> None:
        self._tables = all_tables
        self._times = times
        self._emit = emit
        self._decide = decide
        self._released = released
        self.changed: dict[str, rows.JobRow] = {}

    def ended(self, row: rows.TargetRow, ended: targets.Ended, *, now: float) -> None:
        """Take in an end; one that was taken in before changes nothing."""
        run = row.runs.get(ended.key)
        task = run.task if run is not None else self._tables.task(ended.key.task)
        if run is not None:
            tables.release(run)
        if task is None:
            return
        job = task.step.job
        self._decide(
            "run.ended",
            run,
            key=ended.key,
            target=row.target_id,
            number=ended.number,
            how=ended.kind,
            state=job.state,
        )
        if ended.key.run >= task.last_run and ended.checkpoint:
            task.checkpoint = ended.checkpoint
        task.last_run = max(task.last_run, ended.key.run)
        if job.ended:
            return
        self.note_changed(job)
        if ended.kind == targets.EndKind.DONE:
            self._done(task, run, now=now)
        elif ended.kind == targets.EndKind.FAILED:
            self._failed(task, row, ended, now=now)
        else:
            self.requeue(task, now=now)

    def not_started(self, run: rows.RunRow, *, now: float) -> None:
        """Give back a run that has not started or is gone without an end."""
        tables.release(run)
        self.requeue(run.task, now=now)

    def lose(self, row: rows.TargetRow, *, why: str, now: float) -> None:
        """Give back all runs of a target on which nothing can run any more."""
        for run in list(row.runs.values()):
            self._decide("run.lost", run, reason=why)
            self.not_started(run, now=now)

    def requeue(self, task: rows.TaskRow, *, now: float) -> None:
        """Let a task wait for a target again, unless it runs elsewhere or isn't wanted."""
        job = task.step.job
        if job.ended or task.runs or task.state != rows.TaskState.PLACED:
            return
        task.state = rows.TaskState.WAITING
        task.waiting_since = now
        task.step.waiting.appendleft(task)
        self._tables.add_waiting(task.step)

    def blame(self, row: rows.TargetRow, weight: float, *, why: str, now: float) -> None:
        """Note evidence against a target."""
        every = self._tables.targets.values()
        barred = sum(1 for other in every if other.barred_until > now)
        if standing.blame(row, weight=weight, barred=barred, total=len(every), now=now):
            self._decide(
                "target.barred",
                None,
                target=row.target_id,
                reason=why,
                until_s=round(row.barred_until - now, 2),
            )

    def note_changed(self, job: rows.JobRow) -> None:
        """Have a job's progress made durable."""
        self.changed[job.job.job_id] = job

    def stop_all(self, job: rows.JobRow, *, reason: str, now: float) -> None:
        """Stop everything that runs for a job."""
        self._tables.forget_waiting(job)
        for steps in job.occurrences.values():
            for step in steps:
                for task in step.tasks:
                    for run in list(task.runs.values()):
                        self.stop(run, reason=reason, now=now)

    def stop(self, run: rows.RunRow, *, reason: str, now: float) -> None:
        """Stop one run; its room is free once the target lists its end."""
        if run.state == rows.RunState.STOPPING:
            return
        run.state = rows.RunState.STOPPING
        run.stop_reason = reason
        run.stopped_at = now
        self._decide("run.stop", run, reason=reason, percent=run.percent)
        self._emit(commands.StopRun(target=run.target, key=run.key, reason=reason))

    def fail_job(self, job: rows.JobRow, *, reason: str, now: float) -> None:
        """End a job as failed."""
        if job.ended:
            return
        job.state = rows.JobState.FAILED
        job.reason = reason
        self._decide("job.failed", None, job_id=job.job.job_id, reason=reason)
        self.note_changed(job)
        self.stop_all(job, reason="job-failed", now=now)

    def _done(self, task: rows.TaskRow, run: rows.RunRow | None, *, now: float) -> None:
        step = task.step
        if run is not None:
            standing.done(run.target)
            if run.started_at:
                self._learn(run, now=now)
        members = step.tasks if step.step.gang else [task]
        for member in members:
            self._mark_done(member, now=now)
        self._advance(step)

    def _learn(self, run: rows.RunRow, *, now: float) -> None:
        step = run.task.step
        if run.task.last_run != 1 or step.step.filler:
            return
        self._times.learn(
            queue=step.job.queue.name,
            image=step.step.image,
            estimate_s=step.step.estimate_s,
            run_s=now - run.started_at,
        )

    def _mark_done(self, task: rows.TaskRow, *, now: float) -> None:
        if task.state == rows.TaskState.DONE:
            return
        if task.state == rows.TaskState.WAITING:
            task.step.waiting.remove(task)
        task.state = rows.TaskState.DONE
        task.step.left -= 1
        for run in list(task.runs.values()):
            self.stop(run, reason="done-elsewhere", now=now)

    def _advance(self, step: rows.StepRow) -> None:
        job = step.job
        if job.ended or step.left:
            return
        if graph.finish_occurrence(job, step.occurrence) and not job.job.long_running:
            job.state = rows.JobState.COMPLETED
            self._decide("job.completed", None, job_id=job.job.job_id)
        else:
            self._released(job)

    def _failed(
        self, task: rows.TaskRow, row: rows.TargetRow, ended: targets.Ended, *, now: float
    ) -> None:
        if ended.key.run in task.failed_runs:
            return
        if not task.failed_runs:
            self.blame(row, standing.FAILED_START_WEIGHT, why="run-failed", now=now)
        task.failed_runs.add(ended.key.run)
        task.avoid = row.target_id
        failures = len(task.failed_runs)
        task.retry_at = now + (FIRST_RETRY_S if failures < 2 else NEXT_RETRY_S * failures)
        limit = task.step.job.queue.max_attempts
        if not task.step.step.long_running and failures >= limit:
            self.fail_job(
                task.step.job, reason=f"task {task.name} failed {failures} times", now=now
            )
            return
        self.requeue(task, now=now)
