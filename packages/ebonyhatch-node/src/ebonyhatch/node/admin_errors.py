"""What operators may do wrong over HTTP, each with its status and remedy; nothing was changed."""

from __future__ import annotations

from ebonyhatch.core import errors


class AdminError(errors.EbonyhatchError):
    """Base of the errors that an operator can mend.

    Attributes:
        status: HTTP status of the answer.
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
            problem="no known bearer token was sent",
            remedy="send `Authorization: Bearer TOKEN` with a token whose SHA-256 stands in "
            "access.token_sha256 of this entry's settings",
        )


class BodyTooLargeError(AdminError):
    """The body is over its limit."""

    status = 413
    kind = "body-too-large"

    def __init__(self, *, limit_bytes: int) -> None:
        super().__init__(
            problem=f"the body is larger than {limit_bytes} bytes",
            remedy="remove records that are not used any more",
        )
        self.limit_bytes = limit_bytes


class RepeatedHeaderError(AdminError):
    """A header that must be single came more than once."""

    kind = "repeated-header"

    def __init__(self, *, name: str) -> None:
        super().__init__(problem=f"{name} was sent more than once", remedy="send it once")
        self.name = name


class MediaTypeError(AdminError):
    """The body isn't announced as JSON."""

    status = 415
    kind = "media-type"

    def __init__(self, *, media_type: str) -> None:
        super().__init__(
            problem=f"a body of type {media_type[:80]!r} isn't read here",
            remedy="send JSON with `Content-Type: application/json`",
        )
        self.media_type = media_type


class ExpectationError(AdminError):
    """The expected generation can't be read."""

    kind = "bad-expectation"

    def __init__(self, *, problem: str) -> None:
        super().__init__(
            problem=problem,
            remedy='send one generation, as `?expect=7` or as `If-Match: "7"`',
        )


class NotFoundError(AdminError):
    """The path leads nowhere."""

    status = 404
    kind = "no-such-path"

    def __init__(self) -> None:
        super().__init__(
            problem="there is nothing at this path",
            remedy="look for the path in /v1/admin/openapi",
        )


class MethodError(AdminError):
    """The path doesn't take this method."""

    status = 405
    kind = "no-such-method"

    def __init__(self) -> None:
        super().__init__(
            problem="this path doesn't take that method",
            remedy="look for its methods in /v1/admin/openapi",
        )


class UnknownSubjectError(AdminError):
    """No entry that can be reached knows a job or request."""

    status = 404
    kind = "unknown-subject"

    def __init__(self, *, subject_id: str) -> None:
        super().__init__(
            problem=f"no entry that can be reached knows {subject_id[:200]!r}",
            remedy="check the id; ended work is forgotten after a while",
        )
        self.subject_id = subject_id
