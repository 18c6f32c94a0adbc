"""The event loop of one command."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from ebonyhatch.cli import cli_errors, exit_codes
from twisted.internet import defer
from twisted.python import failure


class InterruptedRunError(cli_errors.CliError):
    """The run was ended from the keyboard."""

    exit_code = exit_codes.INTERRUPTED

    def __init__(self) -> None:
        super().__init__(problem="interrupted", remedy="run the command again")


def reactor() -> Any:
    """Give the reactor; importing it installs it, so that is left until it is needed."""
    from twisted.internet import reactor

    return reactor


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run the reactor until a coroutine has ended, once in a process.

    Returns:
        Its value.

    Raises:
        InterruptedRunError: When the run was ended before; else whatever the coroutine raises.
    """
    ended: list[Any] = []

    def start() -> None:
        running = defer.Deferred.fromCoroutine(coroutine)
        running.addBoth(ended.append)
        running.addBoth(lambda _: reactor().stop())

    reactor().callWhenRunning(start)
    reactor().run()
    if not ended:
        raise InterruptedRunError
    if isinstance(ended[0], failure.Failure):
        ended[0].raiseException()
    return ended[0]
