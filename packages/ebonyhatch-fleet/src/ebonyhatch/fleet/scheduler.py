"""The scheduler of one owner.

Events arrive as method calls; each tick returns commands for the owner to carry out. Fillers are
tasks that use processor time left over by others.
"""

from __future__ import annotations

from ebonyhatch.fleet import (
    commands,
    graph,
    interference,
    model_snapshot,
    ordering,
    pacing,
    placement,
    progress,
    queues,
    reconciliation,
    reserve,
    rows,
    run_times,
    tables,
    target_health,
    targets,
    task_ends,
    timed_jobs,
)
from ebonyhatch.fleet.evacuation import domain_evacuation, domains, leaving
from ebonyhatch.fleet.lookahead import policy
from ebonyhatch.fleet.overload import backlog
from ebonyhatch.fleet.relocation import fillers
from ebonyhatch.fleet.speed import target_speeds
from ebonyhatch.fleet.takeover import reported_tasks

RUN_NUMBERS_PER_TERM = 1_000
"""Run numbers that each term of an owner may use for a task in addition to those already used."""

UNLIMITED_ORDERS = 1_000_000
"""Value of `order_limit` that is never reached."""

MIN_HUNG_S = 1.5
"""Minimum time without progress after which a run counts as hung, seconds."""

HUNG_RUN_TIME_FRACTION = 0.4
"""Fraction of the expected run time without progress after which a run counts as hung, if that is
longer than `MIN_HUNG_S`."""


