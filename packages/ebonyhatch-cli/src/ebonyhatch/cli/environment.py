"""Context of a command: entry address, token, output format and event loop."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

import treq
from ebonyhatch.cli import cli_errors, entry_client, loop, pooled_http
from ebonyhatch.ports import timing


@dataclasses.dataclass(slots=True, kw_only=True)
class Environment:
    """Context that a command runs in.

    Attributes:
        http: The module `treq`, or a replacement with the same functions.
        clock: Clock that timers use; None for the reactor.
        run: Runs a coroutine until it completes.
        entry: Address of the entry.
        token: Operator's token.
        as_json: Whether the output is JSON.
    """

    http: Any = treq
    clock: timing.Clock | None = None
    run: Callable[[Coroutine[Any, Any, Any]], Any] = loop.run
    entry: str = ""
    token: str = ""
    as_json: bool = False

    def create_client(self) -> entry_client.EntryClient:
        """Returns a client of the entry.

        Raises:
            cli_errors.NoEntryError: When no address was given.
        """
        if not self.entry:
            raise cli_errors.NoEntryError
        return entry_client.EntryClient(base_url=self.entry, token=self.token, http=self.http)

    def create_load_client(self) -> Any:
        """Returns an HTTP client that keeps many connections open, or `http` if it was replaced."""
        if self.http is not treq:
            return self.http
        return pooled_http.PooledHttp(reactor=self.get_clock())

    def get_clock(self) -> timing.Clock:
        """Returns the clock, which is the reactor by default."""
        return loop.reactor() if self.clock is None else self.clock
