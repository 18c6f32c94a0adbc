"""Resources that the tasks and requests of one worker reserve out of its capacity."""

from __future__ import annotations

import collections
import functools
import operator

from ebonyhatch.core import resources

ROUNDING_DIGITS = 9
"""Decimal digits to which sums of fractions are rounded, so that they can equal a limit exactly."""

HISTORY_LENGTH = 4096
"""Maximum number of totals retained for `total_at`, the current one included."""


class Reservations:
    """Reserved amounts by holder; their total never exceeds the capacity."""

    def __init__(self, *, capacity: resources.Resources) -> None:
        self._capacity = capacity
        self._amounts: dict[str, resources.Resources] = {}
        self._highest = resources.NONE
        self._history: collections.deque[tuple[float, resources.Resources]] = collections.deque(
            maxlen=HISTORY_LENGTH
        )

    @property
    def capacity(self) -> resources.Resources:
        """The upper bound of the total."""
        return self._capacity

    @property
    def highest(self) -> resources.Resources:
        """The highest total so far, for each kind of resource separately."""
        return self._highest

    @property
    def total(self) -> resources.Resources:
        """The current total."""
        return _rounded(functools.reduce(operator.add, self._amounts.values(), resources.NONE))

    def reserve(self, *, holder: str, amount: resources.Resources, now: float) -> bool:
        """Reserves an amount if it fits the remaining capacity, and returns whether it did."""
        total = _rounded(self.total + amount)
        if not (resources.NONE.fits(amount) and total.fits(self._capacity)):
            return False
        self._amounts[holder] = amount
        self._highest = _elementwise_max(self._highest, total)
        self._history.append((now, total))
        return True

    def release(self, *, holder: str, now: float) -> None:
        """Releases the reservation of a holder, if there is one."""
        if self._amounts.pop(holder, None) is not None:
            self._history.append((now, self.total))

    def total_at(self, *, then: float) -> resources.Resources:
        """Returns the total as it was at the time `then`."""
        older = [total for at, total in self._history if at <= then]
        return older[-1] if older else resources.NONE


def _rounded(amount: resources.Resources) -> resources.Resources:
    return resources.Resources(
        slots=amount.slots,
        connections=amount.connections,
        cores=round(amount.cores, ROUNDING_DIGITS),
        memory_gb=round(amount.memory_gb, ROUNDING_DIGITS),
        accelerators=amount.accelerators,
    )


def _elementwise_max(one: resources.Resources, other: resources.Resources) -> resources.Resources:
    return resources.Resources(
        slots=max(one.slots, other.slots),
        connections=max(one.connections, other.connections),
        cores=max(one.cores, other.cores),
        memory_gb=max(one.memory_gb, other.memory_gb),
        accelerators=max(one.accelerators, other.accelerators),
    )
