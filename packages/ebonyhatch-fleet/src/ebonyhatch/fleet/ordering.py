"""The order in which steps are placed: by priority, then by slack against the job's objective."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ebonyhatch.fleet import graph, rows

USEFUL_OBJECTIVE_FACTOR = 3.0
"""Multiple of its objective within which a finished job is still useful to its caller; from the
contract of the queues."""

ARRIVAL_WINDOW_S = 5.0
"""Window of arrival times within which long-running jobs count as simultaneous, seconds: after a
start of the service all of them arrive within 5 s."""

_IN_TIME, _LATE, _USELESS = range(3)

Key = tuple[int, int, bool, float, float]


def objective_s(row: rows.JobRow, steps: list[rows.StepRow]) -> float:
    """Returns the time that a job may take according to its queue, seconds."""
    return row.queue.stretch * graph.longest_chain_s(steps) + row.queue.slack_s


def in_order(steps: list[rows.StepRow], *, wall: float) -> Iterator[rows.StepRow]:
    """Yields steps in the order of their keys; steps with equal keys keep their order.

    Each group of equal priority, timeliness and kind is sorted only when it is reached.
    """
    groups: dict[tuple[int, int, bool], tuple[list[rows.StepRow], list[Any]]] = {}
    for step in steps:
        priority, timeliness, long_running, first, second = key(step, wall=wall)
        group = groups.setdefault((priority, timeliness, long_running), ([], []))
        group[0].append(step)
        group[1].append((first, second) if long_running else first)
    for name in sorted(groups):
        members, keys = groups[name]
        for index in sorted(range(len(members)), key=keys.__getitem__):
            yield members[index]


def key(step: rows.StepRow, *, wall: float) -> Key:
    """Returns the sort key of a step: priority, whether the job can still be useful, then by kind.

    Short steps of jobs that can still meet their objective come first, then late ones, then those
    that finish too late to be useful; within each group the one with the least slack comes first.
    Under overload, ordering by least slack alone makes every job late.

    Long-running steps come after short ones, since they keep their capacity until they are
    cancelled. Of those that arrived together the largest comes first, while there is capacity for
    it: the capacity that remains between large tasks still fits small ones.
    """
    row = step.job
    if step.step.long_running:
        window = step.objective_from // ARRIVAL_WINDOW_S
        return (row.queue.priority, _IN_TIME, True, window, -step.step.count * step.step.cpu_millis)
    slack_s = step.due_at - wall - graph.remaining_chain_s(step, row.occurrences[step.occurrence])
    late_s = (USEFUL_OBJECTIVE_FACTOR - 1) * max(step.due_at - step.objective_from, 0.0)
    timeliness = _IN_TIME if slack_s >= 0 else _LATE if slack_s + late_s >= 0 else _USELESS
    return (row.queue.priority, timeliness, False, slack_s, 0.0)
