"""Effects of the end of a run on its task, its step and its job."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.fleet import (
    commands,
    crash_blame,
    dependencies,
    graph,
    rows,
    run_times,
    tables,
    target_health,
    targets,
)
from ebonyhatch.fleet.takeover import reported_tasks

FIRST_RETRY_DELAY_S = 0.0
"""Delay before the second run of a task that failed once, seconds; it avoids the first target."""

RETRY_DELAY_PER_FAILURE_S = 0.15
"""Delay before each later run per failure so far, seconds: long enough that a target that fails
runs immediately does not use up the attempts of a task within one fault."""

NEW_INCARNATION = "new-life"
"""Reason of a loss of runs: the target restarted under its id."""

LEASE_EXPIRED = "lease-lapsed"
"""Reason of a loss of runs: the target is silent, and its lease has expired."""

CRASH_REASONS = frozenset({NEW_INCARNATION, "other-life"})
"""Reasons of a loss of runs that show that the target has started anew."""


class TaskEnds:
    """Applies ends of runs and collects the jobs whose durable progress changed.

    Attributes:
        changed: Jobs whose progress has to be written, by id.
        urgent: Whether one of them saw a crash and has to be written without delay.
    """

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        reported: reported_tasks.ReportedTasks,
        times: run_times.RunTimes,
        emit: commands.Emit,
        decide: commands.Decide,
        release_steps: Callable[[rows.JobRow], None],
    ) -> None:
        self._tables = all_tables
        self._reported = reported
        self._times = times
        self._emit = emit
        self._decide = decide
        self._release_steps = release_steps
        self._losses = crash_blame.LossHistory()
        self.changed: dict[str, rows.JobRow] = {}
        self.urgent = False

    def apply_end(self, row: rows.TargetRow, ended: targets.Ended, *, now: float) -> None:
        """Applies an end; one that was applied before has no effect."""
        run = row.runs.get(ended.key)
        if run is not None:
            task: rows.TaskRow | None = run.task
            tables.release(run)
        else:
            task = self._reported.find(row, ended.key, number=ended.number, how=ended.kind)
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
        self.mark_changed(job)
        if ended.kind == targets.EndKind.DONE:
            self._apply_success(task, run, now=now)
        elif ended.kind == targets.EndKind.FAILED:
            self._apply_failure(task, row, ended, now=now)
        else:
            self.requeue(task, now=now)

    def release_and_requeue(self, run: rows.RunRow, *, now: float) -> None:
        """Releases and requeues a run that did not start or disappeared without an end."""
        tables.release(run)
        self.requeue(run.task, now=now)

    def mark_runs_lost(
        self, row: rows.TargetRow, *, why: str, now: float, lease_s: float = 0.0
    ) -> None:
        """Releases and requeues the runs of a target that surely have ended.

        A run that no status report has listed may be one whose start the target's next incarnation
        carries out, and its lease begins then.

        Args:
            row: The target.
            why: Reason of the loss.
            now: Time on the scheduler's clock, seconds.
            lease_s: Longest time for which such a run outlives the call with its order, seconds.
        """
        runs = [run for run in row.runs.values() if not _may_run_on(run, why, lease_s, now=now)]
        tasks: list[rows.TaskRow] = []
        joint = crash_blame.JointLoss.ALONE
        if why in CRASH_REASONS:
            joint = self._losses.record(row, self._tables.targets.values(), now=now)
            if not row.target.draining:
                tasks = crash_blame.record_crash(row, now=now, joint=joint)
        for run in runs:
            self._decide(
                "run.lost",
                run,
                reason=why,
                crashes=run.task.crashes,
                state=run.state.value,
                listed=bool(run.listed_at),
            )
            tables.release(run)
        if why == NEW_INCARNATION:
            row.suspicion_score = 0.0
            for run in row.runs.values():
                self._doubt_start(run)
        self._apply_crash(row.target_id, tasks, joint=joint, now=now)
        for run in runs:
            self.requeue(run.task, now=now)

    def _doubt_start(self, run: rows.RunRow) -> None:
        """Treats the outcome of a start as unknown until the target's new incarnation shows it."""
        self._decide("run.uncertain", run, reason=NEW_INCARNATION, state=run.state.value)
        if run.state is not rows.RunState.STOPPING:
            run.state = rows.RunState.UNCERTAIN
        run.deadline_void = True
        run.seen_s = run.refused_from_s = 0.0

    def record_removal(self, row: rows.TargetRow) -> None:
        """Notes the loss of a target that is removed while it doesn't answer."""
        self._losses.note_removal(row)

    def _apply_crash(
        self, target_id: str, tasks: list[rows.TaskRow], *, joint: crash_blame.JointLoss, now: float
    ) -> None:
        """Fails the jobs of the tasks that a crash of their target shows to be at fault."""
        for task in tasks:
            job = task.step.job
            if job.ended:
                continue
            self._decide(
                "task.crashed_target",
                None,
                job_id=job.job.job_id,
                task=task.name,
                target=target_id,
                crashes=task.crashes,
                blamed=task.blamed_crashes,
                lost_together=joint.value,
            )
            self.mark_urgent(job)
            if crash_blame.is_given_up(task):
                reason = f"{task.crashes} targets crashed under task {task.name}"
                self.fail_job(job, reason=reason, now=now)

    def requeue(self, task: rows.TaskRow, *, now: float) -> None:
        """Requeues a task, unless another run of it is in progress or its job has ended."""
        job = task.step.job
        if job.ended or task.runs or task.state != rows.TaskState.PLACED:
            return
        task.state = rows.TaskState.WAITING
        task.waiting_since = now
        task.step.waiting.appendleft(task)
        self._tables.add_waiting(task.step)

    def record_failure(self, row: rows.TargetRow, weight: float, *, why: str, now: float) -> None:
        """Adds to a target's suspicion score and logs its quarantine if one follows."""
        all_targets = self._tables.targets.values()
        quarantined = sum(1 for other in all_targets if other.quarantined_until > now)
        if target_health.record_failure(
            row, weight=weight, quarantined=quarantined, total=len(all_targets), now=now
        ):
            self._decide(
                "target.barred",
                None,
                target=row.target_id,
                reason=why,
                until_s=round(row.quarantined_until - now, 2),
            )

    def mark_changed(self, job: rows.JobRow) -> None:
        """Marks a job's progress for writing."""
        self.changed[job.job.job_id] = job

    def mark_urgent(self, job: rows.JobRow) -> None:
        """Marks a job's progress for writing without delay."""
        self.mark_changed(job)
        self.urgent = True

    def resolve_trials(self, blocked_tasks: frozenset[str], *, now: float) -> None:
        """Counts the crashes under tasks whose last run a former owner ordered and nobody reports."""
        crashed = [
            (task, trial)
            for task in self._tasks_with_trials(blocked_tasks)
            if (trial := self._resolve_trial(task)) is not None
        ]
        joint = crash_blame.record_unseen_crashes(crashed)
        for task, trial in crashed:
            target_id = trial.target_id
            self._apply_crash(target_id, [task], joint=joint[target_id], now=now)

    def _tasks_with_trials(self, blocked_tasks: frozenset[str]) -> list[rows.TaskRow]:
        return [
            task
            for job in self._tables.jobs.values()
            if not job.ended
            for steps in job.occurrences.values()
            for step in steps
            for task in step.tasks.known
            if task.trial is not None and not task.runs and task.name not in blocked_tasks
        ]

    def _resolve_trial(self, task: rows.TaskRow) -> rows.Trial | None:
        target_id = "" if task.trial is None else task.trial.target_id
        return crash_blame.resolve_trial(task, self._tables.targets.get(target_id))

    def stop_job_runs(self, job: rows.JobRow, *, reason: str, now: float) -> None:
        """Stops all runs of a job and drops its waiting tasks."""
        self._tables.forget_waiting(job)
        for steps in job.occurrences.values():
            for step in steps:
                for task in step.tasks.known:
                    for run in list(task.runs.values()):
                        self.stop(run, reason=reason, now=now)

    def stop(self, run: rows.RunRow, *, reason: str, now: float) -> None:
        """Stops one run; its capacity is released when the target reports its end."""
        if run.state == rows.RunState.STOPPING:
            return
        run.state = rows.RunState.STOPPING
        run.stop_reason = reason
        run.stop_sent_at = now
        self._decide("run.stop", run, reason=reason, percent=run.percent)
        self._emit(commands.StopRun(target=run.target, key=run.key, reason=reason))

    def fail_job(self, job: rows.JobRow, *, reason: str, now: float) -> None:
        """Ends a job as failed."""
        if job.ended:
            return
        job.state = rows.JobState.FAILED
        job.reason = reason
        self._decide("job.failed", None, job_id=job.job.job_id, reason=reason)
        self.mark_changed(job)
        self.stop_job_runs(job, reason="job-failed", now=now)

    def _apply_success(self, task: rows.TaskRow, run: rows.RunRow | None, *, now: float) -> None:
        step = task.step
        if run is not None:
            target_health.record_success(run.target)
            if run.started_at:
                self._learn_run_time(run, now=now)
        members = step.tasks if step.step.gang else [task]
        for member in members:
            self._mark_done(member, now=now)
        self._advance(step)

    def _learn_run_time(self, run: rows.RunRow, *, now: float) -> None:
        step = run.task.step
        if not run.is_first or step.step.filler:
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
            self._tables.waiting.touch(task.step)
        task.state = rows.TaskState.DONE
        task.step.tasks.mark_done(task.index)
        task.step.remaining_count -= 1
        if not task.step.remaining_count:
            dependencies.finish_step(task.step)
        for run in list(task.runs.values()):
            self.stop(run, reason="done-elsewhere", now=now)

    def _advance(self, step: rows.StepRow) -> None:
        job = step.job
        if job.ended or step.remaining_count:
            return
        if graph.finish_occurrence(job, step.occurrence) and not job.job.long_running:
            job.state = rows.JobState.COMPLETED
            self._decide("job.completed", None, job_id=job.job.job_id)
        else:
            self._release_steps(job)

    def _apply_failure(
        self, task: rows.TaskRow, row: rows.TargetRow, ended: targets.Ended, *, now: float
    ) -> None:
        if ended.key.run in task.failed_runs:
            return
        if not task.failed_runs:
            self.record_failure(row, target_health.FAILURE_WEIGHT, why="run-failed", now=now)
        task.failed_runs.add(ended.key.run)
        task.avoid_target = row.target_id
        failures = len(task.failed_runs)
        self._tables.retries[task.name] = task
        task.retry_at = now + (
            FIRST_RETRY_DELAY_S if failures < 2 else RETRY_DELAY_PER_FAILURE_S * failures
        )
        limit = task.step.job.queue.max_attempts
        if not task.step.step.long_running and failures >= limit:
            self.fail_job(
                task.step.job, reason=f"task {task.name} failed {failures} times", now=now
            )
            return
        self.requeue(task, now=now)


def _may_run_on(run: rows.RunRow, why: str, lease_s: float, *, now: float) -> bool:
    """Returns whether a run may be in progress, or begin, though its target lost its runs.

    Only status reports name the incarnation that runs it. An answer to the start may come from the
    former incarnation or the next one.
    """
    if run.listed_at:
        return False
    if why == NEW_INCARNATION:
        return True
    return why == LEASE_EXPIRED and now - (run.answered_at or run.ordered_at) <= lease_s
