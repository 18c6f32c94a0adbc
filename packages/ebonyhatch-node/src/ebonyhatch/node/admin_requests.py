"""Reads tokens, headers, expected generations and bodies from operators' requests."""

from __future__ import annotations

import re

from ebonyhatch.node import access, admin_errors
from twisted.web import server

JSON_TYPES = ("", "application/json")
"""Accepted media types of a body; the empty one stands for a missing `Content-Type`."""

GENERATION_PATTERN = re.compile(r'(?:W/)?"?(\d{1,16})"?')

ANY_GENERATION = "*"


def admit(*, request: server.Request, access: access.Access) -> None:
    """Checks the access of a request.

    Raises:
        admin_errors.AdminError: If it has no known token.
    """
    if not access.allows(authorization=header(request=request, name="Authorization")):
        raise admin_errors.AccessDeniedError


def header(*, request: server.Request, name: str) -> str:
    """Returns the value of a header that may appear once; empty if it is absent.

    Raises:
        admin_errors.RepeatedHeaderError: If it was sent more than once.
    """
    values = request.requestHeaders.getRawHeaders(name.encode("ascii")) or []
    if len(values) > 1:
        raise admin_errors.RepeatedHeaderError(name=name)
    return values[0].decode("latin-1").strip() if values else ""


def body(*, request: server.Request) -> bytes:
    """Returns a JSON body, not decoded.

    Raises:
        admin_errors.MediaTypeError: If its `Content-Type` is not JSON.
    """
    media_type = header(request=request, name="Content-Type").partition(";")[0].strip().lower()
    if media_type not in JSON_TYPES:
        raise admin_errors.MediaTypeError(media_type=media_type)
    return b"" if request.content is None else request.content.read()


def expectation(*, request: server.Request) -> int | None:
    """Returns the generation that must be in force, from `?expect=` or `If-Match`.

    Raises:
        admin_errors.ExpectationError: If it is malformed or the two differ.
    """
    expectations = [
        _generation(text)
        for text in (_query(request), header(request=request, name="If-Match"))
        if text not in ("", ANY_GENERATION)
    ]
    if len(set(expectations)) > 1:
        raise admin_errors.ExpectationError(problem="expect and If-Match differ")
    return expectations[0] if expectations else None


def _query(request: server.Request) -> str:
    values = request.args.get(b"expect", [])
    if len(values) > 1:
        raise admin_errors.ExpectationError(problem="expect was sent more than once")
    return values[0].decode("latin-1") if values else ""


def _generation(text: str) -> int:
    found = GENERATION_PATTERN.fullmatch(text)
    if found is None or not text.isascii():
        raise admin_errors.ExpectationError(problem=f"{text[:40]!r} is not a generation")
    return int(found[1])
