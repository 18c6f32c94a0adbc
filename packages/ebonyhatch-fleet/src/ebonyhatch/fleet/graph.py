"""The graph of a job: occurrences and steps are released when their turn comes."""

from __future__ import annotations

from ebonyhatch.fleet import progress, rows

OCCURRENCES_AHEAD = 16
"""Most occurrences of one job that are under way at once; the rest wait for these."""


def release(row: rows.JobRow, *, now: float, wall: float) -> list[rows.StepRow]:
    """Release occurrences that are due and steps whose predecessors are done.

    Args:
        row: The job.
        now: Time on the scheduler's clock, seconds.
        wall: Time of day, seconds since 1970.

    Returns:
        Steps that were released now.
    """
    if row.ended:
        return []
    _release_occurrences(row, wall)
    released = []
    for steps in row.occurrences.values():
        for step in steps:
            if not step.released and _is_ready(step, steps):
                _release_step(step, now)
                released.append(step)
    return released


def next_due_at(row: rows.JobRow) -> float | None:
    """Tell the time of day of the next occurrence; None where there is none."""
    job = row.job
    if not job.timed or row.ended or row.next_occurrence >= job.occurrences:
        return None
    return job.first_at + row.next_occurrence * job.interval_s


def finish_occurrence(row: rows.JobRow, occurrence: int) -> bool:
    """Note that an occurrence is done where it is; tells whether the whole job is."""
    steps = row.occurrences[occurrence]
    if any(step.left for step in steps):
        return False
    del row.occurrences[occurrence]
    row.finished.add(occurrence)
    return len(row.finished) == max(1, row.job.occurrences)


def chain_s(steps: list[rows.StepRow]) -> float:
    """Sum the expected run times along the longest chain of steps that are not done."""
    longest: list[float] = []
    for step in steps:
        before = max((longest[index] for index in step.step.after), default=0.0)
        longest.append(before + (step.expected_s if step.left else 0.0))
    return max(longest, default=0.0)


def rest_s(step: rows.StepRow, steps: list[rows.StepRow]) -> float:
    """Sum the expected run times of the longest chain that begins with a step.

    Steps come after earlier ones only, so that one pass from the last to the first does.
    """
    following = [0.0] * len(steps)
    for later in reversed(steps[step.index + 1 :]):
        rest = later.expected_s + following[later.index]
        for before in later.step.after:
            following[before] = max(following[before], rest)
    return step.expected_s + following[step.index]


def _release_occurrences(row: rows.JobRow, wall: float) -> None:
    if not row.job.timed:
        if row.next_occurrence == 0:
            row.next_occurrence = 1
            row.occurrences[0] = progress.new_steps(row, 0)
        return
    due_at = next_due_at(row)
    while due_at is not None and due_at <= wall and len(row.occurrences) < OCCURRENCES_AHEAD:
        row.occurrences[row.next_occurrence] = progress.new_steps(row, row.next_occurrence)
        row.next_occurrence += 1
        due_at = next_due_at(row)


def _is_ready(step: rows.StepRow, steps: list[rows.StepRow]) -> bool:
    return all(steps[index].left == 0 for index in step.step.after)


def _release_step(step: rows.StepRow, now: float) -> None:
    step.released = True
    for task in step.tasks:
        if task.state == rows.TaskState.BLOCKED:
            task.state = rows.TaskState.WAITING
            task.waiting_since = now
            step.waiting.append(task)
