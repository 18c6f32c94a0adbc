"""The scheduler of one owner: events go in as calls, commands come out of each tick."""

from __future__ import annotations

from ebonyhatch.fleet import (
    accounts,
    commands,
    evacuation,
    graph,
    learnt,
    ordering,
    pacing,
    placing,
    progress,
    queues,
    reserve,
    rows,
    run_times,
    standing,
    tables,
    tails,
    targets,
    task_ends,
)

RUNS_A_TERM = 1_000
"""Run numbers that each term of an owner may use for a task beyond those it knows."""

HUNG_AFTER_S = 1.5
"""Time without progress after which a run stands still, unless its expected time is longer."""

HUNG_SHARE = 0.4
"""Share of its expected run time without progress after which a run stands still."""


class Scheduler:
    """Places the tasks of all jobs on all targets; knows no clock and makes no calls."""

    def __init__(self, *, decide: commands.Decide) -> None:
        self._commands: list[commands.Command] = []
        self._decide = decide
        self._tables = tables.Tables()
        self._times = run_times.RunTimes()
        self._ends = task_ends.TaskEnds(
            all_tables=self._tables,
            times=self._times,
            emit=self._commands.append,
            decide=decide,
            released=self._released,
        )
        self._accounts = accounts.Accounts(
            all_tables=self._tables, ends=self._ends, emit=self._commands.append, decide=decide
        )
        model = self._model = tails.TailModel()
        self._pacing = pacing.Pacing(
            model=model, emit=self._commands.append, decide=decide, stop=self._ends.stop
        )
        self._reserve = reserve.Reserve(all_tables=self._tables)
        self._placing = placing.Placing(
            all_tables=self._tables,
            model=model,
            kept=self._reserve,
            emit=self._commands.append,
            decide=decide,
        )
        self._evacuation = evacuation.Evacuation(all_tables=self._tables, stop=self._ends.stop)
        self._now = 0.0
        self._wall = 0.0
        self.settled = False
        self.blocked: frozenset[str] = frozenset()
        self.may_place = False

    @property
    def tables(self) -> tables.Tables:
        """The tables."""
        return self._tables

    @property
    def accounts(self) -> accounts.Accounts:
        """What takes in the accounts of targets and the answers to orders."""
        return self._accounts

    def begin_term(self, term: int) -> None:
        """Number runs above those that owners of earlier terms may have ordered."""
        self._placing.run_base = (term - 1) * RUNS_A_TERM

    def configure(self, configuration: queues.Configuration) -> None:
        """Take in the configuration in force; jobs of a removed queue keep what they know."""
        for row in self._tables.jobs.values():
            row.queue = configuration.queue(row.job.queue) or row.queue

    def add_job(self, row: rows.JobRow, *, now: float, wall: float) -> None:
        """Take in a job that is durable."""
        if row.job.job_id in self._tables.jobs:
            return
        self._now, self._wall = now, wall
        self._tables.add_job(row)
        if not row.ended:
            self._adopt_progress(row)
            self._released(row)

    def cancel(self, job_id: str, *, now: float) -> None:
        """Cancel a job whose cancellation is durable or about to be."""
        row = self._tables.jobs.get(job_id)
        if row is None or row.ended:
            return
        row.state = rows.JobState.CANCELLED
        self._decide("job.cancelled", None, job_id=job_id)
        self._ends.note_changed(row)
        self._ends.stop_all(row, reason="cancelled", now=now)

    def forget(self, job_id: str) -> None:
        """Forget a job that has ended and whose records are gone."""
        self._tables.jobs.pop(job_id, None)
        self._tables.timed.pop(job_id, None)
        self._model.forget(job_id)

    def set_target(self, target: targets.Target, *, now: float) -> rows.TargetRow:
        """Take in what a target says of itself; a new life has lost all runs of the old one."""
        row = self._tables.targets.get(target.target_id)
        if row is not None and row.target.born < target.born:
            self.lose_target(row, why="new-life", now=now)
            row.confirmed = False
            row.standing = 0.0
        row = self._tables.set_target(target)
        if not target.draining:
            row.leaves_at = 0.0
        elif not row.leaves_at:
            row.leaves_at = now + (target.stays_s or evacuation.LEAST_STAY_S)
        return row

    def take_account(
        self, row: rows.TargetRow, account: targets.StatusReport, *, now: float
    ) -> None:
        """Take in a target's account."""
        self._model.at(now)
        self._accounts.take(row, account, now=now)
        self._pacing.review(row, now=now)

    def is_unsure(self, run: rows.RunRow) -> bool:
        """Tell whether it has to be seen soon what a run does to the serving tasks beside it."""
        step = run.task.step
        return step.step.filler and any(
            self._model.is_unsure(serving, step) for serving in tails.serving_runs(run.target)
        )

    def lose_target(self, row: rows.TargetRow, *, why: str, now: float) -> None:
        """Give up all runs of a target on which nothing can run any more."""
        self._ends.lose(row, why=why, now=now)

    def remove_target(self, row: rows.TargetRow) -> None:
        """Forget a target without runs."""
        self._tables.targets.pop(row.target_id, None)

    def take_changed(self) -> list[rows.JobRow]:
        """Give the jobs whose progress changed since the last call."""
        changed = list(self._ends.changed.values())
        self._ends.changed.clear()
        return changed

    def learnt(self) -> bytes:
        """Encode what was learnt, for the next owner."""
        return learnt.encode(model=self._model, times=self._times)

    def restore_learnt(self, value: bytes) -> None:
        """Begin with what an earlier owner learnt."""
        self._model.at(self._now)
        learnt.restore(value, model=self._model, times=self._times)

    def has_changes(self) -> bool:
        """Tell whether the progress of some job changed since it was last taken."""
        return bool(self._ends.changed)

    def has_ended_changes(self) -> bool:
        """Tell whether a job has ended since changes were last taken."""
        return any(row.ended for row in self._ends.changed.values())

    def tick(self, *, now: float, wall: float) -> list[commands.Command]:
        """Decide; gives the commands since the last tick, in order."""
        elapsed_s = max(0.0, now - self._now)
        self._now, self._wall = now, wall
        for row in self._tables.targets.values():
            standing.fade(row, elapsed_s=elapsed_s)
        for job in list(self._tables.timed.values()):
            if job.ended:
                del self._tables.timed[job.job.job_id]
            else:
                self._released(job)
        self._stop_hung(now)
        self._model.at(now)
        self._reserve.observe(elapsed_s=elapsed_s)
        if self.may_place:
            self._evacuation.review(self._placing.context(now))
            self._placing.place(now=now, wall=wall, settled=self.settled, blocked=self.blocked)
        decided = list(self._commands)
        self._commands.clear()
        return decided

    def next_wake_s(self, *, now: float, wall: float) -> float | None:
        """Give the time until something is due by time alone, seconds; None for nothing."""
        due = [
            task.retry_at - now
            for step in self._tables.waiting.values()
            for task in step.waiting
            if task.retry_at > now
        ]
        for row in self._tables.timed.values():
            due_at = graph.next_due_at(row)
            if due_at is not None:
                due.append(max(due_at - wall, 0.0))
        return min(due, default=None)

    def _adopt_progress(self, row: rows.JobRow) -> None:
        """Let the restored steps wait as their progress says."""
        for steps in row.occurrences.values():
            self._expect(row, steps)
        for number in [n for n, steps in row.occurrences.items() if not any(s.left for s in steps)]:
            graph.finish_occurrence(row, number)

    def _released(self, row: rows.JobRow) -> None:
        for step in graph.release(row, now=self._now, wall=self._wall):
            if not step.due_at:
                self._expect(row, row.occurrences[step.occurrence])
            self._tables.add_waiting(step)

    def _expect(self, row: rows.JobRow, steps: list[rows.StepRow]) -> None:
        """Set the expected run times of an occurrence, and when it is due."""
        job = row.job
        for step in steps:
            step.expected_s = self._times.expected_s(
                queue=job.queue, image=step.step.image, estimate_s=step.step.estimate_s
            )
        number = steps[0].occurrence
        begun_at = job.first_at + number * job.interval_s if job.timed else job.accepted_at
        due_at = begun_at + ordering.objective_s(row, steps)
        for step in steps:
            step.begun_at = begun_at
            step.due_at = due_at

    def _stop_hung(self, now: float) -> None:
        """Stop runs that stand still; another target may do better."""
        for row in self._tables.targets.values():
            if not row.reachable:
                continue
            for run in list(row.runs.values()):
                if self._hung(run):
                    self._ends.blame(row, standing.HUNG_WEIGHT, why="run-stands-still", now=now)
                    run.task.avoid = row.target_id
                    self._ends.stop(run, reason="stands-still", now=now)

    def _hung(self, run: rows.RunRow) -> bool:
        step = run.task.step
        if run.state != rows.RunState.RUNNING or step.step.filler or run.pace < 100:
            return False
        if step.step.long_running and run.percent >= 100:
            return False
        if step.step.gang:
            return False
        still_s = run.target.heard_at - max(run.progressed_at, run.started_at)
        return still_s > max(HUNG_AFTER_S, HUNG_SHARE * step.expected_s)


def restored(
    *,
    accepted: progress.Accepted,
    durable: bytes | None,
    configuration: queues.Configuration,
    inherited: bool,
) -> rows.JobRow:
    """Build a job's row from its records; raises `msgspec.DecodeError`."""
    done = None if durable is None else progress.decode(durable)
    queue = configuration.queue(accepted.queue.name) or accepted.queue
    row = progress.restore(job=accepted.job, queue=queue, progress=done)
    row.inherited = inherited
    return row
