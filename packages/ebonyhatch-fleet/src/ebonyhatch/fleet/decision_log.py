"""The decision log: JSON lines that are limited in rate and never block the event loop."""

from __future__ import annotations

import os
import time
from collections.abc import Mapping
from typing import Any

import eliot
import msgspec
from ebonyhatch.fleet import rows
from ebonyhatch.ports import timing

LINES_PER_S = 400.0
"""Sustained limit of lines a second; a busy owner writes about half as many."""

MAX_BURST_LINES = 1_600.0
"""Maximum number of lines that may be written at once after a time with few lines."""

RESERVED_LINES_PER_S = 100.0
"""Additional sustained limit of lines that aren't routine, a second. Without it a busy owner dropped the
lines on lost runs and restarted targets, which are the ones that explain a fault."""

MAX_RESERVED_LINES = 400.0
"""Maximum number of such lines that may be written at once in addition."""

ROUTINE_EVENTS = frozenset(
    {
        "job.completed",
        "job.known",
        "job.removed",
        "job.shown",
        "job.submitted",
        "run.ended",
        "run.order",
        "run.pace",
    }
)
"""Events whose number grows with the load; a `run.order` that isn't a task's first one is no routine."""

BUFFER_LIMIT_BYTES = 1_000_000
"""Maximum number of bytes buffered for a slow reader of the output. Lines beyond it are dropped and
counted."""

FLUSH_DELAY_S = 0.02
"""Longest time for which a line waits for others before they are written together, seconds: a
system call for each line would cost a busy owner more than the lines."""

WRITE_BYTES = 4_096
"""Number of buffered bytes that are written without that delay, and the most that one write holds if
its lines are shorter: a pipe takes as much at once, so that its reader gets whole lines."""

_OMITTED_FIELDS = frozenset({"task_uuid", "task_level"})

_ENCODER = msgspec.json.Encoder()

_LOGGER = eliot.Logger()


class DecisionLog:
    """An eliot destination that writes to a file descriptor without blocking."""

    def __init__(self, *, descriptor: int, clock: timing.Clock, common: Mapping[str, Any]) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._common = dict(common)
        self._buffer = bytearray()
        self._timer: timing.Timer | None = None
        self._held_up = False
        self._tokens = MAX_BURST_LINES
        self._reserved_tokens = MAX_RESERVED_LINES
        self._refilled_at = 0.0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped since the last written one."""
        return self._dropped

    def start(self) -> None:
        """Starts to receive log messages."""
        os.set_blocking(self._descriptor, False)
        self._refilled_at = self._clock.seconds()
        eliot.add_destinations(self._receive)

    def close(self) -> None:
        """Stops receiving messages and writes as much of the buffer as possible."""
        eliot.remove_destination(self._receive)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._flush()

    def _receive(self, message: dict[str, Any]) -> None:
        if not self._consume_token(reserved=not _is_routine(message)):
            self._dropped += 1
            return
        line = {
            name: value
            for name, value in message.items()
            if name not in _OMITTED_FIELDS and value is not None and value != ""
        }
        line.update(self._common)
        if self._dropped:
            line["lines_dropped"] = self._dropped
            self._dropped = 0
        encoded = _encode(line) + b"\n"
        if len(self._buffer) + len(encoded) > BUFFER_LIMIT_BYTES:
            self._dropped += 1
            return
        if not self._held_up and len(self._buffer) + len(encoded) > WRITE_BYTES:
            self._flush()
        self._buffer += encoded
        self._schedule_flush()

    def _consume_token(self, *, reserved: bool) -> bool:
        now = self._clock.seconds()
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(MAX_BURST_LINES, self._tokens + elapsed_s * LINES_PER_S)
        self._reserved_tokens = min(
            MAX_RESERVED_LINES, self._reserved_tokens + elapsed_s * RESERVED_LINES_PER_S
        )
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        if reserved and self._reserved_tokens >= 1.0:
            self._reserved_tokens -= 1.0
            return True
        return False

    def _schedule_flush(self) -> None:
        if self._buffer and (self._timer is None or not self._timer.active()):
            self._timer = self._clock.callLater(FLUSH_DELAY_S, self._flush_later)

    def _flush_later(self) -> None:
        self._timer = None
        self._flush()
        self._schedule_flush()

    def _flush(self) -> None:
        """Writes as much of the buffer as the reader accepts, in whole lines."""
        self._held_up = False
        while self._buffer:
            end = self._buffer.rfind(b"\n", 0, WRITE_BYTES) + 1 or self._buffer.find(b"\n") + 1
            try:
                written = os.write(self._descriptor, self._buffer[:end])
            except BlockingIOError:
                self._held_up = True
                return
            except OSError:
                # The reader has closed the output, and no other place exists to report it.
                written = len(self._buffer)
            del self._buffer[:written]


def write(event: str, **fields: Any) -> None:
    """Logs an event that is not a decision about a run."""
    _send(event, fields)


def decide(event: str, run: rows.RunRow | None, **fields: Any) -> None:
    """Logs a decision, with the fields that identify the run that it concerns."""
    if run is not None:
        job = run.task.step.job
        fields.setdefault("key", run.key)
        fields.setdefault("target", run.target.target_id)
        fields["queue"] = job.queue.name
        fields["priority"] = job.queue.priority
    key = fields.pop("key", None)
    if key is not None:
        fields["task"] = key.task
        fields["run"] = key.run
        fields["job_id"] = key.task.partition(".")[0]
    _send(event, fields)


def _send(event: str, fields: dict[str, Any]) -> None:
    """Sends a message without eliot's context of an action: no line carries a task's UUID."""
    fields["timestamp"] = time.time()
    fields["message_type"] = event
    _LOGGER.write(fields)


def _is_routine(message: Mapping[str, Any]) -> bool:
    return message.get("message_type") in ROUTINE_EVENTS and not message.get("again")


def _encode(line: dict[str, Any]) -> bytes:
    try:
        return _ENCODER.encode(line)
    except TypeError:
        return _ENCODER.encode({str(name): _to_scalar(item) for name, item in line.items()})


def _to_scalar(value: Any) -> Any:
    return value if isinstance(value, str | int | float | bool) else str(value)
