"""The scheduler that nodes run: tables, and the systems that read and change them."""

from __future__ import annotations

from collections.abc import Sequence

from ebonyhatch.core import (
    capacity_summary,
    commands,
    events,
    explanation,
    interference,
    scheduler,
    settings,
    table_views,
    tables,
    views,
)
from ebonyhatch.core.systems import (
    admission,
    batch_placement,
    eviction,
    expire,
    health,
    ingest,
    job_events,
    lane_assignment,
    large_job_reservations,
    request_events,
    request_placement,
    requeue,
    reserve,
    sharing,
    usage,
    worker_events,
)

HANDLERS = (worker_events, job_events, request_events, usage)
"""Modules that register event handlers."""

PERIOD_S = 0.1
"""Period of the systems that go through all workers or all jobs, seconds."""

PERIOD_ROUNDING_S = 1e-6
"""Tolerance for rounding errors in the start of a period, seconds."""


@scheduler.policy("default")
class DefaultScheduler(scheduler.Scheduler):
    """Runs the systems on the tables each tick."""

    __slots__ = ("_tables",)

    def __init__(
        self,
        *,
        seed: int,
        defaults: settings.Settings | None = None,
        interference_mode: str = "pairs",
    ) -> None:
        self._tables = tables.Tables(
            defaults=defaults or settings.Settings(),
            model=interference.Interference(mode=interference_mode, seed=seed),
        )

    @property
    def tables(self) -> tables.Tables:
        """Tables of the scheduler, for tests and operators' views."""
        return self._tables

    def tick(self, *, now: float, events: Sequence[events.Event]) -> list[commands.Command]:
        """Applies events and returns the commands that follow."""
        state = self._tables
        state.now = now
        ingest.run(state, events)
        expire.run(state)
        periodic = now >= state.next_period_at - PERIOD_ROUNDING_S
        if periodic:
            state.next_period_at = now + PERIOD_S
            health.run(state)
            requeue.run(state)
            sharing.run(state)
            reserve.run(state)
            lane_assignment.run(state)
            large_job_reservations.run(state)
        admission.run(state)
        request_placement.run(state)
        batch_placement.run(state)
        if periodic:
            eviction.run(state)
            usage.run(state)
        decided = state.commands
        state.commands = []
        return decided

    def room(self, *, now: float) -> scheduler.CapacitySummary:
        """Returns the free capacity and the queues of the cell."""
        return capacity_summary.summarize(self._tables)

    def view(self) -> views.View:
        """Returns workers, queues and reserve."""
        return table_views.build(self._tables)

    def explain(self, *, subject_id: str) -> str:
        """Returns a sentence on why a job or request waits, or where it is."""
        return explanation.explain(self._tables, subject_id=subject_id)
