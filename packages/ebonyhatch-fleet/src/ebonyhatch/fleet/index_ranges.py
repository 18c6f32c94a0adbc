"""Set of indexes that are mostly adjacent, held as ranges."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterator


class IndexRanges:
    """Indexes of a sequence; memory and iteration cost by the number of gaps between them."""

    __slots__ = ("_bounds", "_count")

    def __init__(self) -> None:
        self._bounds: list[int] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, index: int) -> bool:
        return bisect.bisect_right(self._bounds, index) % 2 == 1

    def __iter__(self) -> Iterator[int]:
        bounds = iter(self._bounds)
        return itertools.chain.from_iterable(map(range, bounds, bounds))

    def add(self, index: int) -> bool:
        """Adds an index; returns whether it was absent."""
        bounds = self._bounds
        place = bisect.bisect_right(bounds, index)
        if place % 2 == 1:
            return False
        self._count += 1
        extends = place > 0 and bounds[place - 1] == index
        precedes = place < len(bounds) and bounds[place] == index + 1
        if extends and precedes:
            del bounds[place - 1 : place + 1]
        elif extends:
            bounds[place - 1] = index + 1
        elif precedes:
            bounds[place] = index
        else:
            bounds[place:place] = [index, index + 1]
        return True

    def next_absent(self, index: int) -> int:
        """Returns the first absent index from the given one on."""
        place = bisect.bisect_right(self._bounds, index)
        return self._bounds[place] if place % 2 == 1 else index
