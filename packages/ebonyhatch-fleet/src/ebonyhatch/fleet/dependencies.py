"""Dependencies between the steps of a job, followed step by step as they are done."""

from __future__ import annotations

from ebonyhatch.fleet import jobs, rows


def open_occurrence(row: rows.JobRow, number: int, steps: list[rows.StepRow]) -> None:
    """Adds the steps of an occurrence; those that depend on no unfinished step become ready."""
    if not row.successors:
        row.successors = _successors(row.job)
    row.occurrences[number] = steps
    row.unfinished[number] = sum(1 for step in steps if step.remaining_count)
    for step in steps:
        step.blockers = sum(1 for index in set(step.step.after) if steps[index].remaining_count)
        if not step.blockers:
            row.ready.append(step)


def finish_step(step: rows.StepRow) -> None:
    """Records that all tasks of a step are done; the steps that waited only for it become ready."""
    row = step.job
    steps = row.occurrences[step.occurrence]
    row.unfinished[step.occurrence] -= 1
    for index in row.successors[step.index]:
        successor = steps[index]
        successor.blockers -= 1
        if not successor.blockers:
            row.ready.append(successor)


def _successors(job: jobs.Job) -> tuple[tuple[int, ...], ...]:
    """Returns the indexes of the steps that depend directly on each step, each of them once."""
    successors: list[list[int]] = [[] for _ in job.steps]
    for index, step in enumerate(job.steps):
        for earlier in set(step.after):
            successors[earlier].append(index)
    return tuple(map(tuple, successors))
