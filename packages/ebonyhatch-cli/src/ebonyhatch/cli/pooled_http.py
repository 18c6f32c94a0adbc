"""An HTTP client that keeps many connections open, for loads."""

from __future__ import annotations

from typing import Any

import treq
from treq import client as treq_client
from twisted.web import client

CONNECTIONS = 256
"""Connections that are kept open."""


class PooledHttp:
    """The part of the module `treq` that commands use, over a pool of its own."""

    def __init__(self, *, reactor: Any) -> None:
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS
        agent: Any = client.Agent(reactor, pool=pool)
        self._client = treq_client.HTTPClient(agent)

    def request(self, method: str, url: str, **options: Any) -> Any:
        """Send a request."""
        return self._client.request(method, url, **options)

    def content(self, response: Any) -> Any:
        """Read the whole body of an answer."""
        return treq.content(response)
