"""Index of workers by preference and by free slots; each change takes constant time."""

from __future__ import annotations

from collections.abc import Iterator

from ebonyhatch.core import rows


class WorkerIndex:
    """Workers with free slots, grouped by level (lower is better) and free slots."""

    __slots__ = ("_buckets", "_keys", "_order", "_most_free_first")

    def __init__(self, *, most_free_first: bool) -> None:
        self._buckets: dict[tuple[int, int], dict[str, rows.Worker]] = {}
        self._keys: dict[str, tuple[int, int]] = {}
        self._order: list[tuple[int, int]] = []
        self._most_free_first = most_free_first

    def __len__(self) -> int:
        return len(self._keys)

    def put(self, worker: rows.Worker, *, level: int) -> None:
        """Adds a worker, or moves it to the place of its level and free slots."""
        key = (level, -worker.free_slots if self._most_free_first else worker.free_slots)
        previous_key = self._keys.get(worker.worker_id)
        if previous_key == key:
            return
        if previous_key is not None:
            del self._buckets[previous_key][worker.worker_id]
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = {}
            self._order = sorted(self._buckets)
        bucket[worker.worker_id] = worker
        self._keys[worker.worker_id] = key

    def remove(self, worker: rows.Worker) -> None:
        """Removes a worker, if it is in the index."""
        key = self._keys.pop(worker.worker_id, None)
        if key is not None:
            del self._buckets[key][worker.worker_id]

    def has_level(self, *, level: int) -> bool:
        """Returns whether any worker is at a level."""
        return any(self._buckets[key] for key in self._order if key[0] == level)

    def by_preference(self) -> Iterator[rows.Worker]:
        """Iterates over the workers, most preferred first.

        The index must not change during the iteration.
        """
        for key in self._order:
            bucket = self._buckets[key]
            if bucket:
                yield from bucket.values()
