"""HTTP server sites whose connections and bodies are bounded; bodies stay in memory."""

from __future__ import annotations

import http
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from ebonyhatch.core import commands
from ebonyhatch.node import bounded_channel, logs, problems, request_budget
from twisted.web import resource, server

DEFAULT_MEMORY_MB = 512

DETAILS = {
    request_budget.Cause.BODY_TOO_LARGE: "the body is too large",
    request_budget.Cause.HEAD_TOO_LARGE: "the head is too large",
    request_budget.Cause.MALFORMED: "the request is malformed",
    request_budget.Cause.HEAD_TIMEOUT: "the head did not arrive in time",
    request_budget.Cause.BODY_TIMEOUT: "the body did not arrive in time",
    request_budget.Cause.BUDGET: "the entry holds too many incomplete requests",
}
"""What a refusal says, by its cause."""

REMEDIES = {
    request_budget.Cause.BODY_TOO_LARGE: "send at most {limit} bytes",
    request_budget.Cause.BUDGET: "the call was not run: send it again after Retry-After",
}
DEFAULT_REMEDY = "the call was not run: correct the request and send it again"


class BoundedRequest(bounded_channel.BoundedBody, server.Request):
    """A request whose body is held in memory; one that is too large is refused before it is read."""


class BoundedSite(server.Site):
    """Creates the connections of a listener."""

    protocol = bounded_channel.BoundedChannel  # type: ignore[assignment]

    def __init__(
        self,
        *,
        root: resource.Resource,
        limits: Callable[[], request_budget.CallerLimits],
        supervisor: bounded_channel.Supervisor | None,
    ) -> None:
        super().__init__(root, requestFactory=BoundedRequest, parsePOSTFormSubmission=False)
        self._limits = limits
        self._supervisor = supervisor

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Returns a connection, or None to refuse it."""
        if self._supervisor is None:
            self._supervisor = make_supervisor(
                clock=self.reactor, memory_mb=DEFAULT_MEMORY_MB, max_fds=0
            )
        if not self._supervisor.admits():
            return None
        channel: Any = super().buildProtocol(addr)
        bounded_channel.bound(
            channel, supervisor=self._supervisor, limits=self._limits, refusal=self._refusal
        )
        return channel

    def _refusal(self, status: int, cause: request_budget.Cause) -> tuple[bytes, bytes]:
        remedy = REMEDIES.get(cause, DEFAULT_REMEDY).format(limit=self._limits().body_bytes)
        problem = problems.Problem(
            type=problems.TYPE_PREFIX + cause.value,
            title=http.HTTPStatus(status).phrase,
            status=status,
            detail=DETAILS.get(cause, cause.value),
            remedy=remedy,
            outcome=commands.Outcome.NOT_RUN,
        )
        return problems.CONTENT_TYPE.encode(), msgspec.json.encode(problem)


def make_supervisor(
    *,
    clock: Any,
    memory_mb: float,
    max_fds: int,
    report: bounded_channel.Report | None = None,
) -> bounded_channel.Supervisor:
    """Returns the supervisor of a process's connections.

    Args:
        clock: The reactor.
        memory_mb: Memory of the instance, megabytes.
        max_fds: Maximum open descriptors; 0 for the limit of the process.
        report: Is called with the refusals after they are logged.
    """

    def log(
        counts: Mapping[request_budget.Cause, int], supervisor: bounded_channel.Supervisor
    ) -> None:
        _log_refusals(counts, supervisor)
        if report is not None:
            report(counts, supervisor)

    return bounded_channel.Supervisor(
        clock=clock,
        budget=request_budget.budget_of(
            memory_mb=memory_mb, max_fds=max_fds or bounded_channel.descriptors_of_process()
        ),
        report=log,
    )


def bounded_site(
    *,
    root: resource.Resource,
    body_limit_bytes: int,
    supervisor: bounded_channel.Supervisor | None = None,
) -> server.Site:
    """Returns a site whose requests hold at most `body_limit_bytes` of body.

    Args:
        root: Root resource of the site.
        body_limit_bytes: Maximum size of a body, bytes; a larger one is refused with 413.
        supervisor: Keeps the connections of all sites of the process within its budget; by default
            the site has one of its own.

    Returns:
        A protocol factory for a listening port.
    """
    limits = request_budget.CallerLimits(body_bytes=body_limit_bytes)
    return BoundedSite(root=root, limits=lambda: limits, supervisor=supervisor)


def _log_refusals(
    counts: Mapping[request_budget.Cause, int], supervisor: bounded_channel.Supervisor
) -> None:
    for cause, count in counts.items():
        logs.write(
            "callers refused",
            reason=cause.value,
            count=count,
            connections=len(supervisor.budget),
            held_bytes=supervisor.budget.held_bytes,
        )