class Scheduler:
    """Places the tasks of all jobs on all targets. Reads no clock and sends no messages.

    Attributes:
        reconciled: Whether the runs of a former owner are known, except those of `blocked_tasks`.
        blocked_tasks: Names of tasks that may still run on targets without a status report.
        may_place: Whether new runs may be ordered.
        order_limit: Number of runs after which the next tick orders no more.
    """

    def __init__(
        self,
        *,
        decide: commands.Decide,
        requests: domains.Domains | None = None,
        learn_target_speed: bool = False,
        refuse_late_work: bool = False,
        placement_policy: str = policy.DEFAULT,
    ) -> None:
        """Creates a scheduler.

        Args:
            decide: Logs a decision.
            requests: Failure domains that operators evacuate.
            learn_target_speed: Whether slow targets are recognized and get less work.
            refuse_late_work: Whether the waits of new jobs are estimated.
            placement_policy: Name of a policy of `lookahead.policy`.
        """
        self._speeds = target_speeds.TargetSpeeds(decide=decide) if learn_target_speed else None
        self._commands: list[commands.Command] = []
        self._decide = decide
        self._tables = tables.Tables()
        self._timed = timed_jobs.TimedJobs()
        self._backlog = backlog.Backlog(all_tables=self._tables) if refuse_late_work else None
        self._times = run_times.RunTimes()
        reported = reported_tasks.ReportedTasks(
            all_tables=self._tables, release_steps=self._release_steps, decide=decide
        )
        self._ends = task_ends.TaskEnds(
            all_tables=self._tables,
            reported=reported,
            times=self._times,
            emit=self._commands.append,
            decide=decide,
            release_steps=self._release_steps,
        )
        self._reconciler = reconciliation.Reconciler(
            all_tables=self._tables,
            reported=reported,
            ends=self._ends,
            emit=self._commands.append,
            decide=decide,
        )
        model = self._model = interference.InterferenceModel()
        self._reserve = reserve.Reserve(all_tables=self._tables)
        self._policy = policy.build(
            placement_policy, all_tables=self._tables, times=self._times, decide=decide
        )
        self._placement = placement.Placement(
            all_tables=self._tables,
            model=model,
            reserved=self._reserve,
            emit=self._commands.append,
            decide=decide,
            mark_urgent=self._ends.mark_urgent,
            policy=self._policy,
        )
        relocation = fillers.FillerRelocation(
            all_tables=self._tables, context=self._placement.context
        )
        self._pacing = pacing.Pacing(
            model=model,
            emit=self._commands.append,
            decide=decide,
            stop=self._ends.stop,
            should_move=relocation.should_move,
        )
        self._leaving_runs = leaving.Evacuation(all_tables=self._tables, stop=self._ends.stop)
        self._evacuation = domain_evacuation.DomainEvacuation(
            all_tables=self._tables,
            requests=requests or domains.Domains(),
            stop=self._ends.stop,
            decide=decide,
        )
        self._reported: dict[str, rows.TargetRow] = {}
        self._changed_targets = self._tables.observe_targets()
        self._suspected: dict[int, rows.TargetRow] = {}
        self._leaving: dict[int, rows.TargetRow] = {}
        self._now = 0.0
        self._wall = 0.0
        self.reconciled = False
        self.blocked_tasks: frozenset[str] = frozenset()
        self.may_place = False
        self.order_limit = UNLIMITED_ORDERS

    @property
    def orders_held_back(self) -> bool:
        """Whether the last tick left tasks waiting because of `order_limit`."""
        return self._placement.cut_short

    @property
    def tables(self) -> tables.Tables:
        """Tables of jobs and targets."""
        return self._tables

    @property
    def reconciler(self) -> reconciliation.Reconciler:
        """Component that applies status reports of targets and answers to orders."""
        return self._reconciler

    @property
    def slow_targets(self) -> int:
        """Number of targets at half the speed of the fleet or less; 0 unless it is learned."""
        return 0 if self._speeds is None else self._speeds.slow_count

    def gauges(self) -> dict[str, float]:
        """Returns the current state of the placement policy for metrics."""
        return self._policy.gauges()

    def begin_term(self, term: int) -> None:
        """Sets the run numbers of a term above those that owners of earlier terms may have used."""
        self._placement.run_number_base = (term - 1) * RUN_NUMBERS_PER_TERM

    def configure(self, configuration: queues.Configuration) -> None:
        """Applies the configuration in force; jobs of a removed queue keep its last settings."""
        for row in self._tables.jobs.values():
            if configuration.version >= row.queue_version:
                row.queue = configuration.queue(row.job.queue) or row.queue
        self._tables.recount_short_cpu()
        self._evacuation.configure(configuration)

    @property
    def evacuation(self) -> domain_evacuation.DomainEvacuation:
        """Component that applies the requests to evacuate failure domains."""
        return self._evacuation

    def add_job(self, row: rows.JobRow, *, now: float, wall: float) -> None:
        """Adds a job that is durable."""
        if row.job.job_id in self._tables.jobs:
            return
        self._now, self._wall = now, wall
        self._tables.add_job(row)
        if not row.ended:
            self._resume_steps(row)
            self._release_steps(row)

    def cancel(self, job_id: str, *, now: float) -> None:
        """Cancels a job whose cancellation is durable or about to be."""
        row = self._tables.jobs.get(job_id)
        if row is None or row.ended:
            return
        row.state = rows.JobState.CANCELLED
        self._decide("job.cancelled", None, job_id=job_id)
        self._ends.mark_changed(row)
        self._ends.stop_job_runs(row, reason="cancelled", now=now)

    def fail(self, row: rows.JobRow, *, reason: str, now: float) -> None:
        """Ends a job as failed."""
        self._ends.fail_job(row, reason=reason, now=now)

    def forget(self, job_id: str) -> None:
        """Removes a job that has ended and whose records were deleted."""
        self._tables.jobs.pop(job_id, None)
        self._timed.discard(job_id)
        self._model.forget(job_id)

    def set_target(self, target: targets.Target, *, now: float) -> rows.TargetRow:
        """Applies a target's registration.

        A new incarnation of a target has lost all runs of the previous one.
        """
        row = self._tables.targets.get(target.target_id)
        if row is not None and row.target.born < target.born:
            self.mark_runs_lost(row, why=task_ends.NEW_INCARNATION, now=now)
            if self._speeds is not None:
                self._speeds.reset(row)
            row.confirmed = False
        row = self._tables.set_target(target)
        if not target.draining:
            row.leaves_at = 0.0
        elif not row.leaves_at:
            row.leaves_at = now + (target.stays_s or leaving.MIN_STAY_S)
        self._evacuation.register(row, now=now)
        return row

    def apply_report(
        self, row: rows.TargetRow, report: targets.StatusReport, *, now: float
    ) -> None:
        """Applies a target's status report and adjusts the pace of its fillers."""
        self._model.advance_to(now)
        self._reported[row.target_id] = row
        known = self._evacuation.keys_before_report(row)
        if self._speeds is not None:
            self._speeds.apply_report(row, report, now=now)
        self._reconciler.apply_report(row, report, now=now)
        if known is not None:
            self._evacuation.stop_late_starts(row, known, now=now)
        self._pacing.review(row, now=now)

    def waits_s(
        self, configuration: queues.Configuration, *, now: float, wall: float
    ) -> dict[str, float]:
        """Returns the wait of a job submitted now, by queue, seconds; empty unless it is enabled."""
        if self._backlog is None:
            return {}
        return self._backlog.waits_s(configuration, now=now, wall=wall)

    def needs_observation(self, run: rows.RunRow) -> bool:
        """Returns whether a run's effect on the serving tasks of its target must be read soon."""
        step = run.task.step
        return step.step.filler and any(
            self._model.needs_observation(serving, step)
            for serving in interference.serving_runs(run.target)
        )

    def mark_runs_lost(
        self, row: rows.TargetRow, *, why: str, now: float, lease_s: float = 0.0
    ) -> None:
        """Releases and requeues the runs of a target that surely have ended; see `TaskEnds`."""
        self._ends.mark_runs_lost(row, why=why, now=now, lease_s=lease_s)

    def remove_target(self, row: rows.TargetRow) -> None:
        """Removes a target without runs."""
        self._ends.record_removal(row)
        if self._speeds is not None:
            self._speeds.reset(row)
        self._tables.remove_target(row)

    def drain_changed_jobs(self) -> list[rows.JobRow]:
        """Returns the jobs whose progress changed since the last call."""
        changed = list(self._ends.changed.values())
        self._ends.changed.clear()
        self._ends.urgent = False
        return changed

    def model_snapshot(self) -> bytes:
        """Returns the encoded model of interference and run times for the next owner."""
        return model_snapshot.encode(model=self._model, times=self._times)

    def restore_model(self, value: bytes) -> None:
        """Loads the model that an earlier owner saved."""
        self._model.advance_to(self._now)
        model_snapshot.restore(value, model=self._model, times=self._times)

    def has_changes(self) -> bool:
        """Returns whether a job's progress changed since the last `drain_changed_jobs`."""
        return bool(self._ends.changed)

    def has_urgent_changes(self) -> bool:
        """Returns whether a job ended or a task saw a crash since the last `drain_changed_jobs`."""
        return self._ends.urgent or any(row.ended for row in self._ends.changed.values())

    def resolve_trials(self, *, now: float) -> None:
        """Counts the crashes that no owner has seen, once the runs of former owners are known.

        The tasks of `blocked_tasks` may still be running and are left out.
        """
        self._ends.resolve_trials(self.blocked_tasks, now=now)

    def tick(self, *, now: float, wall: float) -> list[commands.Command]:
        """Decides what is due; returns the commands since the last tick, in order."""
        elapsed_s = max(0.0, now - self._now)
        self._now, self._wall = now, wall
        self._follow_targets()
        for row in self._suspected.values():
            target_health.decay(row, elapsed_s=elapsed_s)
        for job in self._timed.pop_due(wall=wall):
            self._release_steps(job)
        self._stop_hung_runs(now)
        if self._speeds is not None:
            self._speeds.review(now=now)
        self._model.advance_to(now)
        self._reserve.observe(elapsed_s=elapsed_s)
        if self.may_place:
            if self._leaving:
                self._leaving_runs.review(self._placement.context(now))
            self._placement.place(
                now=now,
                wall=wall,
                reconciled=self.reconciled,
                blocked_tasks=self.blocked_tasks,
                order_limit=self.order_limit,
            )
            if self._evacuation.domains and self.reconciled and not self._placement.cut_short:
                # What is free after a complete pass is what no waiting task can use.
                self._evacuation.review(self._placement.context(now))
        due_commands = list(self._commands)
        if self._backlog is not None:
            for command in due_commands:
                if isinstance(command, commands.StartRun):
                    self._backlog.note_start(command.run)
        self._commands.clear()
        return due_commands

    def next_wake_s(self, *, now: float, wall: float) -> float | None:
        """Returns the time until the next timed event, seconds; None if there is none."""
        if self.may_place and self.order_limit > 0 and self._placement.cut_short:
            return 0.0
        retries = self._tables.retries
        for name in [name for name, task in retries.items() if task.retry_at <= now]:
            del retries[name]
        due = [
            task.retry_at - now
            for task in retries.values()
            if task.state == rows.TaskState.WAITING and task.step in self._tables.waiting
        ]
        due_at = self._timed.next_due_at()
        if due_at is not None:
            due.append(max(due_at - wall, 0.0))
        return min(due, default=None)

    def _follow_targets(self) -> None:
        """Applies the changes of targets to the collections of suspected and leaving ones."""
        for key, row in self._changed_targets.items():
            present = self._tables.targets.get(row.target_id) is row
            if present and row.suspicion_score:
                self._suspected[key] = row
            else:
                self._suspected.pop(key, None)
            if present and row.leaves_at:
                self._leaving[key] = row
            else:
                self._leaving.pop(key, None)
        self._changed_targets.clear()

    def _resume_steps(self, row: rows.JobRow) -> None:
        """Sets expectations for restored steps and finishes the occurrences that were complete."""
        for steps in row.occurrences.values():
            self._set_expectations(row, steps)
        for number in [number for number, steps in row.unfinished.items() if not steps]:
            graph.finish_occurrence(row, number)

    def _release_steps(self, row: rows.JobRow) -> None:
        for step in graph.release(row, now=self._now, wall=self._wall):
            if not step.due_at:
                self._set_expectations(row, row.occurrences[step.occurrence])
            self._tables.add_waiting(step)
        if row.job.timed:
            self._timed.schedule(row)

    def _set_expectations(self, row: rows.JobRow, steps: list[rows.StepRow]) -> None:
        """Sets the expected run times of an occurrence and its due time."""
        job = row.job
        for step in steps:
            step.expected_s = self._times.expected_s(
                queue=job.queue, image=step.step.image, estimate_s=step.step.estimate_s
            )
        number = steps[0].occurrence
        row.chains_s.pop(number, None)
        objective_from = job.first_at + number * job.interval_s if job.timed else job.accepted_at
        due_at = objective_from + ordering.objective_s(row, steps)
        for step in steps:
            step.objective_from = objective_from
            step.due_at = due_at

    def _stop_hung_runs(self, now: float) -> None:
        """Stops hung runs so that they can be placed on another target.

        Only a status report makes a run a hung one.
        """
        suspects = {
            target_id
            for target_id, row in self._reported.items()
            if row.reachable and any(self._is_hung(run) for run in row.runs.values())
        }
        # A target that doesn't answer is looked at once it answers again.
        self._reported = {
            target_id: row
            for target_id, row in self._reported.items()
            if not row.reachable and self._tables.targets.get(target_id) is row
        }
        if not suspects:
            return
        for target_id, row in self._tables.targets.items():
            if target_id not in suspects:
                continue
            for run in list(row.runs.values()):
                if self._is_hung(run):
                    self._ends.record_failure(
                        row, target_health.HUNG_WEIGHT, why="run-stands-still", now=now
                    )
                    run.task.avoid_target = row.target_id
                    self._ends.stop(run, reason="stands-still", now=now)

    def _is_hung(self, run: rows.RunRow) -> bool:
        step = run.task.step
        if run.state != rows.RunState.RUNNING or step.step.filler or run.pace < 100:
            return False
        if step.step.long_running and run.percent >= 100:
            return False
        if step.step.gang:
            return False
        stalled_s = run.listed_at - max(run.progressed_at, run.started_at)
        return stalled_s > max(MIN_HUNG_S, HUNG_RUN_TIME_FRACTION * step.expected_s)


def restore_job(
    *,
    accepted: progress.Accepted,
    durable: bytes | None,
    configuration: queues.Configuration,
    inherited: bool,
) -> rows.JobRow:
    """Returns a job's row built from its records; raises `decoding.UnreadableError`."""
    done = None if durable is None else progress.decode(durable)
    queue = accepted.queue
    if configuration.version >= accepted.version:
        queue = configuration.queue(queue.name) or queue
    row = progress.restore(job=accepted.job, queue=queue, progress=done)
    row.queue_version = accepted.version
    row.inherited = inherited
    return row
