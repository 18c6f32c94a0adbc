"""The real reactor, which runs only while a test waits for a Deferred."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task
from twisted.internet import reactor as _reactor

RUN_TIMEOUT_S = 30.0
"""Time after which a waiting test fails, seconds."""

CLOSING_TURNS = 5
"""Iterations of the reactor in which closed connections finish closing."""

reactor: Any = _reactor
"""The reactor; between two runs it is stopped, and nothing is served."""


def run(call: Callable[[], Any]) -> Any:
    """Calls `call` with the reactor running, and waits for its value or its Deferred.

    Raises:
        TimeoutError: If it takes longer than `RUN_TIMEOUT_S`.
        RuntimeError: If the reactor already runs, in which case the call would never end.
    """
    if reactor.running:
        raise RuntimeError("the reactor is already running; add a callback to the Deferred instead")
    values: list[Any] = []
    failures: list[Any] = []

    def start() -> None:
        waiting = defer.maybeDeferred(call).addTimeout(RUN_TIMEOUT_S, reactor)
        waiting.addCallbacks(values.append, failures.append)
        waiting.addBoth(lambda _: reactor.crash())

    reactor.callLater(0.0, start)
    reactor.run(installSignalHandlers=False)
    if failures:
        failures[0].raiseException()
    return values[0]


def turn() -> None:
    """Runs a few iterations of the reactor, in which closed connections finish closing."""
    run(_turns)


@defer.inlineCallbacks
def _turns() -> Any:
    for _ in range(CLOSING_TURNS):
        yield task.deferLater(reactor, 0.0)


def clean() -> None:
    """Lets connections close and cancels all pending calls, as the next test expects."""
    turn()
    for due in reactor.getDelayedCalls():
        due.cancel()
