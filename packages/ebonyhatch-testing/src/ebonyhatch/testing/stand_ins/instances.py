"""Stand-in for the instance list: `python -m ebonyhatch.testing.stand_ins.instances`."""

from __future__ import annotations

import pathlib
from typing import Any

import click
import klein
import msgspec
from ebonyhatch.ports import fault_switches, instance_directory, instances
from ebonyhatch.testing.stand_ins import main, serving


class InstancesStandIn:
    """Serves an `InstanceDirectory` over HTTP."""

    app = klein.Klein()

    def __init__(
        self,
        *,
        reactor: Any,
        host: str = "127.0.0.1",
        port: int = 0,
        faults_port: int = 0,
        lag_s: float = 0.0,
    ) -> None:
        self._directory = instance_directory.InstanceDirectory(clock=reactor, lag_s=lag_s)
        self._server = serving.Server(
            reactor=reactor,
            resource=self.app.resource(),
            faults=fault_switches.Faults(),
            host=host,
            port=port,
            faults_port=faults_port,
        )

    @property
    def directory(self) -> instance_directory.InstanceDirectory:
        """The instances that are listed."""
        return self._directory

    @property
    def server(self) -> serving.Server:
        """The HTTP server."""
        return self._server

    def start(self) -> None:
        """Starts listening."""
        self._server.start()

    def close(self) -> Any:
        """Stops listening and closes all connections."""
        return self._server.close()

    @app.route("/faults", methods=["GET", "PUT"])
    def faults(self, request: Any) -> Any:
        """Returns the fault switches, or sets them."""
        return serving.change_faults(self._server, request)

    @app.route("/health/live", methods=["GET"])
    def live(self, request: Any) -> Any:
        """Answers a health probe."""
        return self._server.answer(request, lambda body: serving.json_response({"live": True}))

    @app.route("/v1/instances", methods=["GET"])
    def list(self, request: Any) -> Any:
        """Lists the instances."""

        def effect(body: bytes) -> serving.Response:
            return serving.json_response(self._directory.list(age_s=self._server.faults.stale_s))

        return self._server.answer(request, effect)

    @app.route("/v1/instances/<instance_id>", methods=["PUT", "DELETE"])
    def change(self, request: Any, instance_id: str) -> Any:
        """Adds, replaces or removes an instance; for tests only."""
        if request.method == b"DELETE":
            self._directory.remove(instance_id=instance_id)
            return b""
        try:
            self._directory.put(serving.decode(request.content.read(), instances.Instance))
        except serving.BadCallError as error:
            request.setResponseCode(400)
            return str(error).encode()
        return b""


def parse(text: str) -> instances.Instance:
    """Parses one `--instance`, which is a JSON object.

    Raises:
        click.BadParameter: If the text is not a valid instance.
    """
    try:
        return msgspec.json.decode(text, type=instances.Instance)
    except msgspec.DecodeError as error:
        raise click.BadParameter(f"{text!r} is not an instance: {error}") from error


@click.command()
@main.listen_options
@click.option("--instance", "texts", multiple=True, help="One instance as a JSON object.")
@click.option("--file", "path", type=click.Path(exists=True), help="JSON list of instances.")
@click.option("--lag-s", type=float, default=0.0, help="Age of what is listed, seconds.")
def run(
    *, host: str, port: int, faults_port: int, texts: tuple[str, ...], path: str, lag_s: float
) -> None:
    """Serve a list of instances until SIGTERM."""
    rows = [parse(text) for text in texts]
    if path:
        listed = msgspec.json.decode(pathlib.Path(path).read_bytes(), type=tuple[msgspec.Raw, ...])
        rows.extend(parse(bytes(row).decode()) for row in listed)

    def build(reactor: Any) -> InstancesStandIn:
        stand_in = InstancesStandIn(
            reactor=reactor, host=host, port=port, faults_port=faults_port, lag_s=lag_s
        )
        for row in rows:
            stand_in.directory.put(row)
        return stand_in

    main.run(build)


if __name__ == "__main__":
    run()
