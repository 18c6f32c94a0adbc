"""Crowds of callers that never complete their requests, and what a process holds for them."""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib
import selectors
import socket
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence

import msgspec

HOST = "127.0.0.1"
SEND_TIMEOUT_S = 120.0
"""Time after which a crowd gives up sending, seconds; it only ends a hung run."""

SEND_BYTES = 65_536
SAMPLE_PERIOD_S = 0.05
LOCK_FILE = "ebonyhatch-crowd.lock"


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What a process holds.

    Attributes:
        memory_bytes: Resident memory and the bytes of deleted files that are held open; on an
            instance without disks these files are memory too.
        descriptors: Number of open descriptors.
    """

    memory_bytes: int
    descriptors: int


def usage(pid: int) -> Usage:
    """Returns what a process holds at present.

    Raises:
        FileNotFoundError: If the process has ended.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next((one for one in status.splitlines() if one.startswith("VmRSS:")), "VmRSS: 0 kB")
    folder = f"/proc/{pid}/fd"
    names = os.listdir(folder)
    deleted_bytes = 0
    for name in names:
        with contextlib.suppress(FileNotFoundError):
            path = f"{folder}/{name}"
            if os.readlink(path).endswith(" (deleted)"):
                deleted_bytes += os.stat(path).st_size
    return Usage(memory_bytes=int(line.split()[1]) * 1024 + deleted_bytes, descriptors=len(names))


@contextlib.contextmanager
def exclusive() -> Iterator[None]:
    """Waits until no other crowd runs on this machine; crowds beside each other disturb both."""
    path = pathlib.Path(tempfile.gettempdir()) / LOCK_FILE
    with path.open("a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def chunks(payload: bytes, size: int) -> bytes:
    """Returns a payload in chunks of `size` bytes, without the last chunk of length 0."""
    pieces = (payload[start : start + size] for start in range(0, len(payload), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


def head(*, target: str, host: str, lines: Sequence[str]) -> bytes:
    """Returns the head of a POST, with further header lines."""
    return "\r\n".join([f"POST {target} HTTP/1.1", f"Host: {host}", *lines, "", ""]).encode()


def exchange(*, port: int, request: bytes, timeout_s: float) -> int:
    """Sends a request on a connection of its own; returns the status, or 0 without an answer."""
    try:
        with socket.create_connection((HOST, port), timeout=timeout_s) as one:
            one.sendall(request)
            answer = one.recv(SEND_BYTES)
    except OSError:
        return 0
    return int(answer.split()[1]) if answer.startswith(b"HTTP/1.1 ") else 0


class Crowd:
    """Connections that send what they were given and stay open."""

    def __init__(self, *, port: int, requests: Sequence[bytes]) -> None:
        self._port = port
        self._requests = requests
        self._sockets: list[socket.socket] = []

    def send(self, *, sample: Callable[[], None]) -> None:
        """Sends on all connections at once until all is sent or the connection is closed.

        Args:
            sample: Is called every `SAMPLE_PERIOD_S` meanwhile, and once at the end.
        """
        with selectors.DefaultSelector() as selector:
            for request in self._requests:
                self._connect(selector, request)
            deadline_at = time.monotonic() + SEND_TIMEOUT_S
            sampled_at = 0.0
            while selector.get_map() and time.monotonic() < deadline_at:
                for key, _ in selector.select(SAMPLE_PERIOD_S):
                    _send_part(selector, key)
                if time.monotonic() - sampled_at >= SAMPLE_PERIOD_S:
                    sample()
                    sampled_at = time.monotonic()
        sample()

    def close(self) -> None:
        """Closes all connections."""
        for one in self._sockets:
            one.close()

    def _connect(self, selector: selectors.BaseSelector, request: bytes) -> None:
        one = socket.socket()
        self._sockets.append(one)
        one.setblocking(False)
        one.connect_ex((HOST, self._port))
        selector.register(one, selectors.EVENT_WRITE, memoryview(request))


def _send_part(selector: selectors.BaseSelector, key: selectors.SelectorKey) -> None:
    one, rest = key.fileobj, key.data
    assert isinstance(one, socket.socket)
    try:
        sent = one.send(rest[:SEND_BYTES])
    except BlockingIOError:
        return
    except OSError:
        selector.unregister(one)
        return
    if sent == len(rest):
        selector.unregister(one)
    else:
        selector.modify(one, selectors.EVENT_WRITE, rest[sent:])
