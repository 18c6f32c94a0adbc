"""Reading of what operators send: tokens, headers, expected generations and bodies."""

from __future__ import annotations

import re

from ebonyhatch.node import access, admin_errors
from twisted.web import server

JSON_TYPES = ("", "application/json")
"""Media types of a body that is read; the empty one stands for none given."""

GENERATION_PATTERN = re.compile(r'(?:W/)?"?(\d{1,16})"?')

ANY_GENERATION = "*"


def admit(*, request: server.Request, access: access.Access) -> None:
    """Let operators through whose request can be read.

    Raises:
        admin_errors.AdminError: When it has no known token, or its body is too large.
    """
    if not access.allows(authorization=header(request=request, name="Authorization")):
        raise admin_errors.AccessDeniedError
    if getattr(request, "body_overflowed", False):
        limit = getattr(request, "body_limit_bytes", 0)
        raise admin_errors.BodyTooLargeError(limit_bytes=limit)


def header(*, request: server.Request, name: str) -> str:
    """Read a header that may come once; empty if it didn't.

    Raises:
        admin_errors.RepeatedHeaderError: When it came more than once.
    """
    values = request.requestHeaders.getRawHeaders(name.encode("ascii")) or []
    if len(values) > 1:
        raise admin_errors.RepeatedHeaderError(name=name)
    return values[0].decode("latin-1").strip() if values else ""


def body(*, request: server.Request) -> bytes:
    """Read a body of JSON, not yet decoded.

    Raises:
        admin_errors.MediaTypeError: When it is announced as something else.
    """
    media_type = header(request=request, name="Content-Type").partition(";")[0].strip().lower()
    if media_type not in JSON_TYPES:
        raise admin_errors.MediaTypeError(media_type=media_type)
    return b"" if request.content is None else request.content.read()


def expectation(*, request: server.Request) -> int | None:
    """Read the generation that must be in force, from `?expect=` or `If-Match`.

    Raises:
        admin_errors.ExpectationError: When it can't be read or both differ.
    """
    stated = [
        _generation(text)
        for text in (_query(request), header(request=request, name="If-Match"))
        if text not in ("", ANY_GENERATION)
    ]
    if len(set(stated)) > 1:
        raise admin_errors.ExpectationError(problem="expect and If-Match differ")
    return stated[0] if stated else None


def _query(request: server.Request) -> str:
    values = request.args.get(b"expect", [])
    if len(values) > 1:
        raise admin_errors.ExpectationError(problem="expect was sent more than once")
    return values[0].decode("latin-1") if values else ""


def _generation(text: str) -> int:
    found = GENERATION_PATTERN.fullmatch(text)
    if found is None or not text.isascii():
        raise admin_errors.ExpectationError(problem=f"{text[:40]!r} is no generation")
    return int(found[1])
