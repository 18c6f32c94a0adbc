"""Metrics and health checks over HTTP, served in front of the administration API."""

from __future__ import annotations

from collections.abc import Callable

import klein
import msgspec
from twisted.internet import defer
from twisted.web import resource, server

HTTP_UNAVAILABLE = 503


class Readiness(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the entry can serve; if not, `lacks` names what is missing."""

    ready: bool
    lacks: tuple[str, ...] = ()


class Observation:
    """Serves `/metrics`, `/health/live` and `/health/ready`, all other paths by `fallback`.

    Attributes:
        app: The klein application.
    """

    app = klein.Klein()

    def __init__(
        self,
        *,
        metrics: Callable[[], defer.Deferred[bytes]],
        readiness: Callable[[], Readiness],
        fallback: resource.Resource,
    ) -> None:
        self._metrics = metrics
        self._readiness = readiness
        self._fallback = fallback

    @app.route("/metrics")
    def metrics(self, request: server.Request) -> defer.Deferred[bytes]:
        """Returns all metrics in the text format of Prometheus."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        return self._metrics()

    @app.route("/health/live")
    def live(self, request: server.Request) -> bytes:
        """Responds with 200 while the event loop runs."""
        return b"live\n"

    @app.route("/health/ready")
    def ready(self, request: server.Request) -> bytes:
        """Responds with 200 when the entry can serve, else with 503 and what it lacks."""
        readiness = self._readiness()
        if not readiness.ready:
            request.setResponseCode(HTTP_UNAVAILABLE)
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(readiness)

    @app.route("/", branch=True)  # type: ignore[type-var]
    def serve_fallback(self, request: server.Request) -> object:
        """Returns the resource that serves all other paths."""
        return self._fallback
