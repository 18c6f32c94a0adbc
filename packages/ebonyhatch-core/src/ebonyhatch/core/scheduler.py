"""Interface of a scheduler, which turns events into commands each tick."""

from __future__ import annotations

import abc
from collections.abc import Callable, Sequence

import msgspec
from ebonyhatch.core import commands, errors, events, views


class CapacitySummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Free capacity and queues of a cell; peers choose a cell by it.

    Attributes:
        free_slots: Slots that an urgent request could use immediately.
        total_slots: Slots of all workers that are neither leaving nor quarantined.
        queued_urgent: Number of urgent requests that wait.
        wait_s: Estimated waiting time of a new urgent request, seconds.
        queued_batch: Number of jobs that wait.
    """

    free_slots: int
    total_slots: int
    queued_urgent: int
    wait_s: float
    queued_batch: int


class Scheduler(abc.ABC):
    """Decides for the workers of one cell; single-threaded, without I/O or a clock."""

    @abc.abstractmethod
    def tick(self, *, now: float, events: Sequence[events.Event]) -> list[commands.Command]:
        """Applies events and returns the commands that follow.

        Called immediately when there are events, and at least every 100 ms otherwise.

        Args:
            now: Seconds on the scheduler's monotonic clock.
            events: Events since the last call, in order.

        Returns:
            Commands in the order in which they must be carried out.
        """

    @abc.abstractmethod
    def room(self, *, now: float) -> CapacitySummary:
        """Returns the free capacity and the queues of the cell."""

    @abc.abstractmethod
    def explain(self, *, subject_id: str) -> str:
        """Returns a sentence on why a job or request waits, or where it is; empty if unknown."""

    def view(self) -> views.View:
        """Returns workers, queues and reserve for operators; empty unless a policy overrides it."""
        return views.View()


class UnknownPolicyError(errors.EbonyhatchError):
    """No scheduler is registered under a name."""

    def __init__(self, *, name: str, known: Sequence[str]) -> None:
        super().__init__(
            problem=f"no scheduler policy is named {name!r}",
            remedy=f"choose one of {', '.join(known)}",
        )
        self.name = name
        self.known = tuple(known)


Factory = Callable[..., Scheduler]
_FACTORIES: dict[str, Factory] = {}


def policy(name: str) -> Callable[[Factory], Factory]:
    """Registers under `name` a factory that takes the keyword argument `seed: int`."""

    def register(factory: Factory) -> Factory:
        _FACTORIES[name] = factory
        return factory

    return register


def build(*, name: str, seed: int) -> Scheduler:
    """Builds the scheduler registered under `name`.

    Raises:
        UnknownPolicyError: No scheduler is registered under `name`.
    """
    if name not in _FACTORIES:
        raise UnknownPolicyError(name=name, known=sorted(_FACTORIES))
    return _FACTORIES[name](seed=seed)
