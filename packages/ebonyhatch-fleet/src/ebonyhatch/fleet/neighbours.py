"""Entries to which an entry keeps connections open, whatever the number of entries.

Connections between all entries would grow with the square of their number, and cost each of them
processor time for pings although most have nothing to say to each other.
"""

from __future__ import annotations

from collections.abc import Iterable


def neighbours(name: str, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the entries at distances of 1, 2, 4 and so on in the circle of all names.

    What each entry passes on to its neighbours reaches all others in as many steps as there are
    neighbours.

    Args:
        name: Name of the entry.
        names: Names of all entries, with or without it.
    """
    circle = sorted({name, *names})
    position = circle.index(name)
    distances = (1 << bit for bit in range((len(circle) - 1).bit_length()))
    return tuple(circle[(position + distance) % len(circle)] for distance in distances)
