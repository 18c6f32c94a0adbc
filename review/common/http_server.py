"""A small HTTP/1.1 server on asyncio, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

Reply = tuple[int, Any]
"""Status and JSON body. Status 0 closes the connection without a response."""

Handler = Callable[[str, str, dict[str, str], dict[str, str], bytes], Awaitable[Reply]]
"""Receives method, path, query, headers and body."""


async def serve(handler: Handler, *, port: int) -> asyncio.base_events.Server:
    """Listens on loopback and passes each request to the handler."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await _serve_one(handler, reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, "127.0.0.1", port, backlog=256)


async def _serve_one(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query))
    status, reply = await handler(method, url.path, query, headers, body)
    if not status:
        writer.transport.abort()
        return False
    data = json.dumps(reply).encode()
    head_bytes = (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    ).encode()
    writer.write(head_bytes + data)
    await writer.drain()
    return True
