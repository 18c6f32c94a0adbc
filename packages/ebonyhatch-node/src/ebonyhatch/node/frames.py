"""Frames between entries: a protocol version, a correlation id and one typed message."""

from __future__ import annotations

import enum
import functools
from typing import Annotated, Any, Union

import msgspec
from ebonyhatch.core import errors
from ebonyhatch.node import messages
from returns import result

VERSION = 1
FRAME_LIMIT_BYTES = 6_000_000
"""Maximum size of a frame, bytes.

It holds a body of the largest size that the settings allow, its headers and the overhead of
both encodings.
"""

SENDER_LIMIT = 64
"""Maximum length of an entry id, characters."""

CORRELATION_LIMIT_BYTES = 32


class Kind(enum.IntEnum):
    """Purpose of a frame."""

    CALL = 1
    REPLY = 2
    SEND = 3
    PING = 4
    PONG = 5
    REFUSAL = 6


class Frame(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One frame.

    Attributes:
        version: Version of the protocol.
        kind: Purpose of the frame.
        sender: Entry id of the sender.
        correlation: Id of a call, repeated in its reply; in a one-way message, a mark that
            requests a pong, or empty.
        message: The encoded message; empty for a ping, a pong and a refusal.
    """

    version: int = VERSION
    kind: Kind
    sender: Annotated[str, msgspec.Meta(max_length=SENDER_LIMIT)]
    correlation: Annotated[bytes, msgspec.Meta(max_length=CORRELATION_LIMIT_BYTES)] = b""
    message: msgspec.Raw = msgspec.Raw()


class FrameError(errors.EbonyhatchError):
    """Base of the errors of frames that cannot be decoded and are dropped."""


class BadFrameError(FrameError):
    """The bytes are not a valid frame."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            problem=f"a peer's frame cannot be decoded: {reason}",
            remedy="make sure that only entries can reach the peers' port",
        )
        self.reason = reason


class UnknownVersionError(FrameError):
    """The frame has an unsupported version of the protocol."""

    def __init__(self, *, version: int) -> None:
        super().__init__(
            problem=f"a peer uses version {version} of the protocol, this entry version {VERSION}",
            remedy="complete the upgrade of all entries",
        )
        self.version = version


class _Version(msgspec.Struct, frozen=True, array_like=True):
    version: int


_NO_MESSAGE = msgspec.Raw(b"\xc0")
_MALFORMED = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)


def encode(
    *,
    kind: Kind,
    sender: str,
    correlation: bytes = b"",
    message: messages.Message | None = None,
) -> bytes:
    """Encodes a frame."""
    body = _NO_MESSAGE if message is None else msgspec.Raw(msgspec.msgpack.encode(message))
    frame = Frame(kind=kind, sender=sender, correlation=correlation, message=body)
    return msgspec.msgpack.encode(frame)


def decode(data: bytes) -> result.Result[Frame, FrameError]:
    """Decodes a frame, but not its message."""
    try:
        version = _version_decoder().decode(data).version
        if version != VERSION:
            return result.Failure(UnknownVersionError(version=version))
        return result.Success(_frame_decoder().decode(data))
    except _MALFORMED as error:
        return result.Failure(BadFrameError(reason=str(error)))


def decode_message(frame: Frame) -> result.Result[messages.Message, FrameError]:
    """Decodes the message of a frame."""
    try:
        return result.Success(_message_decoder().decode(frame.message))
    except _MALFORMED as error:
        return result.Failure(BadFrameError(reason=str(error)))


@functools.cache
def _version_decoder() -> msgspec.msgpack.Decoder[_Version]:
    return msgspec.msgpack.Decoder(_Version)


@functools.cache
def _frame_decoder() -> msgspec.msgpack.Decoder[Frame]:
    return msgspec.msgpack.Decoder(Frame)


@functools.cache
def _message_decoder() -> msgspec.msgpack.Decoder[Any]:
    kinds = tuple(messages.Message.__subclasses__())
    return msgspec.msgpack.Decoder(Union[kinds])  # noqa: UP007
