"""The real reactor, run for as long as a test waits for a Deferred."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task
from twisted.internet import reactor as _reactor

RUN_TIMEOUT_S = 30.0
"""Time after which a test is given up."""

CLOSING_TURNS = 5
"""Turns of the reactor in which closed connections come to their end."""

reactor: Any = _reactor
"""The reactor; between two runs it stands still, and nothing is served."""


def run(call: Callable[[], Any]) -> Any:
    """Call `call` with the reactor running, and wait for its value or its Deferred.

    Raises:
        TimeoutError: When it takes longer than `RUN_TIMEOUT_S`.
        RuntimeError: When the reactor runs already, so that this would never end.
    """
    if reactor.running:
        raise RuntimeError("the reactor runs already; add a callback to the Deferred instead")
    values: list[Any] = []
    failures: list[Any] = []

    def begin() -> None:
        waiting = defer.maybeDeferred(call).addTimeout(RUN_TIMEOUT_S, reactor)
        waiting.addCallbacks(values.append, failures.append)
        waiting.addBoth(lambda _: reactor.crash())

    reactor.callLater(0.0, begin)
    reactor.run(installSignalHandlers=False)
    if failures:
        failures[0].raiseException()
    return values[0]


def turn() -> None:
    """Let connections that were closed come to their end."""
    run(_turns)


@defer.inlineCallbacks
def _turns() -> Any:
    for _ in range(CLOSING_TURNS):
        yield task.deferLater(reactor, 0.0)


def clean() -> None:
    """Let connections end, and drop calls that are still due, as the next test expects."""
    turn()
    for due in reactor.getDelayedCalls():
        due.cancel()
