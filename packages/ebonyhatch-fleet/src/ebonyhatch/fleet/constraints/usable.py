"""Targets that accept new work."""

from __future__ import annotations

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.constraints import registry


@registry.predicate("usable")
def is_usable(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Returns whether a target may get new runs.

    It has sent a status report, takes runs by the owner's durable record, answers, is listed, isn't
    draining or quarantined, is in no evacuated failure domain, doesn't run an isolated task, and
    hasn't just refused a run for lack of capacity.
    """
    return (
        row.confirmed
        and row.announced
        and row.reachable
        and row.listed
        and not row.target.draining
        and not row.evacuated
        and row.closed_until <= context.now
    )


@registry.predicate("pool")
def is_in_pool(step: rows.StepRow, row: rows.TargetRow, context: registry.Context) -> bool:
    """Returns whether a target belongs to the queue's pool and is in one of its regions."""
    queue = step.job.queue
    if row.target.pool != queue.pool:
        return False
    return not queue.regions or row.target.region in queue.regions
