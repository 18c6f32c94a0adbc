"""Server connections that can be made silent or be aborted."""

from __future__ import annotations

from typing import Any

from twisted.protocols import policies


class Connection(policies.ProtocolWrapper):
    """A connection that, once silent, neither reads nor writes nor closes."""

    silent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes received data on, unless silent."""
        if not self.silent:
            super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Sends data, unless silent."""
        if not self.silent:
            super().write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        """Sends data, unless silent."""
        if not self.silent:
            super().writeSequence(data)

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection, unless silent."""
        if not self.silent:
            super().loseConnection()


class ConnectionFactory(policies.WrappingFactory):
    """Wraps a site and keeps track of its open connections."""

    protocol = Connection
    noisy = False

    def silence(self, *, excluded: Any = None) -> None:
        """Makes all open connections silent for good, except `excluded`."""
        for connection in self.protocols:
            connection.silent = connection is not excluded

    def abort(self, *, excluded: Any = None) -> None:
        """Aborts all open connections, except `excluded`."""
        for connection in list(self.protocols):
            if connection is not excluded:
                connection.transport.abortConnection()
