"""Amounts of what a worker holds: slots, connections, processors, memory, accelerators."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Resources(msgspec.Struct, frozen=True, kw_only=True):
    """An amount of every kind of capacity; a zero means none.

    Attributes:
        slots: Concurrent tasks or requests.
        connections: Open connections.
        cores: Processor cores.
        memory_gb: Memory in gigabytes.
        accelerators: Whole accelerators.
    """

    slots: int = 0
    connections: int = 0
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            slots=self.slots + other.slots,
            connections=self.connections + other.connections,
            cores=self.cores + other.cores,
            memory_gb=self.memory_gb + other.memory_gb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            slots=self.slots - other.slots,
            connections=self.connections - other.connections,
            cores=self.cores - other.cores,
            memory_gb=self.memory_gb - other.memory_gb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits(self, room: Resources) -> bool:
        """Tell whether this amount is within `room` in every kind."""
        return (
            self.slots <= room.slots
            and self.connections <= room.connections
            and self.cores <= room.cores
            and self.memory_gb <= room.memory_gb
            and self.accelerators <= room.accelerators
        )


NONE = Resources()


def largest(amounts: Iterable[Resources]) -> Resources:
    """Give the most of each kind over all amounts."""
    most = NONE
    for amount in amounts:
        most = Resources(
            slots=max(most.slots, amount.slots),
            connections=max(most.connections, amount.connections),
            cores=max(most.cores, amount.cores),
            memory_gb=max(most.memory_gb, amount.memory_gb),
            accelerators=max(most.accelerators, amount.accelerators),
        )
    return most
