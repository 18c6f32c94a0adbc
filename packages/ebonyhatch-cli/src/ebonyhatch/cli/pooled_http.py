"""An HTTP client that keeps many connections open, for generating load."""

from __future__ import annotations

from typing import Any

import treq
from treq import client as treq_client
from twisted.web import client

MAX_PERSISTENT_CONNECTIONS = 256
"""Maximum number of idle connections that are kept open per host."""


class PooledHttp:
    """The functions of the module `treq` that commands use, with a separate connection pool."""

    def __init__(self, *, reactor: Any) -> None:
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_PERSISTENT_CONNECTIONS
        agent: Any = client.Agent(reactor, pool=pool)
        self._client = treq_client.HTTPClient(agent)

    def request(self, method: str, url: str, **options: Any) -> Any:
        """Sends a request."""
        return self._client.request(method, url, **options)

    def content(self, response: Any) -> Any:
        """Reads the complete body of a response."""
        return treq.content(response)
