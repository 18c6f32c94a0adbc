"""Metrics and health over HTTP, in front of the administration API."""

from __future__ import annotations

from collections.abc import Callable

import klein
import msgspec
from twisted.internet import defer
from twisted.web import resource, server

HTTP_UNAVAILABLE = 503


class Readiness(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the entry can serve, and what it lacks."""

    ready: bool
    lacks: tuple[str, ...] = ()


class Observation:
    """Serves `/metrics`, `/health/live` and `/health/ready`; the rest goes to `rest`.

    Attributes:
        app: The klein application.
    """

    app = klein.Klein()

    def __init__(
        self,
        *,
        metrics: Callable[[], defer.Deferred[bytes]],
        readiness: Callable[[], Readiness],
        rest: resource.Resource,
    ) -> None:
        self._metrics = metrics
        self._readiness = readiness
        self._rest = rest

    @app.route("/metrics")
    def metrics(self, request: server.Request) -> defer.Deferred[bytes]:
        """Serve all metrics in the text format of Prometheus."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        return self._metrics()

    @app.route("/health/live")
    def live(self, request: server.Request) -> bytes:
        """Answer 200 while the loop turns."""
        return b"live\n"

    @app.route("/health/ready")
    def ready(self, request: server.Request) -> bytes:
        """Answer 200 when the entry can serve, else 503 with what it lacks."""
        readiness = self._readiness()
        if not readiness.ready:
            request.setResponseCode(HTTP_UNAVAILABLE)
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(readiness)

    @app.route("/", branch=True)  # type: ignore[type-var]
    def others(self, request: server.Request) -> object:
        """Hand everything else on."""
        return self._rest
