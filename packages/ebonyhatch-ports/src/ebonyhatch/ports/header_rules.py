"""Which header lines pass from one end to the other."""

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
"""Headers that concern one connection only."""

FRAMING = frozenset({"host", "content-length", "expect"})
"""Headers that each end makes anew."""

RESERVED = frozenset(
    {
        "ebonyhatch-request-id",
        "ebonyhatch-epoch",
        "ebonyhatch-not-run",
        "ebonyhatch-newest-epoch",
    }
)
"""Headers of the protocol itself; nobody else may set them."""


def end_to_end(headers: Iterable[workers.Header]) -> tuple[workers.Header, ...]:
    """Keep the headers that pass from one end to the other.

    Dropped are hop-by-hop headers, those that a `Connection` header names, the framing, and
    the reserved ones.
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
