"""The scheduler's tables, and reservations of runs on targets."""

from __future__ import annotations

from ebonyhatch.fleet import crash_blame, rows, targets, waiting_steps


class Tables:
    """Jobs and targets by id.

    Attributes:
        jobs: All jobs by id.
        targets: Targets by id.
        totals: Sums over the runs on all targets.
        waiting: Steps with waiting tasks.
        retries: Tasks with a delay before their next start, by name; some delays may be over.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, rows.JobRow] = {}
        self.targets: dict[str, rows.TargetRow] = {}
        self.totals = rows.Totals()
        self.waiting = waiting_steps.WaitingSteps()
        self.retries: dict[str, rows.TaskRow] = {}
        self._observers: list[dict[int, rows.TargetRow]] = []

    def observe_targets(self) -> dict[int, rows.TargetRow]:
        """Returns a collection to which targets are added when they change, by `id()` of the row.

        New targets are added to it in the order in which they come to the table, and removed ones
        as well. The observer clears it.
        """
        changed = {id(row): row for row in self.targets.values()}
        self._observers.append(changed)
        return changed

    def add_job(self, row: rows.JobRow) -> None:
        """Adds a job."""
        self.jobs[row.job.job_id] = row

    def add_waiting(self, step: rows.StepRow) -> None:
        """Adds a step to those with waiting tasks, if it has any."""
        if step.waiting:
            self.waiting.add(step)

    def forget_waiting(self, row: rows.JobRow) -> None:
        """Drops the waiting tasks of a job."""
        for steps in row.occurrences.values():
            for step in steps:
                step.waiting.clear()
                self.waiting.discard(step)

    def recount_short_cpu(self) -> None:
        """Counts all short work anew, after the pools of queues have changed."""
        self.waiting.recount()
        self.totals.short_cpu.clear()
        for row in self.targets.values():
            for run in row.runs.values():
                if not (run.task.step.step.filler or run.task.step.step.long_running):
                    _add_short_cpu(run, 1)

    def task(self, name: str) -> rows.TaskRow | None:
        """Returns a task by its name at targets; None if no job in progress has it."""
        parsed = rows.parse_task_name(name)
        if parsed is None:
            return None
        job_id, occurrence, step, index = parsed
        row = self.jobs.get(job_id)
        if row is None:
            return None
        try:
            return row.occurrences[occurrence][step].tasks[index]
        except (KeyError, IndexError):
            return None

    def set_target(self, target: targets.Target) -> rows.TargetRow:
        """Adds a target, or applies its present registration."""
        row = self.targets.get(target.target_id)
        if row is None:
            row = rows.TargetRow(observers=self._observers, target=target, totals=self.totals)
            row.free_cpu = target.cpu_millis
            row.free_memory = target.memory_mb
            row.free_accelerators = target.accelerators
            self.targets[target.target_id] = row
            return row
        row.free_cpu += target.cpu_millis - row.target.cpu_millis
        row.free_memory += target.memory_mb - row.target.memory_mb
        row.free_accelerators += target.accelerators - row.target.accelerators
        row.target = target
        row.listed = True
        return row

    def remove_target(self, row: rows.TargetRow) -> None:
        """Removes a target without runs."""
        self.targets.pop(row.target_id, None)
        row.mark_changed()


def reserve(run: rows.RunRow) -> None:
    """Reserves the resources of a run on its target."""
    _update_reservation(run, 1)
    run.target.runs[run.key] = run
    run.target.totals.runs += 1
    run.task.step.job.run_count += 1
    if run.task.step.step.tail_limit_s:
        run.target.serving[run.key] = run
    if run.task.step.step.filler:
        run.target.fillers[run.key] = run
    run.task.runs[run.key.run] = run


def release(run: rows.RunRow) -> None:
    """Releases the resources of a run."""
    if run.target.runs.pop(run.key, None) is None:
        return
    run.target.totals.runs -= 1
    run.task.step.job.run_count -= 1
    crash_blame.note_end(run)
    run.target.serving.pop(run.key, None)
    run.target.fillers.pop(run.key, None)
    run.task.runs.pop(run.key.run, None)
    _update_reservation(run, -1)


def _add_short_cpu(run: rows.RunRow, sign: int) -> None:
    step, short_cpu = run.task.step, run.target.totals.short_cpu
    pool = step.job.queue.pool
    short_cpu[pool] = short_cpu.get(pool, 0) + sign * step.step.cpu_millis


def _update_reservation(run: rows.RunRow, sign: int) -> None:
    step, row = run.task.step, run.target
    spec = step.step
    if spec.filler:
        row.filler_cpu += sign * spec.cpu_millis
    else:
        row.free_cpu -= sign * spec.cpu_millis
    if not (spec.filler or spec.long_running):
        _add_short_cpu(run, sign)
    if spec.long_running:
        row.long_running_cpu += sign * spec.cpu_millis
    if spec.long_running and spec.tail_limit_s:
        row.serving_cpu += sign * spec.cpu_millis
    row.free_memory -= sign * spec.memory_mb
    row.free_accelerators -= sign * spec.accelerators
    count = step.per_target.get(row.target_id, 0) + sign
    if count:
        step.per_target[row.target_id] = count
    else:
        step.per_target.pop(row.target_id, None)
