"""Problem documents (RFC 9457), the format of all HTTP errors."""

from __future__ import annotations

import math
from collections.abc import Sequence
from http import HTTPStatus

import msgspec
from ebonyhatch.core import commands, record_faults
from twisted.web import server

CONTENT_TYPE = "application/problem+json"

TYPE_PREFIX = "urn:ebonyhatch:problem:"
"""Prefix of problem types, which are URNs: they can be compared but not fetched."""


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One problem.

    Attributes:
        type: `urn:ebonyhatch:problem:` and the kind.
        title: The status in words.
        status: HTTP status.
        detail: What went wrong.
        remedy: What the reader can do about it.
        outcome: `not-run` if the call certainly took no effect, else `unknown`.
        faults: Everything that is wrong with the records that were sent.
        generation: The generation in force, where that is the matter.
    """

    type: str
    title: str
    status: int
    detail: str
    remedy: str
    outcome: commands.Outcome
    faults: tuple[record_faults.Fault, ...] = ()
    generation: int | None = None


def write(
    *,
    request: server.Request,
    status: int,
    kind: str,
    detail: str,
    remedy: str,
    outcome: commands.Outcome,
    retry_after_s: float | None = None,
    faults: Sequence[record_faults.Fault] = (),
    generation: int | None = None,
) -> bytes:
    """Sets the status and headers of an error response and encodes its body.

    Args:
        request: The request to respond to.
        status: HTTP status.
        kind: Short machine-readable name, e.g. `deadline`.
        detail: Description of the error.
        remedy: Action by which the reader can correct it.
        outcome: Whether the call certainly had no effect.
        retry_after_s: Delay after which a retry is likely to succeed; None sends no `Retry-After`.
        faults: Faults of the submitted records.
        generation: Generation in force.

    Returns:
        The body of the response.
    """
    request.setResponseCode(status)
    request.setHeader("Content-Type", CONTENT_TYPE)
    if retry_after_s is not None:
        request.setHeader("Retry-After", str(max(1, math.ceil(retry_after_s))))
    problem = Problem(
        type=TYPE_PREFIX + kind,
        title=HTTPStatus(status).phrase,
        status=status,
        detail=detail,
        remedy=remedy,
        outcome=outcome,
        faults=tuple(faults),
        generation=generation,
    )
    return msgspec.json.encode(problem)
