"""HTTP listening with bounded bodies that stay in memory."""

from __future__ import annotations

import io

from twisted.web import resource, server

ABORT_FACTOR = 4
"""A body this many times over its limit ends the connection."""


class BoundedRequest(server.Request):
    """A request whose body is kept in memory up to a limit and dropped beyond it.

    The base class writes large bodies to temporary files, and instances keep no disk.
    """

    body_limit_bytes = 1_000_000
    body_overflowed = False
    content: io.BytesIO
    _received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare for a body of `length` bytes, or of an unknown length."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a chunk while the body is within its limit."""
        self._received_bytes += len(data)
        if self._received_bytes <= self.body_limit_bytes:
            self.content.write(data)
            return
        self.body_overflowed = True
        if self._received_bytes > ABORT_FACTOR * self.body_limit_bytes:
            self.channel.forceAbortClient()


def bounded_site(*, root: resource.Resource, body_limit_bytes: int) -> server.Site:
    """Build a site whose requests hold at most `body_limit_bytes` of body.

    Args:
        root: The resource that answers.
        body_limit_bytes: Largest body; a larger one sets `body_overflowed` on its request.

    Returns:
        A factory to listen with.
    """

    class Request(BoundedRequest):
        pass

    Request.body_limit_bytes = body_limit_bytes
    return server.Site(root, requestFactory=Request, parsePOSTFormSubmission=False)
