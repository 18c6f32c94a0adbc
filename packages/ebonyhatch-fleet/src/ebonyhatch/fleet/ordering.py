"""In which order steps are placed: priority, then slack against the job's objective."""

from __future__ import annotations

from ebonyhatch.fleet import graph, rows

USEFUL_OBJECTIVES = 3.0
"""Times its objective within which a job is still of use to its caller; from the queues' contract."""

Key = tuple[int, bool, float]


def objective_s(row: rows.JobRow, steps: list[rows.StepRow]) -> float:
    """Give the time that a job may take, seconds."""
    return row.queue.stretch * graph.chain_s(steps) + row.queue.slack_s


def key(step: rows.StepRow, *, wall: float) -> Key:
    """Give the sort key of a step: priority, useless work last, least slack first."""
    row = step.job
    slack_s = step.due_at - wall - step.expected_s
    late_s = (USEFUL_OBJECTIVES - 1) * max(step.due_at - step.begun_at, 0.0)
    return (row.queue.priority, slack_s + late_s < 0, slack_s)
