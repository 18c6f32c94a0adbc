"""States of a job as callers see them."""

from __future__ import annotations

FINISHED = "finished"

ENDED = frozenset({FINISHED, "failed", "cancelled", "unrunnable"})
"""States that a job doesn't leave."""
