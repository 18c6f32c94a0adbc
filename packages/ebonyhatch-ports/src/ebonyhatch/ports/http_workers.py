"""Workers over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from ebonyhatch.ports import (
    addresses,
    answers,
    header_rules,
    http_calls,
    worker_messages,
    workers,
)
from returns import result
from twisted.internet import defer

CALL_TIMEOUT_S = 2.0
"""Time limit of a control call, seconds."""

NOT_RUN_STATUSES = frozenset({400, 404, 413, 429, 503})
"""Statuses of responses that may report a call without effect."""

BodyDecoder = Callable[[bytes], Any]


class HttpWorkers(workers.Workers):
    """Calls workers; see docs/platform-protocol.md."""

    def __init__(
        self, *, reactor: Any, fenced: bool = True, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._calls = http_calls.HttpCalls(reactor=reactor)
        self._fenced = fenced
        self._timeout_s = timeout_s

    @property
    def calls(self) -> http_calls.HttpCalls:
        """The HTTP client."""
        return self._calls

    @property
    def fenced(self) -> bool:
        """Whether workers refuse epochs older than the newest that they have seen."""
        return self._fenced

    def start(self) -> None:
        """Prepares for calls."""
        self._calls.start()

    def close(self) -> None:
        """Ends all calls."""
        self._calls.close()

    def claim(self, *, address: workers.Address, epoch: int) -> workers.ReportOutcome:
        """Presents a new epoch and returns the worker's full status report."""
        body = worker_messages.ClaimCall(epoch=epoch)
        return self._call("claim", address, epoch, body, lambda encoded: _report(encoded, address))

    def start_task(
        self, *, address: workers.Address, epoch: int, order: workers.TaskOrder
    ) -> workers.DoneOutcome:
        """Starts an attempt under a lease."""
        body = worker_messages.StartCall(epoch=epoch, order=order)
        return self._call("start", address, epoch, body, _done)

    def renew(
        self,
        *,
        address: workers.Address,
        epoch: int,
        lease_s: float,
        acknowledged: tuple[str, ...] = (),
    ) -> workers.ReportOutcome:
        """Renews the leases of all attempts on the worker and returns its status report."""
        body = worker_messages.RenewCall(epoch=epoch, lease_s=lease_s, acknowledged=acknowledged)
        return self._call("renew", address, epoch, body, lambda encoded: _report(encoded, address))

    def checkpoint(
        self, *, address: workers.Address, epoch: int, task_id: str
    ) -> workers.CheckpointOutcome:
        """Checkpoints an attempt, which continues to run."""
        body = worker_messages.TaskCall(epoch=epoch, task_id=task_id)
        return self._call(
            "checkpoint", address, epoch, body, lambda encoded: _checkpoint(encoded, task_id)
        )

    def throttle(
        self, *, address: workers.Address, epoch: int, task_id: str, share: float
    ) -> workers.DoneOutcome:
        """Runs an attempt at the fraction `share` of its full speed."""
        body = worker_messages.ThrottleCall(epoch=epoch, task_id=task_id, share=share)
        return self._call("throttle", address, epoch, body, _done)

    def stop_task(
        self, *, address: workers.Address, epoch: int, task_id: str
    ) -> workers.DoneOutcome:
        """Stops an attempt."""
        body = worker_messages.TaskCall(epoch=epoch, task_id=task_id)
        return self._call("stop", address, epoch, body, _done)

    def forward(
        self, *, address: workers.Address, epoch: int, request: workers.ServiceRequest
    ) -> workers.ResponseOutcome:
        """Sends a request to the service on the worker and returns the complete response."""
        if addresses.leaves_service(request):
            reason = (
                f"the path {request.service!r}/{request.path!r} may resolve outside the service"
            )
            refused = workers.NotRunError(worker_id=address.worker_id, reason=reason)
            return defer.succeed(result.Failure(refused))
        lines = header_rules.end_to_end(request.headers)
        call = http_calls.Call(
            method=request.method,
            url=_base_url(address) + addresses.service_path(request),
            body=request.body,
            headers=(
                *((line.name, line.value) for line in lines),
                (worker_messages.EPOCH_HEADER, str(epoch)),
            ),
            request_id=request.request_id,
            timeout_s=request.timeout_s,
            direct=True,
        )

        def value(response: http_calls.Response) -> workers.ServiceResponse:
            return _service_value(response, address, epoch, request.request_id)

        return self._calls.call(call).addCallback(_interpret, address, value)

    def _call(
        self,
        name: str,
        address: workers.Address,
        epoch: int,
        body: msgspec.Struct,
        decode: BodyDecoder,
    ) -> Any:
        def value(response: http_calls.Response) -> Any:
            return _control_value(response, address, epoch, decode)

        url = f"{_base_url(address)}/v1/{name}"
        outcome = self._calls.call_json(url=url, body=body, timeout_s=self._timeout_s, direct=True)
        return outcome.addCallback(_interpret, address, value)


