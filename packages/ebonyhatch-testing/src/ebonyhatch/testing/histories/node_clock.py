"""The clock of one simulated process, which can be frozen, thawed and killed."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task


class _Timer:
    """A delayed call, which runs when it is due or, if the process is frozen, at its thaw."""

    def __init__(
        self, clock: NodeClock, base: task.Clock, delay_s: float, call: Callable[[], Any]
    ) -> None:
        self._clock = clock
        self._call = call
        self._active = True
        self._timer: Any = base.callLater(delay_s, clock.run, self._fire)

    def active(self) -> bool:
        """Returns whether the call is still pending."""
        return self._active

    def cancel(self) -> None:
        """Cancels the call."""
        self._active = False
        if self._timer.active():
            self._timer.cancel()

    def reset(self, seconds_from_now: float) -> None:
        """Postpones the call."""
        self._timer.reset(seconds_from_now)

    def _fire(self) -> None:
        if self._active:
            self._active = False
            self._call()


class NodeClock:
    """Schedules calls on the common clock and defers them while the process is frozen."""

    def __init__(self, *, base: task.Clock) -> None:
        self._base = base
        self._frozen = False
        self._dead = False
        self._deferred_calls: collections.deque[Callable[[], None]] = collections.deque()

    @property
    def frozen(self) -> bool:
        """Whether the process is frozen."""
        return self._frozen

    @property
    def dead(self) -> bool:
        """Whether the process has been killed."""
        return self._dead

    @property
    def running(self) -> bool:
        """Whether the process is neither frozen nor killed."""
        return not (self._frozen or self._dead)

    def seconds(self) -> float:
        """Returns the time, which advances also while the process is frozen."""
        return self._base.seconds()

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> Any:
        """Schedules a call after a delay; if the process is frozen then, at its thaw."""
        return _Timer(self, self._base, delay_s, lambda: call(*args, **kwargs))

    def run(self, call: Callable[[], None]) -> None:
        """Calls now, at the thaw if the process is frozen, and never once it is killed."""
        if self._dead:
            return
        if self._frozen:
            self._deferred_calls.append(call)
        else:
            call()

    def deliver(self, pending: defer.Deferred[Any]) -> defer.Deferred[Any]:
        """Returns a Deferred that fires with an outside result once the process runs."""
        outcome: defer.Deferred[Any] = defer.Deferred(lambda _: None)

        def fire(value: Any) -> None:
            if not outcome.called:
                outcome.callback(value)

        pending.addCallback(lambda value: self.run(lambda: fire(value)))
        return outcome

    def freeze(self) -> None:
        """Freezes the process, as SIGSTOP does."""
        self._frozen = True

    def thaw(self) -> None:
        """Resumes the process and runs the calls that were deferred meanwhile."""
        self._frozen = False
        while self._deferred_calls and self.running:
            self._deferred_calls.popleft()()

    def kill(self) -> None:
        """Kills the process and drops its deferred calls."""
        self._dead = True
        self._deferred_calls.clear()
