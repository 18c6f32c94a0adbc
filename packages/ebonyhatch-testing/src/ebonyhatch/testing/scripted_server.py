"""A TCP server that answers requests with scripted bytes, which may be incomplete."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

REQUEST_ID = re.compile(rb"\r\nebonyhatch-request-id: ([^\r]*)\r\n", re.IGNORECASE)
"""Matches the header with the request's id."""

CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)\r\n", re.IGNORECASE)
"""Matches the header with the length of the request's body."""

Script = Callable[[int, bytes], bytes | None]


class _Scripted(protocol.Protocol):
    """Reads one request after the other and sends the bytes that the script returns."""

    def __init__(self, *, owner: ScriptedServer, number: int) -> None:
        self._owner = owner
        self._number = number
        self._pending = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answers each complete request."""
        self._pending += data
        head, found, rest = self._pending.partition(b"\r\n\r\n")
        if not found:
            return
        length = CONTENT_LENGTH.search(head + b"\r\n")
        size = int(length[1]) if length else 0
        if len(rest) < size:
            return
        self._pending = rest[size:]
        request = head + b"\r\n\r\n" + rest[:size]
        self._owner.requests.append(request)
        sent = self._owner.script(self._number, request)
        transport: Any = self.transport
        if sent is None:
            transport.pauseProducing()
            return
        transport.write(sent)
        if self._owner.closes:
            transport.loseConnection()


class ScriptedServer(protocol.Factory):
    """Serves on loopback; the script is called with the connection's number and the request.

    If the script returns None, the connection stays open and silent for good.
    """

    noisy = False

    def __init__(
        self, *, reactor: Any, script: Script, closes: bool = True, host: str = "127.0.0.1"
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port: Any = None
        self.script = script
        self.closes = closes
        self.requests: list[bytes] = []
        self.connections = 0

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._port.getHost().port

    def buildProtocol(self, addr: Any) -> _Scripted:  # noqa: N802
        """Serves a new connection."""
        self.connections += 1
        return _Scripted(owner=self, number=self.connections)

    def start(self) -> None:
        """Starts listening."""
        self._port = self._reactor.listenTCP(0, self, interface=self._host)

    def close(self) -> Any:
        """Stops listening."""
        return self._port.stopListening()


def answer(request: bytes, body: bytes, *, status: int = 200, headers: bytes = b"") -> bytes:
    """Builds a complete response that repeats the request's id."""
    found = REQUEST_ID.search(request)
    line = b"Ebonyhatch-Request-Id: " + found[1] + b"\r\n" if found else b""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d X\r\n" % status + line + length + headers + b"\r\n" + body
