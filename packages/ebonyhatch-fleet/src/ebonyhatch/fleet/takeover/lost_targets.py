"""Targets that reported to an owner in its term and then stopped to answer."""

from __future__ import annotations

from collections.abc import Container

from ebonyhatch.fleet import clocks, rows

LISTED_DELAY_S = 2.0
"""Time without an answer from which a target that is still listed counts as lost, seconds. A target
that is back sooner needs no write of the journal before its lease is renewed."""


class LostTargets:
    """Remembers since when targets don't answer."""

    def __init__(self, *, all_clocks: clocks.Clocks) -> None:
        self._clocks = all_clocks
        self._since: dict[str, float] = {}
        self._rows: dict[str, rows.TargetRow] = {}

    def note(self, row: rows.TargetRow) -> None:
        """Notes whether a target answers."""
        if row.reachable:
            self._since.pop(row.target_id, None)
            self._rows.pop(row.target_id, None)
        else:
            self._since.setdefault(row.target_id, self._clocks.now())
            self._rows[row.target_id] = row

    def retain(self, present: Container[str]) -> None:
        """Forgets the targets that the owner has no session with any more."""
        for name in [name for name in self._since if name not in present]:
            del self._since[name], self._rows[name]

    def lost(self, *, at_once: bool = False) -> list[str]:
        """Returns the targets that are lost: unlisted, or without an answer for a while.

        Args:
            at_once: Whether listed ones count from the first unanswered polls on.
        """
        now = self._clocks.now()
        return [
            name
            for name, since in self._since.items()
            if at_once or not self._rows[name].listed or now - since >= LISTED_DELAY_S
        ]
