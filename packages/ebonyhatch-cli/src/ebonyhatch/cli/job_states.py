"""Job states that callers see."""

from __future__ import annotations

FINISHED = "finished"

TERMINAL = frozenset({FINISHED, "failed", "cancelled", "unrunnable"})
"""States that a job never leaves."""
