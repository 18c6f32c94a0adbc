"""The scheduler's tables, and what is reserved by whom."""

from __future__ import annotations

from ebonyhatch.fleet import rows, targets


class Tables:
    """Jobs and targets by id, jobs that run by time and have not ended, steps with waiting tasks."""

    def __init__(self) -> None:
        self.jobs: dict[str, rows.JobRow] = {}
        self.timed: dict[str, rows.JobRow] = {}
        self.targets: dict[str, rows.TargetRow] = {}
        self.waiting: dict[int, rows.StepRow] = {}

    def add_job(self, row: rows.JobRow) -> None:
        """Add a job."""
        self.jobs[row.job.job_id] = row
        if row.job.timed and not row.ended:
            self.timed[row.job.job_id] = row

    def add_waiting(self, step: rows.StepRow) -> None:
        """Note that a step has waiting tasks."""
        if step.waiting:
            self.waiting[id(step)] = step

    def drop_settled(self) -> None:
        """Drop steps whose tasks wait no more, such as those that ended without being placed."""
        for key in [key for key, step in self.waiting.items() if not step.waiting]:
            del self.waiting[key]

    def forget_waiting(self, row: rows.JobRow) -> None:
        """Drop the waiting tasks of a job."""
        for steps in row.occurrences.values():
            for step in steps:
                step.waiting.clear()
                self.waiting.pop(id(step), None)

    def task(self, name: str) -> rows.TaskRow | None:
        """Find a task by its name at targets; None where no job under way has it."""
        parts = name.split(".")
        row = self.jobs.get(parts[0])
        if row is None or len(parts) != rows.TASK_NAME_PARTS:
            return None
        try:
            occurrence, step, index = (int(part) for part in parts[1:])
            return row.occurrences[occurrence][step].tasks[index]
        except (KeyError, IndexError, ValueError):
            return None

    def set_target(self, target: targets.Target) -> rows.TargetRow:
        """Add a target, or take in what it says of itself now."""
        row = self.targets.get(target.target_id)
        if row is None:
            row = rows.TargetRow(target=target)
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


def reserve(run: rows.RunRow) -> None:
    """Reserve what a run asks for."""
    _count(run, 1)
    run.target.runs[run.key] = run
    run.task.runs[run.key.run] = run


def release(run: rows.RunRow) -> None:
    """Give back what a run reserved."""
    if run.target.runs.pop(run.key, None) is None:
        return
    run.task.runs.pop(run.key.run, None)
    _count(run, -1)


def _count(run: rows.RunRow, sign: int) -> None:
    step, row = run.task.step, run.target
    wanted = step.step
    if wanted.filler:
        row.filler_cpu += sign * wanted.cpu_millis
    else:
        row.free_cpu -= sign * wanted.cpu_millis
    if wanted.long_running:
        row.lasting_cpu += sign * wanted.cpu_millis
    if wanted.long_running and wanted.tail_limit_s:
        row.serving_cpu += sign * wanted.cpu_millis
    row.free_memory -= sign * wanted.memory_mb
    row.free_accelerators -= sign * wanted.accelerators
    count = step.per_target.get(row.target_id, 0) + sign
    if count:
        step.per_target[row.target_id] = count
    else:
        step.per_target.pop(row.target_id, None)
