"""Summary of a cell's room."""

from __future__ import annotations

from ebonyhatch.core import scheduler, tables


def summarize(state: tables.Tables) -> scheduler.CapacitySummary:
    """Summarize from counts that the tables keep."""
    return scheduler.CapacitySummary(
        free_slots=max(0, state.free_slots),
        total_slots=state.total_slots,
        queued_urgent=len(state.urgent),
        wait_s=state.wait_s,
        queued_batch=len(state.batch),
    )
