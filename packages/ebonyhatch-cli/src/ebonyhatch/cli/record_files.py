"""Records files: JSON with comments, one list each, joined to one set."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Sequence
from typing import Any

import json5
import msgspec
from ebonyhatch.cli import cli_errors
from ebonyhatch.core import record_faults

INDEX_PATTERN = re.compile(r"\Arecords\[(\d+)\]")


class RecordFiles:
    """A set of records and where each of them stands."""

    def __init__(self, *, records: Sequence[Any], places: Sequence[str]) -> None:
        self._records = list(records)
        self._places = tuple(places)

    @property
    def records(self) -> list[Any]:
        """The records of all files in order."""
        return self._records

    @property
    def encoded(self) -> bytes:
        """The records in JSON."""
        return msgspec.json.encode(self._records)

    def located(self, faults: Sequence[record_faults.Fault]) -> tuple[record_faults.Fault, ...]:
        """Name the file in the path of each fault."""
        return tuple(
            msgspec.structs.replace(fault, path=self._located(fault.path)) for fault in faults
        )

    def _located(self, path: str) -> str:
        found = INDEX_PATTERN.match(path)
        if found is None or int(found[1]) >= len(self._places):
            return path
        return self._places[int(found[1])] + path[found.end() :]


def load(paths: Sequence[pathlib.Path]) -> RecordFiles:
    """Read records files.

    Raises:
        cli_errors.FileError: When one of them can't be read.
    """
    records: list[Any] = []
    places: list[str] = []
    for path in paths:
        for position, record in enumerate(_read(path)):
            records.append(record)
            places.append(f"{path}[{position}]")
    return RecordFiles(records=records, places=places)


def _read(path: pathlib.Path) -> list[Any]:
    try:
        raw = path.read_bytes()
    except OSError as reason:
        raise cli_errors.FileError(
            path=str(path), reason=str(reason.strerror), remedy="name a file that can be read"
        ) from reason
    decoded = _decode(path, raw)
    if not isinstance(decoded, list):
        raise cli_errors.FileError(
            path=str(path), reason="holds no list", remedy="write a list of records: [{...}, ...]"
        )
    return decoded


def _decode(path: pathlib.Path, raw: bytes) -> Any:
    try:
        return msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return _decode_with_comments(path, raw)


def _decode_with_comments(path: pathlib.Path, raw: bytes) -> Any:
    try:
        return json5.loads(
            raw.decode("utf-8"), allow_duplicate_keys=False, parse_constant=_refuse_constant
        )
    except (ValueError, RecursionError) as reason:
        raise cli_errors.FileError(
            path=str(path),
            reason=f"is not JSON with comments: {str(reason) or 'too deep'}",
            remedy="mend the syntax at that place",
        ) from reason


def _refuse_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not a number")
