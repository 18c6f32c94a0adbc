"""Summary of the free capacity of a cell."""

from __future__ import annotations

from ebonyhatch.core import scheduler, tables


def summarize(state: tables.Tables) -> scheduler.CapacitySummary:
    """Builds the summary from counts that the tables maintain."""
    return scheduler.CapacitySummary(
        free_slots=max(0, state.free_slots),
        total_slots=state.total_slots,
        queued_urgent=len(state.urgent_queue),
        wait_s=state.urgent_wait_s,
        queued_batch=len(state.batch_queue),
    )
