"""The contract of a scheduler: events in, commands out, each tick."""

from __future__ import annotations

import abc
from collections.abc import Callable, Sequence

import msgspec
from ebonyhatch.core import commands, errors, events, views


class CapacitySummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a cell could take now; peers choose by it.

    Attributes:
        free_slots: Slots that an urgent request could use at once.
        total_slots: Slots of all healthy workers.
        queued_urgent: Urgent requests waiting.
        wait_s: Estimated wait of a new urgent request, seconds.
        queued_batch: Jobs waiting.
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
        """Take in events and decide.

        Called at once when events are there and at least every 100 ms otherwise.

        Args:
            now: Seconds on the scheduler's monotonic clock.
            events: What happened since the last call, in order.

        Returns:
            Commands in the order in which they are to be carried out.
        """

    @abc.abstractmethod
    def room(self, *, now: float) -> CapacitySummary:
        """Summarize what the cell could take."""

    @abc.abstractmethod
    def explain(self, *, subject_id: str) -> str:
        """Say in a sentence why a job or request waits, or where it is; empty when unknown."""

    def view(self) -> views.View:
        """Show workers, queues and reserve to operators; empty where a policy shows nothing."""
        return views.View()


class UnknownPolicyError(errors.EbonyhatchError):
    """No scheduler is registered under a name."""

    def __init__(self, *, name: str, known: Sequence[str]) -> None:
        super().__init__(
            problem=f"no scheduler policy is called {name!r}",
            remedy=f"choose one of {', '.join(known)}",
        )
        self.name = name
        self.known = tuple(known)


Factory = Callable[..., Scheduler]
_FACTORIES: dict[str, Factory] = {}


def policy(name: str) -> Callable[[Factory], Factory]:
    """Register a factory that takes `seed: int` by keyword under `name`."""

    def register(factory: Factory) -> Factory:
        _FACTORIES[name] = factory
        return factory

    return register


def build(*, name: str, seed: int) -> Scheduler:
    """Build the scheduler registered under `name`.

    Raises:
        UnknownPolicyError: When there is none.
    """
    if name not in _FACTORIES:
        raise UnknownPolicyError(name=name, known=sorted(_FACTORIES))
    return _FACTORIES[name](seed=seed)
