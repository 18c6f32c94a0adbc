"""HTTP API for callers: requests to services, and jobs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import klein
import msgspec
from ebonyhatch.core import commands, configuration, entities
from ebonyhatch.node import (
    caller_errors,
    http_server,
    job_calls,
    messages,
    metrics,
    problems,
    routing,
    service_calls,
)
from ebonyhatch.ports import header_rules, timing, workers
from returns import result
from twisted.internet import defer
from twisted.web import server

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

HTTP_ACCEPTED = 202
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
RETRY_AFTER_S = 1.0

REMEDY_NOT_FOUND = "check the id; ended jobs are retained for a limited time"
REMEDIES = {
    commands.Outcome.NOT_RUN: "the call was not run: send it again after Retry-After",
    commands.Outcome.UNKNOWN: "the call may have run: check its effects before sending it again",
}


class Gateway:
    """Serves callers through one HTTP listener.

    Attributes:
        app: The klein application.
    """

    app = klein.Klein()

    def __init__(
        self,
        *,
        router: routing.Router,
        in_force: Callable[[], configuration.InForce],
        measures: metrics.Metrics,
        clock: timing.Clock,
        requests_limit: int,
    ) -> None:
        self._router = router
        self._in_force = in_force
        self._measures = measures
        self._clock = clock
        self._requests_limit = requests_limit
        self._in_progress = 0
        self._draining = False
        self._drain_waiters: list[defer.Deferred[None]] = []

    @property
    def in_progress(self) -> int:
        """Number of requests that have not been answered."""
        return self._in_progress

    def drain(self) -> defer.Deferred[None]:
        """Refuses new requests from now on; the result fires once no request is in progress."""
        self._draining = True
        idle: defer.Deferred[None] = defer.Deferred()
        self._drain_waiters.append(idle)
        self._notify_if_idle()
        return idle

    @app.route("/v1/services/<service>", methods=METHODS)
    @app.route("/v1/services/<service>/<path:path>", methods=METHODS)
    async def serve(
        self, request: http_server.BoundedRequest, service: str, path: str = ""
    ) -> bytes:
        """Serves `ANY /v1/services/{service}/{path}`."""
        return await self._admit(request, lambda: self._serve(request, service))

    @app.route("/v1/jobs", methods=["POST"])
    async def submit(self, request: http_server.BoundedRequest) -> bytes:
        """Serves `POST /v1/jobs`; a job answered with 202 is durable."""
        return await self._admit(request, lambda: self._submit(request))

    @app.route("/v1/jobs/<job_id>", methods=["GET"])
    async def show(self, request: http_server.BoundedRequest, job_id: str) -> bytes:
        """Serves `GET /v1/jobs/{id}`."""
        return await self._admit(
            request, lambda: self._respond_with_job(request, self._router.show(job_id=job_id))
        )

    @app.route("/v1/jobs/<job_id>", methods=["DELETE"])
    async def cancel(self, request: http_server.BoundedRequest, job_id: str) -> bytes:
        """Serves `DELETE /v1/jobs/{id}`, which cancels the job."""
        return await self._admit(
            request, lambda: self._respond_with_job(request, self._router.cancel(job_id=job_id))
        )

    async def _admit(
        self, request: http_server.BoundedRequest, work: Callable[[], Awaitable[bytes]]
    ) -> bytes:
        if self._draining:
            return self._refusal(request, commands.Outcome.NOT_RUN, "draining", RETRY_AFTER_S)
        if self._in_progress >= self._requests_limit:
            return self._refusal(request, commands.Outcome.NOT_RUN, "entry-full", RETRY_AFTER_S)
        self._in_progress += 1
        try:
            return await work()
        finally:
            self._in_progress -= 1
            self._notify_if_idle()

    async def _serve(self, request: http_server.BoundedRequest, service: str) -> bytes:
        read = service_calls.read(
            request=caller_request(request=request, service=service), in_force=self._in_force()
        )
        match read:
            case result.Success(messages.RequestCall() as call):
                return await self._route(request, call)
            case result.Failure(caller_errors.CallerError() as error):
                return self._caller_problem(request, error)
        raise AssertionError(read)

    async def _route(
        self, request: http_server.BoundedRequest, call: messages.RequestCall
    ) -> bytes:
        request_id = call.request.request_id
        request.setHeader(service_calls.REQUEST_ID_HEADER, request_id)
        started_at = self._clock.seconds()
        reply = await self._router.request(call=call)
        total_s = self._clock.seconds() - started_at
        self._measures.record_total_time(
            work_class=call.work_class, tenant=call.tenant, seconds=total_s
        )
        if reply.answer is None:
            return self._refusal(request, reply.outcome, reply.reason, reply.retry_after_s)
        return _write_response(request, reply.answer)

    async def _submit(self, request: http_server.BoundedRequest) -> bytes:
        read = job_calls.read(body=request.content.read(), in_force=self._in_force())
        match read:
            case result.Success(entities.Job() as job):
                return await self._respond_with_job(
                    request, self._router.submit(job=job), HTTP_ACCEPTED
                )
            case result.Failure(caller_errors.CallerError() as error):
                return self._caller_problem(request, error)
        raise AssertionError(read)

    async def _respond_with_job(
        self,
        request: http_server.BoundedRequest,
        pending_reply: Awaitable[messages.JobReply],
        status: int = 200,
    ) -> bytes:
        reply = await pending_reply
        if reply.view is None:
            return self._job_problem(request, reply)
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        answer = job_calls.JobResponse(**msgspec.structs.asdict(reply.view))
        return msgspec.json.encode(answer)

    def _caller_problem(self, request: server.Request, error: caller_errors.CallerError) -> bytes:
        self._measures.record_refusal(reason=error.kind, outcome=commands.Outcome.NOT_RUN)
        return problems.write(
            request=request,
            status=error.status,
            kind=error.kind,
            detail=error.problem,
            remedy=error.remedy,
            outcome=commands.Outcome.NOT_RUN,
        )

    def _refusal(
        self,
        request: server.Request,
        outcome: commands.Outcome,
        reason: str,
        retry_after_s: float,
    ) -> bytes:
        not_run = outcome is commands.Outcome.NOT_RUN
        self._measures.record_refusal(reason=reason, outcome=outcome)
        return problems.write(
            request=request,
            status=HTTP_UNAVAILABLE if not_run else HTTP_GATEWAY_TIMEOUT,
            kind=reason,
            detail=f"the request was not answered: {reason}",
            remedy=REMEDIES[outcome],
            outcome=outcome,
            retry_after_s=retry_after_s if not_run else None,
        )

    def _job_problem(self, request: server.Request, reply: messages.JobReply) -> bytes:
        self._measures.record_refusal(reason=reply.reason, outcome=reply.outcome)
        unavailable = reply.status == HTTP_UNAVAILABLE
        not_found = reply.status == HTTP_NOT_FOUND
        return problems.write(
            request=request,
            status=reply.status,
            kind=reply.reason.split(":")[0] or "job",
            detail=reply.reason,
            remedy=REMEDY_NOT_FOUND if not_found else REMEDIES[reply.outcome],
            outcome=reply.outcome,
            retry_after_s=RETRY_AFTER_S if unavailable else None,
        )

    def _notify_if_idle(self) -> None:
        if self._in_progress or not self._draining:
            return
        waiting, self._drain_waiters = self._drain_waiters, []
        for idle in waiting:
            idle.callback(None)


def caller_request(
    *, request: http_server.BoundedRequest, service: str
) -> service_calls.CallerRequest:
    """Copies a caller's request out of the HTTP request; the path stays percent-encoded."""
    parts = request.uri.split(b"/", 4)
    rest = parts[4] if len(parts) > 4 else b""
    return service_calls.CallerRequest(
        service=service,
        method=request.method.decode("ascii", "replace"),
        path=rest.decode("latin-1"),
        headers=tuple(
            workers.Header(name=name.decode("latin-1"), value=value.decode("latin-1"))
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        ),
        body=request.content.read(),
    )


def _write_response(request: server.Request, answer: workers.ServiceResponse) -> bytes:
    request.setResponseCode(answer.status)
    values: dict[str, list[str]] = {}
    for header in header_rules.end_to_end(answer.headers):
        values.setdefault(header.name, []).append(header.value)
    for name, lines in values.items():
        request.responseHeaders.setRawHeaders(name, lines)
    request.setHeader("Content-Length", str(len(answer.body)))
    return answer.body
