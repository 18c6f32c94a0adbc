"""Stand-in for the key-value service: `python -m ebonyhatch.testing.stand_ins.store`."""

from __future__ import annotations

from typing import Any

import click
import klein
from ebonyhatch.ports import fault_switches, store, store_engine, store_messages
from ebonyhatch.testing.stand_ins import main, serving


class StoreStandIn:
    """Serves a `StoreEngine` over HTTP."""

    app = klein.Klein()

    def __init__(
        self, *, reactor: Any, host: str = "127.0.0.1", port: int = 0, faults_port: int = 0
    ) -> None:
        self._engine = store_engine.StoreEngine(clock=reactor)
        self._server = serving.Server(
            reactor=reactor,
            resource=self.app.resource(),
            faults=fault_switches.Faults(),
            host=host,
            port=port,
            faults_port=faults_port,
        )

    @property
    def engine(self) -> store_engine.StoreEngine:
        """The store that is served."""
        return self._engine

    @property
    def server(self) -> serving.Server:
        """The HTTP server."""
        return self._server

    def start(self) -> None:
        """Starts listening."""
        self._server.start()

    def close(self) -> Any:
        """Stops listening and closes the store."""
        self._engine.close()
        return self._server.close()

    @app.route("/faults", methods=["GET", "PUT"])
    def faults(self, request: Any) -> Any:
        """Returns the fault switches, or sets them."""
        return serving.change_faults(self._server, request)

    @app.route("/counts", methods=["GET"])
    def counts(self, request: Any) -> Any:
        """Returns the number of calls of each kind."""
        return serving.json_response(dict(self._engine.counts)).body

    @app.route("/health/live", methods=["GET"])
    def live(self, request: Any) -> Any:
        """Answers a health probe."""
        return self._answer(request, lambda body: None)

    @app.route("/v1/get", methods=["POST"])
    def get(self, request: Any) -> Any:
        """Reads a key."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, store_messages.GetCall)
            return self._engine.get(key=call.key, age_s=self._server.faults.stale_s)

        return self._answer(request, effect)

    @app.route("/v1/swap", methods=["POST"])
    def swap(self, request: Any) -> Any:
        """Writes a key that is at the expected version."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, store_messages.SwapCall)
            stored = self._engine.swap(
                key=call.key,
                expected_version=call.expected_version,
                value=call.value,
                lease_id=call.lease_id,
            )
            return store_messages.VersionResponse(version=stored.version)

        return self._answer(request, effect)

    @app.route("/v1/watch", methods=["POST"])
    def watch(self, request: Any) -> Any:
        """Waits for a change of a key."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, store_messages.WatchCall)
            return self._engine.watch(
                key=call.key,
                after_version=call.after_version,
                wait_s=call.wait_s,
                age_s=self._server.faults.stale_s,
            )

        return self._answer(request, effect)

    @app.route("/v1/grant", methods=["POST"])
    def grant(self, request: Any) -> Any:
        """Grants a lease."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, store_messages.GrantCall)
            return self._engine.grant(ttl_s=call.ttl_s)

        return self._answer(request, effect)

    @app.route("/v1/renew", methods=["POST"])
    def renew(self, request: Any) -> Any:
        """Renews a lease."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, store_messages.LeaseCall)
            return self._engine.renew(lease_id=call.lease_id)

        return self._answer(request, effect)

    @app.route("/v1/revoke", methods=["POST"])
    def revoke(self, request: Any) -> Any:
        """Revokes a lease."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, store_messages.LeaseCall)
            self._engine.revoke(lease_id=call.lease_id)

        return self._answer(request, effect)

    def _answer(self, request: Any, effect: serving.Effect) -> Any:
        return self._server.answer(
            request, lambda body: serving.response_of(lambda: effect(body), _refusal)
        )


def _refusal(error: Exception) -> serving.Response:
    if isinstance(error, store.ConflictError):
        conflict = store_messages.ConflictResponse(actual_version=error.actual_version)
        return serving.json_response(conflict, status=409)
    if isinstance(error, store.RefusedError):
        return serving.json_response(
            store_messages.RefusedResponse(refused=error.reason), status=400
        )
    return serving.json_response(store_messages.RefusedResponse(refused=str(error)), status=400)


@click.command()
@main.listen_options
def run(*, host: str, port: int, faults_port: int) -> None:
    """Serve an empty key-value store until SIGTERM."""
    main.run(
        lambda reactor: StoreStandIn(reactor=reactor, host=host, port=port, faults_port=faults_port)
    )


if __name__ == "__main__":
    run()
