"""HTTP server sites whose request bodies are bounded and stay in memory."""

from __future__ import annotations

import io

from twisted.web import resource, server

ABORT_FACTOR = 4
"""Multiple of the body limit beyond which the connection is aborted."""


class BoundedRequest(server.Request):
    """A request whose body is held in memory up to a limit; the rest is discarded.

    The base class writes large bodies to temporary files, but instances have no durable disk.
    """

    body_limit_bytes = 1_000_000
    body_overflowed = False
    content: io.BytesIO
    _received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepares for a body of `length` bytes, or of unknown length if None."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Stores a chunk if the body is still within its limit."""
        self._received_bytes += len(data)
        if self._received_bytes <= self.body_limit_bytes:
            self.content.write(data)
            return
        self.body_overflowed = True
        if self._received_bytes > ABORT_FACTOR * self.body_limit_bytes:
            self.channel.forceAbortClient()


def bounded_site(*, root: resource.Resource, body_limit_bytes: int) -> server.Site:
    """Returns a site whose requests hold at most `body_limit_bytes` of body.

    Args:
        root: Root resource of the site.
        body_limit_bytes: Maximum size of a body, bytes; a larger one sets `body_overflowed` on its
            request.

    Returns:
        A protocol factory for a listening port.
    """

    class Request(BoundedRequest):
        pass

    Request.body_limit_bytes = body_limit_bytes
    return server.Site(root, requestFactory=Request, parsePOSTFormSubmission=False)
