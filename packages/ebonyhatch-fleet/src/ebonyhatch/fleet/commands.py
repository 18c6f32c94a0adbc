"""Commands that the scheduler returns to its owner."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from ebonyhatch.fleet import rows, targets


class StartRun(msgspec.Struct, frozen=True, kw_only=True):
    """Orders a run."""

    run: rows.RunRow


class StopRun(msgspec.Struct, frozen=True, kw_only=True):
    """Stops a run, which may be one that isn't in the tables."""

    target: rows.TargetRow
    key: targets.RunKey
    reason: str


class PaceRun(msgspec.Struct, frozen=True, kw_only=True):
    """Limits a run to a part of its full speed, percent."""

    run: rows.RunRow
    percent: int


Command = StartRun | StopRun | PaceRun

Emit = Callable[[Command], None]
"""Receives a command; commands are carried out in the order in which they are received."""

Decide = Callable[..., None]
"""Logs a decision: its event name, the run that it concerns or None, and further fields."""
