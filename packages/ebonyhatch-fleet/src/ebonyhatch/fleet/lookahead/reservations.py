"""Targets that are reserved for the tasks of one step, until they are used or given up."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, KeysView

from ebonyhatch.fleet import rows
from ebonyhatch.fleet.lookahead import forecast

MAX_AGE_S = 30.0
"""Longest time for which a target is reserved, seconds: the most by which a wrong forecast delays
other work on it. A tenth of a pool at most is reserved."""

OVERRUN_FACTOR = 2.0
"""Multiple of the forecast wait after which the forecast counts as wrong."""

OVERRUN_S = 1.0
"""Time added to that, seconds: half a poll and the start of a short task."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Reservation:
    """Capacity on one target for tasks of one step.

    Attributes:
        holder: Step for which it is made.
        target: Reserved target.
        born: Incarnation of the target.
        tasks: Number of tasks that are to be placed there.
        made_at: Time at which it was made, seconds.
        starts_at: Time before which other tasks have to end, seconds; it never moves to later.
        expires_at: Time at which it is given up, seconds.
        forecast_at: Time of the last forecast, seconds.
        spare: Capacity that remains beside the holder's tasks once they run.
    """

    holder: rows.StepRow
    target: rows.TargetRow
    born: int
    tasks: int
    made_at: float
    starts_at: float
    expires_at: float
    forecast_at: float = 0.0
    spare: forecast.Amounts = (0, 0, 0)


class Reservations:
    """Reservations by target; a target has one at most."""

    def __init__(self) -> None:
        self._by_target: dict[str, Reservation] = {}
        self._by_holder: dict[int, list[Reservation]] = {}
        self._open_until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._by_target)

    @property
    def target_ids(self) -> KeysView[str]:
        """Ids of the reserved targets."""
        return self._by_target.keys()

    def values(self) -> list[Reservation]:
        """Returns all reservations in the order in which they were made."""
        return list(self._by_target.values())

    def on(self, row: rows.TargetRow) -> Reservation | None:
        """Returns the reservation of a target, or None."""
        return self._by_target.get(row.target_id)

    def of(self, step: rows.StepRow) -> list[Reservation]:
        """Returns the reservations that a step holds."""
        return self._by_holder.get(id(step), [])

    def in_pool(self, pool: str) -> int:
        """Returns the number of reserved targets of a pool."""
        return sum(one.target.target.pool == pool for one in self._by_target.values())

    def holders(self) -> int:
        """Returns the number of steps that hold a reservation."""
        return len(self._by_holder)

    def may_reserve(self, row: rows.TargetRow, *, now: float) -> bool:
        """Returns whether a target is neither reserved nor open to all after one was given up."""
        target_id = row.target_id
        return target_id not in self._by_target and self._open_until.get(target_id, 0.0) <= now

    def add(self, reservation: Reservation) -> None:
        """Adds a reservation of a target without one."""
        self._by_target[reservation.target.target_id] = reservation
        self._by_holder.setdefault(id(reservation.holder), []).append(reservation)

    def remove(self, reservation: Reservation) -> None:
        """Removes a reservation, if it is in force."""
        if self._by_target.get(reservation.target.target_id) is not reservation:
            return
        del self._by_target[reservation.target.target_id]
        held = self._by_holder[id(reservation.holder)]
        held.remove(reservation)
        if not held:
            del self._by_holder[id(reservation.holder)]

    def give_up(self, given_up: Iterable[Reservation], *, now: float) -> None:
        """Removes reservations; their targets are open to all for as long as they were held."""
        self._open_until = {name: until for name, until in self._open_until.items() if until > now}
        for reservation in given_up:
            self.remove(reservation)
            self._open_until[reservation.target.target_id] = 2 * now - reservation.made_at


def expiry(*, made_at: float, starts_at: float) -> float:
    """Returns the time at which a reservation is given up, seconds."""
    return made_at + min(MAX_AGE_S, OVERRUN_FACTOR * (starts_at - made_at) + OVERRUN_S)
