"""Amounts of worker resources: slots, connections, processor cores, memory and accelerators."""

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

    def fits(self, capacity: Resources) -> bool:
        """Returns whether this amount is within `capacity` in each kind."""
        return (
            self.slots <= capacity.slots
            and self.connections <= capacity.connections
            and self.cores <= capacity.cores
            and self.memory_gb <= capacity.memory_gb
            and self.accelerators <= capacity.accelerators
        )


NONE = Resources()


def largest(amounts: Iterable[Resources]) -> Resources:
    """Returns the elementwise maximum: for each kind, the largest value over all amounts."""
    maximum = NONE
    for amount in amounts:
        maximum = Resources(
            slots=max(maximum.slots, amount.slots),
            connections=max(maximum.connections, amount.connections),
            cores=max(maximum.cores, amount.cores),
            memory_gb=max(maximum.memory_gb, amount.memory_gb),
            accelerators=max(maximum.accelerators, amount.accelerators),
        )
    return maximum
