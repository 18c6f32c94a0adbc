"""In which order steps are placed: priority, then what can still be in time, then slack."""

from __future__ import annotations

import enum

from ebonyhatch.fleet import graph, rows

USEFUL_OBJECTIVES = 3.0
"""Times its objective within which a job is still of use to its caller; from the queues' contract."""


class Prospect(enum.IntEnum):
    """What a job can still reach if its next step is placed now."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2


Key = tuple[int, Prospect, float]


def objective_s(row: rows.JobRow, steps: list[rows.StepRow]) -> float:
    """Give the time that a job may take, seconds."""
    return row.queue.stretch * graph.chain_s(steps) + row.queue.slack_s


def prospect(step: rows.StepRow, *, slack_s: float) -> Prospect:
    """Judge a step by its slack, seconds."""
    if slack_s >= 0:
        return Prospect.IN_TIME
    late_s = (USEFUL_OBJECTIVES - 1) * max(step.due_at - step.begun_at, 0.0)
    return Prospect.LATE if slack_s + late_s >= 0 else Prospect.USELESS


def key(step: rows.StepRow, *, wall: float) -> Key:
    """Give the sort key of a step.

    Answers overload within a queue: by slack alone, jobs that are late already go before those
    that would still be in time, until every job is late.
    """
    row = step.job
    steps = row.occurrences[step.occurrence]
    slack_s = step.due_at - wall - graph.rest_s(step, steps)
    return (row.queue.priority, prospect(step, slack_s=slack_s), slack_s)