def _base_url(address: workers.Address) -> str:
    return addresses.base_url(host=address.host, port=address.port)


def _interpret(
    outcome: result.Result[http_calls.Response, http_calls.CallError],
    address: workers.Address,
    value: Callable[[http_calls.Response], Any],
) -> Any:
    worker_id = address.worker_id
    if isinstance(outcome, result.Failure):
        error = outcome.failure()
        kind = workers.OutcomeUnknownError if error.sent else workers.NotRunError
        return result.Failure(kind(worker_id=worker_id, reason=error.reason))
    try:
        return result.Success(value(outcome.unwrap()))
    except workers.WorkerError as refusal:
        return result.Failure(refusal)
    except answers.BadAnswerError as error:
        reason = str(error)
        return result.Failure(workers.OutcomeUnknownError(worker_id=worker_id, reason=reason))


def _control_value(
    response: http_calls.Response, address: workers.Address, epoch: int, decode: BodyDecoder
) -> Any:
    if response.status == 200:
        return decode(response.body)
    if response.status == 409:
        stale = answers.decode(response.body, worker_messages.StaleEpochResponse)
        raise _stale(address, epoch, stale.newest_epoch)
    if response.status in NOT_RUN_STATUSES:
        refused = answers.decode(response.body, worker_messages.NotRunResponse)
        raise workers.NotRunError(worker_id=address.worker_id, reason=refused.not_run)
    raise answers.BadAnswerError(f"unexpected status {response.status}")


def _service_value(
    response: http_calls.Response, address: workers.Address, epoch: int, request_id: str
) -> workers.ServiceResponse:
    for name, value in response.headers:
        if name.lower() == worker_messages.NEWEST_EPOCH_HEADER.lower():
            raise _stale(address, epoch, _integer(value))
        if name.lower() == worker_messages.NOT_RUN_HEADER.lower():
            raise workers.NotRunError(worker_id=address.worker_id, reason=value)
    lines = tuple(workers.Header(name=name, value=value) for name, value in response.headers)
    return workers.ServiceResponse(
        request_id=request_id,
        status=response.status,
        headers=header_rules.end_to_end(lines),
        body=response.body,
    )


def _stale(address: workers.Address, epoch: int, newest_epoch: int) -> workers.WorkerError:
    if answers.check_count(newest_epoch, "newest_epoch") <= epoch:
        raise answers.BadAnswerError(
            f"the worker refused epoch {epoch} as older than {newest_epoch}"
        )
    return workers.StaleEpochError(
        worker_id=address.worker_id, epoch=epoch, newest_epoch=newest_epoch
    )


def _integer(value: str) -> int:
    if not (value.isascii() and value.isdigit() and len(value) < 20):
        raise answers.BadAnswerError(f"{value!r} is not an epoch")
    return int(value)


def _report(body: bytes, address: workers.Address) -> workers.WorkerReport:
    report = answers.decode(body, workers.WorkerReport)
    answers.check_amounts(report)
    if report.worker_id != address.worker_id:
        raise answers.BadAnswerError(f"the status report is of worker {report.worker_id}")
    return report


def _checkpoint(body: bytes, task_id: str) -> workers.Checkpoint:
    saved = answers.decode(body, workers.Checkpoint)
    answers.check_amounts(saved)
    if saved.task_id != task_id:
        raise answers.BadAnswerError(f"the checkpoint is of task {saved.task_id}")
    return saved


def _done(body: bytes) -> None:
    answers.decode(body, answers.Done)
