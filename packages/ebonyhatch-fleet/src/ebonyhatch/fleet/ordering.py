"""In which order steps are placed: priority, then slack against the job's objective."""

from __future__ import annotations

from ebonyhatch.fleet import graph, rows

USEFUL_OBJECTIVES = 3.0
"""Times its objective within which a job is still of use to its caller; from the queues' contract."""

ARRIVAL_WINDOW_S = 5.0
"""Long-running jobs that arrive within a window count as arrived together, seconds: after a start
of the service all of them come within one."""

_IN_TIME, _LATE, _USELESS = range(3)

Key = tuple[int, int, bool, float, float]


def objective_s(row: rows.JobRow, steps: list[rows.StepRow]) -> float:
    """Give the time that a job may take, seconds."""
    return row.queue.stretch * graph.chain_s(steps) + row.queue.slack_s


def key(step: rows.StepRow, *, wall: float) -> Key:
    """Give the sort key of a step: priority, what the work is still good for, then by kind.

    Short steps of jobs that can still be in time come first, then late ones, and useless ones last;
    among them by least slack. Under overload, least slack alone makes every job late.

    Long-running steps come after them, since they stay in what they are given. Of those that
    arrived together the largest comes first, while there is room for it: what remains between
    large tasks still holds small ones.
    """
    row = step.job
    if step.step.long_running:
        window = step.begun_at // ARRIVAL_WINDOW_S
        return (row.queue.priority, _IN_TIME, True, window, -step.step.count * step.step.cpu_millis)
    slack_s = step.due_at - wall - graph.rest_s(step, row.occurrences[step.occurrence])
    late_s = (USEFUL_OBJECTIVES - 1) * max(step.due_at - step.begun_at, 0.0)
    prospect = _IN_TIME if slack_s >= 0 else _LATE if slack_s + late_s >= 0 else _USELESS
    return (row.queue.priority, prospect, False, slack_s, 0.0)
