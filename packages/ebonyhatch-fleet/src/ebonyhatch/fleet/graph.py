"""The graph of a job: releases occurrences when they are due and steps when they are ready."""

from __future__ import annotations

import array

from ebonyhatch.fleet import dependencies, jobs, progress, rows

MAX_OPEN_OCCURRENCES = 16
"""Largest number of occurrences of one job in progress; later ones are released as these finish."""


def open_limit(job: jobs.Job) -> int:
    """Returns how many occurrences of a job may be in progress.

    Together they have no more tasks than a single occurrence may have, so that their progress fits
    into one value of the store.
    """
    tasks = sum(step.count for step in job.steps)
    return max(1, min(MAX_OPEN_OCCURRENCES, jobs.TASKS_LIMIT // tasks, job.occurrences))


def release(row: rows.JobRow, *, now: float, wall: float) -> list[rows.StepRow]:
    """Releases occurrences that are due and steps whose predecessors are done.

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
    released, row.ready = row.ready, []
    for step in released:
        step.released = True
        step.waiting.release(now=now)
    return released


def next_due_at(row: rows.JobRow) -> float | None:
    """Returns the time of day of the next occurrence; None if there is none."""
    job = row.job
    if not job.timed or row.ended or row.next_occurrence >= job.occurrences:
        return None
    return job.first_at + row.next_occurrence * job.interval_s


def open_through(row: rows.JobRow, occurrence: int) -> None:
    """Opens all occurrences up to one, also those that are not due or exceed `open_limit`."""
    while row.next_occurrence <= occurrence:
        _open_next(row)


def finish_occurrence(row: rows.JobRow, occurrence: int) -> bool:
    """Moves an occurrence to the finished ones if it is done; returns whether the whole job is."""
    if row.unfinished.get(occurrence, 1):
        return False
    del row.occurrences[occurrence], row.unfinished[occurrence]
    row.chains_s.pop(occurrence, None)
    return not row.occurrences and row.next_occurrence == max(1, row.job.occurrences)


def longest_chain_s(steps: list[rows.StepRow]) -> float:
    """Returns the expected run time of the longest chain of steps that are not done, seconds."""
    longest: list[float] = []
    for step in steps:
        predecessors_s = max((longest[index] for index in step.step.after), default=0.0)
        longest.append(predecessors_s + (step.expected_s if step.remaining_count else 0.0))
    return max(longest, default=0.0)


def remaining_chain_s(step: rows.StepRow, steps: list[rows.StepRow]) -> float:
    """Returns the expected run time of the longest chain that begins with a step, seconds.

    The chains of all steps of an occurrence are determined together, when the first is asked for.
    No step of a chain can be done before its first one.
    """
    chains_s = step.job.chains_s.get(step.occurrence)
    if chains_s is None:
        chains_s = step.job.chains_s[step.occurrence] = _chains_s(steps)
    return chains_s[step.index]


def _chains_s(steps: list[rows.StepRow]) -> array.array[float]:
    """Returns the run times of the chains that begin with each step.

    Steps depend on earlier ones only, so one pass from the last to the first is enough.
    """
    chains_s = array.array("d", bytes(8 * len(steps)))
    for step in reversed(steps):
        chains_s[step.index] += step.expected_s
        for predecessor in step.step.after:
            chains_s[predecessor] = max(chains_s[predecessor], chains_s[step.index])
    return chains_s


def _release_occurrences(row: rows.JobRow, wall: float) -> None:
    if not row.job.timed:
        if row.next_occurrence == 0:
            _open_next(row)
        return
    due_at = next_due_at(row)
    limit = open_limit(row.job)
    while due_at is not None and due_at <= wall and len(row.occurrences) < limit:
        _open_next(row)
        due_at = next_due_at(row)


def _open_next(row: rows.JobRow) -> None:
    steps = progress.new_steps(row, row.next_occurrence)
    dependencies.open_occurrence(row, row.next_occurrence, steps)
    row.next_occurrence += 1
