"""The clock of one process in a run: it can be frozen, thawed and killed."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task


class _Timer:
    """A call that is due later, or when the process goes on."""

    def __init__(
        self, clock: NodeClock, base: task.Clock, delay_s: float, call: Callable[[], Any]
    ) -> None:
        self._clock = clock
        self._call = call
        self._active = True
        self._timer: Any = base.callLater(delay_s, clock.run, self._fire)

    def active(self) -> bool:
        """Tell whether it is still due."""
        return self._active

    def cancel(self) -> None:
        """Take it back."""
        self._active = False
        if self._timer.active():
            self._timer.cancel()

    def reset(self, seconds_from_now: float) -> None:
        """Make it due later."""
        self._timer.reset(seconds_from_now)

    def _fire(self) -> None:
        if self._active:
            self._active = False
            self._call()


class NodeClock:
    """Passes calls on to the common clock; holds them while the process is frozen."""

    def __init__(self, *, base: task.Clock) -> None:
        self._base = base
        self._frozen = False
        self._dead = False
        self._deferred_calls: collections.deque[Callable[[], None]] = collections.deque()

    @property
    def frozen(self) -> bool:
        """Whether the process is stopped for now."""
        return self._frozen

    @property
    def dead(self) -> bool:
        """Whether the process has ended."""
        return self._dead

    @property
    def running(self) -> bool:
        """Whether the process acts."""
        return not (self._frozen or self._dead)

    def seconds(self) -> float:
        """Tell the time, which goes on while the process is frozen."""
        return self._base.seconds()

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> Any:
        """Call later, or when the process goes on."""
        return _Timer(self, self._base, delay_s, lambda: call(*args, **kwargs))

    def run(self, call: Callable[[], None]) -> None:
        """Call now, or when the process goes on; never once it is dead."""
        if self._dead:
            return
        if self._frozen:
            self._deferred_calls.append(call)
        else:
            call()

    def deliver(self, answer: defer.Deferred[Any]) -> defer.Deferred[Any]:
        """Give an answer from outside to the process, when it can take it."""
        outcome: defer.Deferred[Any] = defer.Deferred(lambda _: None)

        def fire(value: Any) -> None:
            if not outcome.called:
                outcome.callback(value)

        answer.addCallback(lambda value: self.run(lambda: fire(value)))
        return outcome

    def freeze(self) -> None:
        """Stop the process."""
        self._frozen = True

    def thaw(self) -> None:
        """Let the process go on, with all that arrived meanwhile."""
        self._frozen = False
        while self._deferred_calls and self.running:
            self._deferred_calls.popleft()()

    def kill(self) -> None:
        """End the process."""
        self._dead = True
        self._deferred_calls.clear()
