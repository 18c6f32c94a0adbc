"""Queue of latency-critical requests: by priority of the class, then by deadline."""

from __future__ import annotations

import heapq

from ebonyhatch.core import rows


class UrgentQueue:
    """Requests that wait for a worker.

    A request that is no longer queued stays in the heap and is skipped when it reaches the head.
    """

    __slots__ = ("_heap", "_sequence", "_size")

    def __init__(self) -> None:
        self._heap: list[tuple[int, float, int, rows.Request]] = []
        self._sequence = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, row: rows.Request) -> None:
        """Queues a request."""
        self._sequence += 1
        entry = (-row.priority, row.request.deadline_at, self._sequence, row)
        heapq.heappush(self._heap, entry)
        self._size += 1

    def discard(self) -> None:
        """Reduces the size by one request that left the queue without being popped."""
        self._size -= 1

    def head(self) -> rows.Request | None:
        """Returns the next request, or None; it stays queued."""
        while self._heap and self._heap[0][3].state is not rows.RequestState.QUEUED:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def pop(self) -> rows.Request | None:
        """Removes and returns the next request, or None."""
        while self._heap:
            row = heapq.heappop(self._heap)[3]
            if row.state is rows.RequestState.QUEUED:
                self._size -= 1
                return row
        return None
