"""Server connections that can be made silent or be aborted."""

from __future__ import annotations

from typing import Any

from twisted.protocols import policies


class Connection(policies.ProtocolWrapper):
    """A connection that, once silent, neither reads nor writes nor closes."""

    silent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what arrives, unless silent."""
        if not self.silent:
            super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Send, unless silent."""
        if not self.silent:
            super().write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        """Send, unless silent."""
        if not self.silent:
            super().writeSequence(data)

    def loseConnection(self) -> None:  # noqa: N802
        """Close, unless silent."""
        if not self.silent:
            super().loseConnection()


class ConnectionFactory(policies.WrappingFactory):
    """Wraps a site and knows its open connections."""

    protocol = Connection
    noisy = False

    def silence(self, *, excluded: Any = None) -> None:
        """Make every connection that is open now silent for good, but one."""
        for connection in self.protocols:
            connection.silent = connection is not excluded

    def abort(self, *, excluded: Any = None) -> None:
        """Abort every open connection but one."""
        for connection in list(self.protocols):
            if connection is not excluded:
                connection.transport.abortConnection()
