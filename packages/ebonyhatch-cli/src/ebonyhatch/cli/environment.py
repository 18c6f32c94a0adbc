"""What commands work with: the entry, the token, the form of output, and the loop."""

from __future__ import annotations

import dataclasses
import os
import pathlib
from collections.abc import Callable, Coroutine
from typing import Any

import treq
import treq.client as treq_client
from ebonyhatch.cli import cli_errors, entry_client
from ebonyhatch.platform import timing
from twisted.internet import defer
from twisted.python import failure
from twisted.web import client as web_client

LOAD_CONNECTIONS = 256
"""Connections that a load keeps open."""

TOKEN_VARIABLE = "EBONYHATCH_TOKEN"


class InterruptedRunError(cli_errors.CliError):
    """The run was ended from the keyboard."""

    exit_code = 130

    def __init__(self) -> None:
        super().__init__(problem="interrupted", remedy="run the command again")


class PooledHttp:
    """The part of `treq` that commands use, over a pool of its own."""

    def __init__(self, *, pool: web_client.HTTPConnectionPool, reactor: Any) -> None:
        agent: Any = web_client.Agent(reactor, pool=pool)
        self._client = treq_client.HTTPClient(agent)

    def request(self, method: str, url: str, **options: Any) -> Any:
        """Send a request."""
        return self._client.request(method, url, **options)

    def content(self, response: Any) -> Any:
        """Read the whole body of an answer."""
        return treq.content(response)


@dataclasses.dataclass(slots=True, kw_only=True)
class Environment:
    """What a command works with.

    Attributes:
        http: The module `treq`, or what stands in for it.
        clock: Tells time; None for the reactor.
        run: Runs a coroutine to its end.
        entry: Address of the entry.
        token: Operator's token.
        as_json: Whether output is JSON.
    """

    http: Any = treq
    clock: timing.Clock | None = None
    run: Callable[[Coroutine[Any, Any, Any]], Any] = dataclasses.field(
        default=lambda coroutine: run_on_reactor(coroutine)
    )
    entry: str = ""
    token: str = ""
    as_json: bool = False

    def client(self) -> entry_client.EntryClient:
        """Build a client of the entry.

        Raises:
            cli_errors.NoEntryError: When none was named.
        """
        if not self.entry:
            raise cli_errors.NoEntryError
        return entry_client.EntryClient(base_url=self.entry, token=self.token, http=self.http)

    def http_for_load(self) -> Any:
        """Build an HTTP client that keeps many connections, unless another stands in."""
        if self.http is not treq:
            return self.http
        pool = web_client.HTTPConnectionPool(self.time(), persistent=True)
        pool.maxPersistentPerHost = LOAD_CONNECTIONS
        return PooledHttp(pool=pool, reactor=self.time())

    def time(self) -> timing.Clock:
        """Give the clock."""
        return _reactor() if self.clock is None else self.clock


def run_on_reactor(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run the reactor until a coroutine has ended, and give its value or raise its error."""
    reactor = _reactor()
    ended: list[Any] = []

    def start() -> None:
        running = defer.Deferred.fromCoroutine(coroutine)
        running.addBoth(ended.append)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if not ended:
        raise InterruptedRunError
    if isinstance(ended[0], failure.Failure):
        ended[0].raiseException()
    return ended[0]


def read_token(path: pathlib.Path) -> str:
    """Read a token from a file of one line.

    Raises:
        cli_errors.FileError: When there is none.
    """
    remedy = "write the token that `ebonyhatch keys new` printed into it"
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as reason:
        raise cli_errors.FileError(path=str(path), reason=str(reason), remedy=remedy) from reason
    if not token or len(token.split()) != 1:
        raise cli_errors.FileError(path=str(path), reason="holds no single token", remedy=remedy)
    return token


def token_of_variable() -> str:
    """Read the token from the environment; empty if there is none."""
    return os.environ.get(TOKEN_VARIABLE, "").strip()


def _reactor() -> Any:
    from twisted.internet import reactor

    return reactor
