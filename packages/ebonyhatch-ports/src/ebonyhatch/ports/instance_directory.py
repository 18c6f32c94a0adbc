"""In-memory state of an instance list, with its history."""

from __future__ import annotations

import msgspec
from ebonyhatch.ports import instances, timing

HISTORY_LENGTH = 256
"""Past lists that are retained."""


class InstanceDirectory:
    """The current instances, and the list of them as it was `lag_s` seconds ago."""

    def __init__(self, *, clock: timing.Clock, lag_s: float = 0.0) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._rows: dict[str, instances.Instance] = {}
        self._history: list[tuple[float, tuple[instances.Instance, ...]]] = []

    def put(self, instance: instances.Instance) -> None:
        """Adds an instance or replaces the one with the same id."""
        self._rows[instance.instance_id] = instance
        self._record()

    def leave(self, *, instance_id: str) -> None:
        """Marks an instance as leaving."""
        row = self._rows[instance_id]
        self.put(msgspec.structs.replace(row, state=instances.InstanceState.LEAVING))

    def remove(self, *, instance_id: str) -> None:
        """Removes an instance from the list."""
        self._rows.pop(instance_id, None)
        self._record()

    def list(self, *, age_s: float = 0.0) -> instances.InstanceList:
        """Returns the list as it was `lag_s + age_s` seconds ago; empty if that is not retained."""
        age = self._lag_s + max(age_s, 0.0)
        if age <= 0:
            return instances.InstanceList(instances=tuple(self._rows.values()), age_s=0.0)
        then = self._clock.seconds() - age
        older = [rows for at, rows in self._history if at <= then]
        return instances.InstanceList(instances=older[-1] if older else (), age_s=age)

    def _record(self) -> None:
        self._history.append((self._clock.seconds(), tuple(self._rows.values())))
        del self._history[:-HISTORY_LENGTH]
