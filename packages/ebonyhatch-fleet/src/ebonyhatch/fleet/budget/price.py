"""Memory that a job may take in the process that owns it, known before it is accepted.

A task takes memory while it is in progress, and what is in progress is bounded by the capacity of the
targets. Tasks that ask for next to nothing, and the members of a gang, may all be in progress at once.
"""

from __future__ import annotations

from ebonyhatch.fleet import graph, jobs

JOB_BYTES = 3_000
"""Memory of a job without its steps, bytes."""

STEP_BYTES = 1_700
"""Memory of a step that waits with one task, bytes."""

DEPENDENCY_BYTES = 48
"""Memory of a dependency between two steps, bytes."""

INDEX_BYTES = 8
"""Size of the index of a task that is done, in a job's progress in the store, bytes."""

RUN_BYTES = 2_500
"""Memory of a task in progress, with its run and its place in reports, bytes."""

RECORD_COPIES = 2
"""Number of copies of its record that a job takes: a new owner holds the record beside the decoded
job."""

CANCELLATION_BYTES = 500
"""Memory of a cancellation without a job, bytes."""


def price(job: jobs.Job, *, record_bytes: int) -> int:
    """Returns the memory that a job may take until it ends, bytes."""
    steps = sum(_step_price(step) for step in job.steps)
    return JOB_BYTES + RECORD_COPIES * record_bytes + graph.open_limit(job) * steps


def price_of_ended(*, record_bytes: int) -> int:
    """Returns the memory that a job takes from its end until its records are removed, bytes."""
    return JOB_BYTES + record_bytes


def _step_price(step: jobs.Step) -> int:
    price_bytes = STEP_BYTES + len(step.after) * DEPENDENCY_BYTES + step.count * INDEX_BYTES
    if step.gang or step.light:
        price_bytes += step.count * RUN_BYTES
    return price_bytes
