"""What callers may do wrong, each with its HTTP status and remedy; none of it was run."""

from __future__ import annotations

from collections.abc import Iterable

from ebonyhatch.core import errors


class CallerError(errors.EbonyhatchError):
    """Base of the errors that a caller can mend.

    Attributes:
        status: HTTP status of the answer.
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
            problem=f"no service is called {service!r}",
            remedy="name a service that the operators' records describe",
        )
        self.service = service


class UnknownClassError(CallerError):
    """The request names a work class that its service does not offer."""

    kind = "unknown-class"

    def __init__(self, *, work_class: str, offered: Iterable[str]) -> None:
        self.offered = tuple(offered)
        super().__init__(
            problem=f"no work class is called {work_class!r} here",
            remedy=f"use one of: {', '.join(self.offered) or 'none is configured'}",
        )
        self.work_class = work_class


class UnknownTenantError(CallerError):
    """The request names a tenant that no record describes."""

    kind = "unknown-tenant"

    def __init__(self, *, tenant: str) -> None:
        super().__init__(
            problem=f"no tenant is called {tenant!r}",
            remedy="send the Ebonyhatch-Tenant that the operators gave you",
        )
        self.tenant = tenant


class HeaderError(CallerError):
    """A header is repeated or holds a value that can't be used."""

    kind = "bad-header"

    def __init__(self, *, name: str, problem: str, remedy: str) -> None:
        super().__init__(problem=f"{name} {problem}", remedy=remedy)
        self.name = name


class BodyTooLargeError(CallerError):
    """The body is larger than its service takes."""

    status = 413
    kind = "body-too-large"

    def __init__(self, *, limit_bytes: int) -> None:
        super().__init__(
            problem=f"the body is larger than {limit_bytes} bytes",
            remedy="send a smaller body, or have body_limit_bytes of the service raised",
        )
        self.limit_bytes = limit_bytes


class MalformedJobError(CallerError):
    """A job submission can't be read."""

    kind = "malformed-job"

    def __init__(self, *, problem: str) -> None:
        super().__init__(
            problem=f"the job can't be read: {problem}",
            remedy="send a JSON object with class, tenant and demand as in docs/caller-api.md",
        )


class UnknownJobError(CallerError):
    """No job of that id is known."""

    status = 404
    kind = "unknown-job"

    def __init__(self, *, job_id: str) -> None:
        super().__init__(
            problem=f"no job is called {job_id!r}",
            remedy="check the id; ended jobs are kept for a limited time",
        )
        self.job_id = job_id
