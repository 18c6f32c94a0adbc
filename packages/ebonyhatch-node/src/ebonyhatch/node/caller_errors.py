"""Errors of callers, each with its HTTP status and remedy; the call was not run."""

from __future__ import annotations

from collections.abc import Iterable

from ebonyhatch.core import errors


class CallerError(errors.EbonyhatchError):
    """Base class of errors that a caller can correct.

    Attributes:
        status: HTTP status of the response.
        kind: Short machine-readable name, the last part of the problem's type.
    """

    status = 400
    kind = "bad-request"


class UnknownServiceError(CallerError):
    """The path names a service that no record describes."""

    status = 404
    kind = "unknown-service"

    def __init__(self, *, service: str) -> None:
        super().__init__(
            problem=f"there is no service named {service!r}",
            remedy="use a service that the operators' records describe",
        )
        self.service = service


class UnknownClassError(CallerError):
    """The request names a work class that its service does not offer."""

    kind = "unknown-class"

    def __init__(self, *, work_class: str, offered: Iterable[str]) -> None:
        self.offered = tuple(offered)
        super().__init__(
            problem=f"there is no work class named {work_class!r} here",
            remedy=f"use one of: {', '.join(self.offered) or 'none is configured'}",
        )
        self.work_class = work_class


class UnknownTenantError(CallerError):
    """The request names a tenant that no record describes."""

    kind = "unknown-tenant"

    def __init__(self, *, tenant: str) -> None:
        super().__init__(
            problem=f"there is no tenant named {tenant!r}",
            remedy="send the Ebonyhatch-Tenant header with the name that the operators assigned",
        )
        self.tenant = tenant


class HeaderError(CallerError):
    """A header is repeated or has an invalid value."""

    kind = "bad-header"

    def __init__(self, *, name: str, problem: str, remedy: str) -> None:
        super().__init__(problem=f"{name} {problem}", remedy=remedy)
        self.name = name


class BodyTooLargeError(CallerError):
    """The body exceeds the limit of its service or of the entry."""

    status = 413
    kind = "body-too-large"

    def __init__(self, *, limit_bytes: int) -> None:
        super().__init__(
            problem=f"the body is larger than {limit_bytes} bytes",
            remedy="send a smaller body, or ask the operators to raise the limit "
            "(body_limit_bytes of the service)",
        )
        self.limit_bytes = limit_bytes


class MalformedJobError(CallerError):
    """A job submission cannot be decoded or is invalid."""

    kind = "malformed-job"

    def __init__(self, *, problem: str) -> None:
        super().__init__(
            problem=f"the job is malformed: {problem}",
            remedy="send a JSON object with class, tenant and demand as in docs/caller-api.md",
        )


class UnknownJobError(CallerError):
    """No job with this id is known."""

    status = 404
    kind = "unknown-job"

    def __init__(self, *, job_id: str) -> None:
        super().__init__(
            problem=f"there is no job with the id {job_id!r}",
            remedy="check the id; ended jobs are retained for a limited time",
        )
        self.job_id = job_id
