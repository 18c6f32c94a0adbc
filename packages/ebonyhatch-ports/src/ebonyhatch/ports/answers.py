"""Decodes the responses of the platform, which are untrusted and may contain anything."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

INTEGER_LIMIT = 2**63
"""Exclusive upper bound of versions, epochs and amounts."""

T = TypeVar("T")


class Done(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a call that took effect and returns no value."""

    done: bool


class BadAnswerError(ValueError):
    """A malformed response; never leaves the package."""


def decode(body: bytes, kind: type[T]) -> T:
    """Decodes a JSON body.

    Raises:
        BadAnswerError: If it is not valid JSON of this type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadAnswerError(f"not a valid {kind.__name__}: {error}") from error


def check_count(value: int, name: str) -> int:
    """Checks and returns a version, an epoch or another count.

    Raises:
        BadAnswerError: If it is negative or too large.
    """
    if not 0 <= value < INTEGER_LIMIT:
        raise BadAnswerError(f"{name} {value} is out of range")
    return value


def check_amounts(value: Any) -> None:
    """Checks that every number in a struct is finite, not negative and not too large.

    Raises:
        BadAnswerError: If one is not.
    """
    if not _in_range(value):
        raise BadAnswerError(f"a number is out of range in {value}")


def _in_range(value: Any) -> bool:
    if isinstance(value, int | float):
        return 0 <= value < INTEGER_LIMIT
    if isinstance(value, msgspec.Struct):
        return all(map(_in_range, msgspec.structs.astuple(value)))
    if isinstance(value, tuple):
        return all(map(_in_range, value))
    return True
