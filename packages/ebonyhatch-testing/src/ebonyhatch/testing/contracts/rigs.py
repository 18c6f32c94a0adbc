"""Drivers that run a contract against an in-memory twin or a real adapter."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import Any

from ebonyhatch.testing import real_reactor
from twisted.internet import defer, task

STEP_S = 0.05
"""Pause between two polls of a condition, seconds."""

MAX_STEPS = 400
"""Maximum number of polls of a condition."""


class Rig(abc.ABC):
    """The time source and call driver of the adapter under test."""

    @abc.abstractmethod
    def run(self, call: Callable[[], Any]) -> Any:
        """Calls `call` and waits for its value or its Deferred."""

    @abc.abstractmethod
    def pause(self, seconds: float) -> None:
        """Waits for a time."""

    def until(self, call: Callable[[], Any], condition: Callable[[Any], bool]) -> Any:
        """Repeats `call` until its value meets `condition`, and returns that value.

        Raises:
            TimeoutError: If no value meets it within `MAX_STEPS` polls.
        """
        for _ in range(MAX_STEPS):
            value = self.run(call)
            if condition(value):
                return value
            self.pause(STEP_S)
        raise TimeoutError(f"the condition was not met; last value: {value}")


class ClockRig(Rig):
    """Runs on a fake clock."""

    def __init__(self, *, clock: task.Clock) -> None:
        self._clock = clock

    def run(self, call: Callable[[], Any]) -> Any:
        """Calls `call` and advances the clock until its Deferred fires."""
        values: list[Any] = []
        defer.maybeDeferred(call).addBoth(values.append)
        for _ in range(MAX_STEPS):
            if values:
                return values[0]
            self._clock.advance(STEP_S)
        raise TimeoutError("the Deferred did not fire")

    def pause(self, seconds: float) -> None:
        """Advances the clock."""
        self._clock.advance(seconds)


class ReactorRig(Rig):
    """Runs on the real reactor."""

    def run(self, call: Callable[[], Any]) -> Any:
        """Calls `call` with the reactor running."""
        return real_reactor.run(call)

    def pause(self, seconds: float) -> None:
        """Waits with the reactor running."""
        real_reactor.run(lambda: task.deferLater(real_reactor.reactor, seconds))
