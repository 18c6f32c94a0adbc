"""What the tasks and requests of one worker hold, against its capacity."""

from __future__ import annotations

import collections
import functools
import operator

from ebonyhatch.core import resources

ROUNDING_DIGITS = 9
"""Decimal digits kept in sums of fractions, so that they meet a limit exactly."""

HISTORY_LENGTH = 4096
"""Past sums that are kept."""


class Holdings:
    """Amounts by holder; never more in all than the capacity."""

    def __init__(self, *, capacity: resources.Resources) -> None:
        self._capacity = capacity
        self._amounts: dict[str, resources.Resources] = {}
        self._highest = resources.NONE
        self._past: collections.deque[tuple[float, resources.Resources]] = collections.deque(
            maxlen=HISTORY_LENGTH
        )

    @property
    def capacity(self) -> resources.Resources:
        """The limit."""
        return self._capacity

    @property
    def highest(self) -> resources.Resources:
        """The highest sum ever, in each kind by itself."""
        return self._highest

    @property
    def total(self) -> resources.Resources:
        """The sum now."""
        return _rounded(functools.reduce(operator.add, self._amounts.values(), resources.NONE))

    def take(self, *, holder: str, amount: resources.Resources, now: float) -> bool:
        """Take an amount if it is within what is left."""
        total = _rounded(self.total + amount)
        if not (resources.NONE.fits(amount) and total.fits(self._capacity)):
            return False
        self._amounts[holder] = amount
        self._highest = _larger(self._highest, total)
        self._past.append((now, total))
        return True

    def free(self, *, holder: str, now: float) -> None:
        """Give back what a holder took."""
        if self._amounts.pop(holder, None) is not None:
            self._past.append((now, self.total))

    def total_at(self, *, then: float) -> resources.Resources:
        """The sum as it was at `then`."""
        older = [total for at, total in self._past if at <= then]
        return older[-1] if older else resources.NONE


def _rounded(amount: resources.Resources) -> resources.Resources:
    return resources.Resources(
        slots=amount.slots,
        connections=amount.connections,
        cores=round(amount.cores, ROUNDING_DIGITS),
        memory_gb=round(amount.memory_gb, ROUNDING_DIGITS),
        accelerators=amount.accelerators,
    )


def _larger(one: resources.Resources, other: resources.Resources) -> resources.Resources:
    return resources.Resources(
        slots=max(one.slots, other.slots),
        connections=max(one.connections, other.connections),
        cores=max(one.cores, other.cores),
        memory_gb=max(one.memory_gb, other.memory_gb),
        accelerators=max(one.accelerators, other.accelerators),
    )
