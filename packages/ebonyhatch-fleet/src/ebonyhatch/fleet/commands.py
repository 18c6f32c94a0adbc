"""Typed commands that the scheduler gives to its owner."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.fleet import rows, targets


class StartRun(msgspec.Struct, frozen=True, kw_only=True):
    """Order a run."""

    run: rows.RunRow


class StopRun(msgspec.Struct, frozen=True, kw_only=True):
    """Stop a run; it may be one that the tables don't hold."""

    target: rows.TargetRow
    key: targets.RunKey
    reason: str


class PaceRun(msgspec.Struct, frozen=True, kw_only=True):
    """Let a run work at a share of its speed, percent."""

    run: rows.RunRow
    percent: int


Command = StartRun | StopRun | PaceRun

Emit = Callable[[Command], None]
"""Takes a command; commands are carried out in the order in which they are taken."""

Decide = Callable[..., None]
"""Logs a decision: its kind, the run that it is about or None, and further fields."""
