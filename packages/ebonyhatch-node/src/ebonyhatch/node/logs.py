"""Logging with eliot: JSON lines for machines, or a readable format for terminals."""

from __future__ import annotations

import datetime
import json
from collections.abc import Callable, Mapping
from typing import Any, TextIO

import eliot
import msgspec
from ebonyhatch.core import errors

SECRET_FIELDS = frozenset(
    {"secret", "token", "authorization", "payload", "body", "password", "token_sha256"}
)
"""Names of fields whose values are never logged."""

REDACTED = "(not logged)"
NESTING_LIMIT = 8
_HIDDEN_WHEN_READABLE = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})

Format = Callable[[Mapping[str, Any]], str]
_FORMATS: dict[str, Format] = {}


class UnknownFormatError(errors.EbonyhatchError):
    """The name of a log format is not registered."""

    def __init__(self, *, name: str) -> None:
        super().__init__(
            problem=f"unknown log format {name!r}",
            remedy=f"use one of {', '.join(sorted(_FORMATS))}",
        )
        self.name = name


class Log:
    """A log that writes each message to a stream between `start` and `close`."""

    __slots__ = ("_format", "_stream")

    def __init__(self, *, format: Format, stream: TextIO) -> None:
        self._format = format
        self._stream = stream

    def start(self) -> None:
        """Starts to receive messages."""
        eliot.add_destinations(self._write)

    def close(self) -> None:
        """Stops receiving messages."""
        eliot.remove_destination(self._write)

    def _write(self, message: Mapping[str, Any]) -> None:
        self._stream.write(self._format(redact(message)) + "\n")
        self._stream.flush()


def start(*, format: str, stream: TextIO) -> Log:
    """Starts a log.

    Args:
        format: `json` or `readable`.
        stream: Stream to which lines are written.

    Raises:
        UnknownFormatError: When there is no such format.
    """
    if format not in _FORMATS:
        raise UnknownFormatError(name=format)
    log = Log(format=_FORMATS[format], stream=stream)
    log.start()
    return log


def write(event: str, *, request_id: str = "", job_id: str = "", **fields: object) -> None:
    """Logs one event; `request_id` and `job_id` become fields if they are not empty."""
    if request_id:
        fields["request_id"] = request_id
    if job_id:
        fields["job_id"] = job_id
    eliot.log_message(message_type=event, **fields)


def write_error(event: str, *, error: BaseException | None, **fields: Any) -> None:
    """Logs an error with the name of its class and its message."""
    write(event, error_kind=type(error).__name__, error=str(error), **fields)


def redact(value: Any, *, depth: int = 0) -> Any:
    """Returns a copy of a value in which the values of secret fields are replaced."""
    if depth > NESTING_LIMIT:
        return "(too deep)"
    if isinstance(value, msgspec.Struct):
        value = msgspec.structs.asdict(value)
    if isinstance(value, Mapping):
        return {
            key: REDACTED if str(key).lower() in SECRET_FIELDS else redact(item, depth=depth + 1)
            for key, item in value.items()
        }
    if isinstance(value, list | tuple | set | frozenset):
        return [redact(item, depth=depth + 1) for item in value]
    return value


def _format(name: str) -> Callable[[Format], Format]:
    def register(function: Format) -> Format:
        _FORMATS[name] = function
        return function

    return register


@_format("json")
def _json(message: Mapping[str, Any]) -> str:
    return json.dumps(message, default=str)


@_format("readable")
def _readable(message: Mapping[str, Any]) -> str:
    time = datetime.datetime.fromtimestamp(message.get("timestamp", 0.0))
    event = message.get("message_type") or message.get("action_type", "")
    fields = [
        f"{name}={_format_value(value)}"
        for name, value in message.items()
        if name not in _HIDDEN_WHEN_READABLE
    ]
    return " ".join([time.strftime("%H:%M:%S"), str(event), *fields])


def _format_value(value: object) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return json.dumps(text) if " " in text or "\n" in text else text
