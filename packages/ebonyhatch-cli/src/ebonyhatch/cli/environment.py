"""What a command works with: the entry, the token, the form of output, and the loop."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

import treq
from ebonyhatch.cli import cli_errors, entry_client, loop, pooled_http
from ebonyhatch.ports import timing


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
    run: Callable[[Coroutine[Any, Any, Any]], Any] = loop.run
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
        return pooled_http.PooledHttp(reactor=self.time())

    def time(self) -> timing.Clock:
        """Give the clock."""
        return loop.reactor() if self.clock is None else self.clock
