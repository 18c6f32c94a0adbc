"""The callers' HTTP API: requests to services, and jobs."""

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

REMEDY_NOT_FOUND = "check the id; ended jobs are kept for a limited time"
REMEDIES = {
    commands.Outcome.NOT_RUN: "nothing was run: send it again after Retry-After",
    commands.Outcome.UNKNOWN: "it may have run: look before you send it again",
}


class Gateway:
    """Serves callers over one HTTP listener.

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
        self._idle: list[defer.Deferred[None]] = []

    @property
    def in_progress(self) -> int:
        """Requests that have no answer yet."""
        return self._in_progress

    def drain(self) -> defer.Deferred[None]:
        """Refuse new work from now; fires when nothing is in progress any more."""
        self._draining = True
        idle: defer.Deferred[None] = defer.Deferred()
        self._idle.append(idle)
        self._note_idle()
        return idle

    @app.route("/v1/services/<service>", methods=METHODS)
    @app.route("/v1/services/<service>/<path:path>", methods=METHODS)
    async def serve(
        self, request: http_server.BoundedRequest, service: str, path: str = ""
    ) -> bytes:
        """Serve `ANY /v1/services/{service}/{path}`."""
        return await self._guarded(request, lambda: self._serve(request, service))

    @app.route("/v1/jobs", methods=["POST"])
    async def submit(self, request: http_server.BoundedRequest) -> bytes:
        """Serve `POST /v1/jobs`: durable once answered 202."""
        return await self._guarded(request, lambda: self._submit(request))

    @app.route("/v1/jobs/<job_id>", methods=["GET"])
    async def show(self, request: http_server.BoundedRequest, job_id: str) -> bytes:
        """Serve `GET /v1/jobs/{id}`."""
        return await self._guarded(
            request, lambda: self._job(request, self._router.show(job_id=job_id))
        )

    @app.route("/v1/jobs/<job_id>", methods=["DELETE"])
    async def cancel(self, request: http_server.BoundedRequest, job_id: str) -> bytes:
        """Serve `DELETE /v1/jobs/{id}`: cancels the job."""
        return await self._guarded(
            request, lambda: self._job(request, self._router.cancel(job_id=job_id))
        )

    async def _guarded(
        self, request: http_server.BoundedRequest, work: Callable[[], Awaitable[bytes]]
    ) -> bytes:
        if request.body_overflowed:
            limit = request.body_limit_bytes
            return self._caller_problem(request, caller_errors.BodyTooLargeError(limit_bytes=limit))
        if self._draining:
            return self._refusal(request, commands.Outcome.NOT_RUN, "draining", RETRY_AFTER_S)
        if self._in_progress >= self._requests_limit:
            return self._refusal(request, commands.Outcome.NOT_RUN, "entry-full", RETRY_AFTER_S)
        self._in_progress += 1
        try:
            return await work()
        finally:
            self._in_progress -= 1
            self._note_idle()

    async def _serve(self, request: http_server.BoundedRequest, service: str) -> bytes:
        read = service_calls.read(
            request=caller_request(request=request, service=service), in_force=self._in_force()
        )
        match read:
            case result.Success(messages.RequestCall() as call):
                return await self._routed(request, call)
            case result.Failure(caller_errors.CallerError() as error):
                return self._caller_problem(request, error)
        raise AssertionError(read)

    async def _routed(
        self, request: http_server.BoundedRequest, call: messages.RequestCall
    ) -> bytes:
        request_id = call.request.request_id
        request.setHeader(service_calls.REQUEST_ID_HEADER, request_id)
        began_at = self._clock.seconds()
        reply = await self._router.request(call=call)
        total_s = self._clock.seconds() - began_at
        self._measures.record_total_time(
            work_class=call.work_class, tenant=call.tenant, seconds=total_s
        )
        if reply.answer is None:
            return self._refusal(request, reply.outcome, reply.reason, reply.retry_after_s)
        return _write_answer(request, reply.answer)

    async def _submit(self, request: http_server.BoundedRequest) -> bytes:
        read = job_calls.read(body=request.content.read(), in_force=self._in_force())
        match read:
            case result.Success(entities.Job() as job):
                return await self._job(request, self._router.submit(job=job), HTTP_ACCEPTED)
            case result.Failure(caller_errors.CallerError() as error):
                return self._caller_problem(request, error)
        raise AssertionError(read)

    async def _job(
        self,
        request: http_server.BoundedRequest,
        replied: Awaitable[messages.JobReply],
        status: int = 200,
    ) -> bytes:
        reply = await replied
        if reply.view is None:
            return self._job_problem(request, reply)
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        answer = job_calls.JobAnswer(**msgspec.structs.asdict(reply.view))
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
            detail=f"the request got no answer: {reason}",
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

    def _note_idle(self) -> None:
        if self._in_progress or not self._draining:
            return
        waiting, self._idle = self._idle, []
        for idle in waiting:
            idle.callback(None)


def caller_request(
    *, request: http_server.BoundedRequest, service: str
) -> service_calls.CallerRequest:
    """Copy what a caller sent out of the HTTP request; the path keeps its encoding."""
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


def _write_answer(request: server.Request, answer: workers.ServiceResponse) -> bytes:
    request.setResponseCode(answer.status)
    values: dict[str, list[str]] = {}
    for header in header_rules.end_to_end(answer.headers):
        values.setdefault(header.name, []).append(header.value)
    for name, lines in values.items():
        request.responseHeaders.setRawHeaders(name, lines)
    request.setHeader("Content-Length", str(len(answer.body)))
    return answer.body
