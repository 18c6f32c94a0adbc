"""Minimal HTTP relay on klein and treq: the baseline of the gateway bench."""

from __future__ import annotations

from typing import Any

import click
import klein
import treq
from twisted.internet import endpoints
from twisted.web import client, server

POOL_CONNECTIONS = 64


class Relay:
    """Forwards every request to one base URL and returns the response."""

    app = klein.Klein()

    def __init__(self, *, reactor: Any, target: str) -> None:
        self._target = target
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = POOL_CONNECTIONS
        self._http = treq.client.HTTPClient(client.Agent(reactor, pool=pool))  # type: ignore[arg-type]

    @app.route("/", branch=True, methods=["GET", "POST"])
    async def relay(self, request: server.Request) -> bytes:
        """Relays one request."""
        response = await self._http.request(
            request.method.decode(),
            self._target + request.uri.decode(),
            data=request.content.read() if request.content else b"",
        )
        request.setResponseCode(response.code)
        return await response.content()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--target", required=True, help="Base URL.")
def main(port: int, target: str) -> None:
    """Relay from a port of loopback to a base URL until SIGTERM."""
    from twisted.internet import reactor

    running_reactor: Any = reactor
    relay = Relay(reactor=running_reactor, target=target)
    endpoint = endpoints.TCP4ServerEndpoint(running_reactor, port, interface="127.0.0.1")
    endpoint.listen(server.Site(relay.app.resource()))
    running_reactor.run()


if __name__ == "__main__":
    main()
