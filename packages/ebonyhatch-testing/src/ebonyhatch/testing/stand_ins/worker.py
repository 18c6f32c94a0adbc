"""Stand-in for one worker: `python -m ebonyhatch.testing.stand_ins.worker`."""

from __future__ import annotations

import urllib.parse
from typing import Any

import click
import klein
from ebonyhatch.core import errors, resources
from ebonyhatch.ports import (
    fault_switches,
    http_calls,
    worker_engine,
    worker_messages,
    workers,
)
from ebonyhatch.testing.stand_ins import main, serving

SERVICE_TIMEOUT_S = 3600.0
"""Time limit that is entered in a request; the caller applies its own."""


class WorkerStandIn:
    """Serves a `WorkerEngine` over HTTP."""

    app = klein.Klein()

    def __init__(
        self,
        *,
        reactor: Any,
        worker_id: str,
        capacity: resources.Resources,
        fenced: bool = True,
        report_lag_s: float = 0.0,
        host: str = "127.0.0.1",
        port: int = 0,
        faults_port: int = 0,
    ) -> None:
        faults = fault_switches.Faults()
        self._engine = worker_engine.WorkerEngine(
            clock=reactor,
            worker_id=worker_id,
            capacity=capacity,
            fenced=fenced,
            report_lag_s=report_lag_s,
            faults=faults,
        )
        self._server = serving.Server(
            reactor=reactor,
            resource=self.app.resource(),
            faults=faults,
            host=host,
            port=port,
            faults_port=faults_port,
        )

    @property
    def engine(self) -> worker_engine.WorkerEngine:
        """The worker that is served."""
        return self._engine

    @property
    def server(self) -> serving.Server:
        """The HTTP server."""
        return self._server

    @property
    def address(self) -> workers.Address:
        """The address of the worker."""
        return workers.Address(
            worker_id=self._engine.worker_id, host="127.0.0.1", port=self._server.port
        )

    def start(self) -> None:
        """Starts listening."""
        self._server.start()

    def close(self) -> Any:
        """Stops listening and ends all attempts and requests."""
        self._engine.close()
        return self._server.close()

    @app.route("/faults", methods=["GET", "PUT"])
    def faults(self, request: Any) -> Any:
        """Returns the fault switches, or sets them."""
        return serving.change_faults(self._server, request)

    @app.route("/leave", methods=["POST"])
    def leave(self, request: Any) -> Any:
        """Marks the worker as leaving; with `?refuses=1` it also refuses new work."""
        self._engine.leave(refuses=request.args.get(b"refuses") == [b"1"])
        return b""

    @app.route("/history", methods=["GET"])
    def history(self, request: Any) -> Any:
        """Returns all starts and the highest use, for checks."""
        return serving.json_response(self._engine.history()).body

    @app.route("/health/live", methods=["GET"])
    def live(self, request: Any) -> Any:
        """Answers a health probe."""
        return self._answer(request, lambda body: None)

    @app.route("/v1/claim", methods=["POST"])
    def claim(self, request: Any) -> Any:
        """Claims the worker for an epoch and returns its report."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, worker_messages.ClaimCall)
            return self._engine.claim(epoch=call.epoch)

        return self._answer(request, effect)

    @app.route("/v1/start", methods=["POST"])
    def start_task(self, request: Any) -> Any:
        """Starts an attempt."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, worker_messages.StartCall)
            self._engine.start_task(epoch=call.epoch, order=call.order)

        return self._answer(request, effect)

    @app.route("/v1/renew", methods=["POST"])
    def renew(self, request: Any) -> Any:
        """Renews the leases of all attempts."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, worker_messages.RenewCall)
            return self._engine.renew(
                epoch=call.epoch, lease_s=call.lease_s, acknowledged=call.acknowledged
            )

        return self._answer(request, effect)

    @app.route("/v1/checkpoint", methods=["POST"])
    def checkpoint(self, request: Any) -> Any:
        """Saves the progress of an attempt."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, worker_messages.TaskCall)
            return self._engine.checkpoint(epoch=call.epoch, task_id=call.task_id)

        return self._answer(request, effect)

    @app.route("/v1/throttle", methods=["POST"])
    def throttle(self, request: Any) -> Any:
        """Limits the speed of an attempt."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, worker_messages.ThrottleCall)
            self._engine.throttle(epoch=call.epoch, task_id=call.task_id, share=call.share)

        return self._answer(request, effect)

    @app.route("/v1/stop", methods=["POST"])
    def stop(self, request: Any) -> Any:
        """Stops an attempt."""

        def effect(body: bytes) -> Any:
            call = serving.decode(body, worker_messages.TaskCall)
            self._engine.stop_task(epoch=call.epoch, task_id=call.task_id)

        return self._answer(request, effect)

    @app.route("/service/", branch=True)
    def service(self, request: Any) -> Any:
        """Runs a request to the service."""
        return self._server.answer(request, lambda body: self._serve(request, body))

    def _serve(self, request: Any, body: bytes) -> Any:
        order = _service_request(request, body)
        try:
            epoch = _epoch(request)
            answering = self._engine.serve(epoch=epoch, request=order)
        except errors.EbonyhatchError as error:
            return _service_refusal(error)
        return answering.addCallback(_service_response)

    def _answer(self, request: Any, effect: serving.Effect) -> Any:
        return self._server.answer(
            request, lambda body: serving.response_of(lambda: effect(body), _refusal)
        )


def _refusal(error: Exception) -> serving.Response:
    if isinstance(error, workers.StaleEpochError):
        stale = worker_messages.StaleEpochResponse(newest_epoch=error.newest_epoch)
        return serving.json_response(stale, status=409)
    if isinstance(error, workers.NotRunError):
        return serving.json_response(
            worker_messages.NotRunResponse(not_run=error.reason), status=503
        )
    return serving.json_response(worker_messages.NotRunResponse(not_run=str(error)), status=400)


def _service_request(request: Any, body: bytes) -> workers.ServiceRequest:
    parts = request.uri.decode("latin-1").split("/", 3)
    return workers.ServiceRequest(
        request_id=request.getHeader(http_calls.REQUEST_ID_HEADER) or "",
        service=urllib.parse.unquote(parts[2]),
        method=request.method.decode("latin-1"),
        path=parts[3] if len(parts) > 3 else "",
        headers=tuple(
            workers.Header(name=name.decode("latin-1"), value=value.decode("latin-1"))
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        ),
        body=body,
        timeout_s=SERVICE_TIMEOUT_S,
    )


def _epoch(request: Any) -> int:
    text = request.getHeader(worker_messages.EPOCH_HEADER) or "0"
    if not (text.isascii() and text.isdigit()):
        raise serving.BadCallError(reason=f"epoch {text!r} is not a number")
    return int(text)


def _service_response(response: workers.ServiceResponse) -> serving.Response:
    headers = tuple((line.name, line.value) for line in response.headers)
    return serving.Response(status=response.status, body=response.body, headers=headers)


def _service_refusal(error: errors.EbonyhatchError) -> serving.Response:
    if isinstance(error, workers.StaleEpochError):
        headers = ((worker_messages.NEWEST_EPOCH_HEADER, str(error.newest_epoch)),)
        return serving.Response(status=409, body=b"", headers=headers)
    reason = error.reason if isinstance(error, workers.NotRunError) else error.problem
    headers = ((worker_messages.NOT_RUN_HEADER, reason),)
    return serving.Response(status=503, body=b"", headers=headers)


@click.command()
@main.listen_options
@click.option("--worker-id", required=True, help="Name of the worker.")
@click.option("--slots", type=int, default=8)
@click.option("--connections", type=int, default=64)
@click.option("--cores", type=float, default=32.0)
@click.option("--memory-gb", type=float, default=125.0)
@click.option("--accelerators", type=int, default=0)
@click.option("--fenced/--unfenced", default=True, help="Whether older epochs are refused.")
@click.option("--report-lag-s", type=float, default=0.0, help="Age of reported use, seconds.")
def run(
    *,
    host: str,
    port: int,
    faults_port: int,
    worker_id: str,
    slots: int,
    connections: int,
    cores: float,
    memory_gb: float,
    accelerators: int,
    fenced: bool,
    report_lag_s: float,
) -> None:
    """Serve one worker until SIGTERM."""
    capacity = resources.Resources(
        slots=slots,
        connections=connections,
        cores=cores,
        memory_gb=memory_gb,
        accelerators=accelerators,
    )
    main.run(
        lambda reactor: WorkerStandIn(
            reactor=reactor,
            worker_id=worker_id,
            capacity=capacity,
            fenced=fenced,
            report_lag_s=report_lag_s,
            host=host,
            port=port,
            faults_port=faults_port,
        )
    )


if __name__ == "__main__":
    run()
