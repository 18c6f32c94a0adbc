"""Rules for the headers that are forwarded between caller and service."""

from __future__ import annotations

from collections.abc import Iterable

from ebonyhatch.ports import workers

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection."""

FRAMING = frozenset({"host", "content-length", "expect"})
"""Headers that are generated for each connection."""

RESERVED = frozenset(
    {
        "ebonyhatch-request-id",
        "ebonyhatch-epoch",
        "ebonyhatch-not-run",
        "ebonyhatch-newest-epoch",
    }
)
"""Headers of the worker protocol itself, which callers and services may not set."""


def end_to_end(headers: Iterable[workers.Header]) -> tuple[workers.Header, ...]:
    """Returns the headers that are forwarded end to end.

    It drops hop-by-hop headers, those that a `Connection` header names, framing headers and
    reserved headers.
    """
    lines = tuple(headers)
    dropped = HOP_BY_HOP | FRAMING | RESERVED | _named_by_connection(lines)
    return tuple(line for line in lines if line.name.strip().lower() not in dropped)


def _named_by_connection(lines: tuple[workers.Header, ...]) -> frozenset[str]:
    return frozenset(
        name.strip().lower()
        for line in lines
        if line.name.strip().lower() == "connection"
        for name in line.value.split(",")
    )
