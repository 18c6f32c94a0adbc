"""Long work on the loop, divided so that leases are renewed and calls are answered meanwhile."""

from __future__ import annotations

from ebonyhatch.node import coroutines

ITEMS_PER_TURN = 25
"""Number of jobs or reports that are applied in one turn of the loop."""

BYTES_PER_TURN = 64_000
"""Size of the records that are applied in one turn of the loop, bytes: about a thousand steps."""


class Turns:
    """Counts the work of a coroutine, and lets the loop go on after each part of it."""

    def __init__(self, *, group: coroutines.CoroutineGroup) -> None:
        self._group = group
        self._items = 0
        self._bytes = 0

    async def note(self, *, size_bytes: int = 0) -> None:
        """Counts an item that was applied; waits for the next turn if the present one is used up."""
        self._items += 1
        self._bytes += size_bytes
        if self._items >= ITEMS_PER_TURN or self._bytes >= BYTES_PER_TURN:
            self._items = self._bytes = 0
            await self._group.sleep(0.0)
