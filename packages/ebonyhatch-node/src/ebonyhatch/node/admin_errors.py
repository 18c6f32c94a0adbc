"""Errors of operators over HTTP, each with its status and remedy; nothing was changed."""

from __future__ import annotations

from ebonyhatch.core import errors


class AdminError(errors.EbonyhatchError):
    """Base class of errors that an operator can correct.

    Attributes:
        status: HTTP status of the response.
        kind: Short machine-readable name.
    """

    status = 400
    kind = "bad-request"


class AccessDeniedError(AdminError):
    """The request carries no known token."""

    status = 401
    kind = "access-denied"

    def __init__(self) -> None:
        super().__init__(
            problem="the request has no known bearer token",
            remedy="send `Authorization: Bearer TOKEN` with a token whose SHA-256 is listed in "
            "access.token_sha256 of this entry's settings",
        )


class RepeatedHeaderError(AdminError):
    """A header that may appear once was sent more than once."""

    kind = "repeated-header"

    def __init__(self, *, name: str) -> None:
        super().__init__(problem=f"{name} was sent more than once", remedy="send it once")
        self.name = name


class MediaTypeError(AdminError):
    """The `Content-Type` of the body is not JSON."""

    status = 415
    kind = "media-type"

    def __init__(self, *, media_type: str) -> None:
        super().__init__(
            problem=f"the media type {media_type[:80]!r} is not supported",
            remedy="send JSON with `Content-Type: application/json`",
        )
        self.media_type = media_type


class ExpectationError(AdminError):
    """The expected generation is malformed or ambiguous."""

    kind = "bad-expectation"

    def __init__(self, *, problem: str) -> None:
        super().__init__(
            problem=problem,
            remedy='send one generation, as `?expect=7` or as `If-Match: "7"`',
        )


class NotFoundError(AdminError):
    """The path is unknown."""

    status = 404
    kind = "no-such-path"

    def __init__(self) -> None:
        super().__init__(
            problem="this path does not exist",
            remedy="find the path in /v1/admin/openapi",
        )


class MethodError(AdminError):
    """The path does not support this method."""

    status = 405
    kind = "no-such-method"

    def __init__(self) -> None:
        super().__init__(
            problem="this path does not support this method",
            remedy="find its methods in /v1/admin/openapi",
        )


class UnknownSubjectError(AdminError):
    """No reachable entry knows the job or request."""

    status = 404
    kind = "unknown-subject"

    def __init__(self, *, subject_id: str) -> None:
        super().__init__(
            problem=f"no reachable entry knows {subject_id[:200]!r}",
            remedy="check the id; ended work is retained for a limited time",
        )
        self.subject_id = subject_id
