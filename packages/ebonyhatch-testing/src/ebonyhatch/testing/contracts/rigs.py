"""What a contract needs to run against a twin or against a real adapter."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import Any

from ebonyhatch.testing import real_reactor
from twisted.internet import defer, task

STEP_S = 0.05
"""Pause between two looks at a condition."""

MAX_STEPS = 400
"""Looks after which a condition is given up."""


class Rig(abc.ABC):
    """Time, as the thing under test sees it."""

    @abc.abstractmethod
    def run(self, call: Callable[[], Any]) -> Any:
        """Call `call` and wait for its value or its Deferred."""

    @abc.abstractmethod
    def pause(self, seconds: float) -> None:
        """Let time pass."""

    def until(self, call: Callable[[], Any], condition: Callable[[Any], bool]) -> Any:
        """Repeat `call` until its value meets `condition`, and answer that value.

        Raises:
            TimeoutError: When it never does.
        """
        for _ in range(MAX_STEPS):
            value = self.run(call)
            if condition(value):
                return value
            self.pause(STEP_S)
        raise TimeoutError(f"the condition was never met; last seen: {value}")


class ClockRig(Rig):
    """Runs on a fake clock."""

    def __init__(self, *, clock: task.Clock) -> None:
        self._clock = clock

    def run(self, call: Callable[[], Any]) -> Any:
        """Call `call`, and move the clock on until its Deferred fires."""
        values: list[Any] = []
        defer.maybeDeferred(call).addBoth(values.append)
        for _ in range(MAX_STEPS):
            if values:
                return values[0]
            self._clock.advance(STEP_S)
        raise TimeoutError("the Deferred never fired")

    def pause(self, seconds: float) -> None:
        """Move the clock on."""
        self._clock.advance(seconds)


class ReactorRig(Rig):
    """Runs on the real reactor."""

    def run(self, call: Callable[[], Any]) -> Any:
        """Call `call` with the reactor running."""
        return real_reactor.run(call)

    def pause(self, seconds: float) -> None:
        """Wait."""
        real_reactor.run(lambda: task.deferLater(real_reactor.reactor, seconds))
