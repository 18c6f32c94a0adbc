"""HTTP exchanges with a site in memory, at the level of raw bytes."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from ebonyhatch.node import http_server
from twisted.internet import task, testing
from twisted.web import resource

BODY_LIMIT_BYTES = 1_000_000


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, object]:
        """Decodes the body."""
        return msgspec.json.decode(self.body, type=dict[str, object])


class Call:
    """A request on a separate connection."""

    def __init__(self, *, transport: testing.StringTransport) -> None:
        self._transport = transport

    @property
    def answered(self) -> bool:
        """Whether the whole response has arrived."""
        return self._transport.disconnecting

    @property
    def answer(self) -> Response:
        """The response."""
        head, _, body = self._transport.value().partition(b"\r\n\r\n")
        status, *lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        return Response(status=int(status.split()[1]), headers=headers, body=body)


class Exchange:
    """Sends requests to a site and reads its responses, without sockets.

    Args:
        root: The resource that is called.
        clock: Drives the timeouts of connections.
        body_limit_bytes: Maximum size of a body.
    """

    def __init__(
        self,
        *,
        root: resource.IResource,
        clock: task.Clock,
        body_limit_bytes: int = BODY_LIMIT_BYTES,
    ) -> None:
        self._site = http_server.bounded_site(root=root, body_limit_bytes=body_limit_bytes)
        self._site.reactor = clock  # type: ignore[assignment]

    def send(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
    ) -> Call:
        """Sends a request, as HTTP/1.0 so that responses are not chunked."""
        lines = [f"{method} {path} HTTP/1.0", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        return self.send_raw("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    def send_raw(self, raw: bytes) -> Call:
        """Sends raw bytes on a new connection."""
        transport = testing.StringTransport()
        channel = self._site.buildProtocol(None)
        channel.makeConnection(transport)
        channel.dataReceived(raw)
        return Call(transport=transport)
