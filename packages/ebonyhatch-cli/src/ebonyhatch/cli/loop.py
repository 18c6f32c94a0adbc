"""Event loop that runs one command."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from ebonyhatch.cli import cli_errors, exit_codes
from twisted.internet import defer
from twisted.python import failure


class InterruptedRunError(cli_errors.CliError):
    """The command was interrupted from the keyboard."""

    exit_code = exit_codes.INTERRUPTED

    def __init__(self) -> None:
        super().__init__(problem="interrupted", remedy="run the command again")


def reactor() -> Any:
    """Returns the reactor; importing it installs it, so the import is deferred until here."""
    from twisted.internet import reactor

    return reactor


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs the reactor until a coroutine has completed; can be called once per process.

    Returns:
        The value that the coroutine returned.

    Raises:
        InterruptedRunError: When the reactor stopped before the coroutine completed; otherwise
            whatever the coroutine raises.
    """
    results: list[Any] = []

    def start() -> None:
        deferred = defer.Deferred.fromCoroutine(coroutine)
        deferred.addBoth(results.append)
        deferred.addBoth(lambda _: reactor().stop())

    reactor().callWhenRunning(start)
    reactor().run()
    if not results:
        raise InterruptedRunError
    if isinstance(results[0], failure.Failure):
        results[0].raiseException()
    return results[0]
