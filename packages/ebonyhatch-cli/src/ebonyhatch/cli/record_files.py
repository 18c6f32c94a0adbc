"""Records files: each a list in JSON with comments, combined into one set."""

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
    """A set of records, with the file and position of each."""

    def __init__(self, *, records: Sequence[Any], locations: Sequence[str]) -> None:
        self._records = list(records)
        self._locations = tuple(locations)

    @property
    def records(self) -> list[Any]:
        """The records of all files, in order."""
        return self._records

    @property
    def encoded(self) -> bytes:
        """The records encoded as JSON."""
        return msgspec.json.encode(self._records)

    def with_file_locations(
        self, faults: Sequence[record_faults.Fault]
    ) -> tuple[record_faults.Fault, ...]:
        """Returns the faults with the file and position of the record in their paths."""
        return tuple(
            msgspec.structs.replace(fault, path=self._with_file_location(fault.path))
            for fault in faults
        )

    def _with_file_location(self, path: str) -> str:
        match = INDEX_PATTERN.match(path)
        if match is None or int(match[1]) >= len(self._locations):
            return path
        return self._locations[int(match[1])] + path[match.end() :]


def load(paths: Sequence[pathlib.Path]) -> RecordFiles:
    """Reads records files.

    Raises:
        cli_errors.FileError: When a file can't be read or isn't a list.
    """
    records: list[Any] = []
    locations: list[str] = []
    for path in paths:
        for position, record in enumerate(_read(path)):
            records.append(record)
            locations.append(f"{path}[{position}]")
    return RecordFiles(records=records, locations=locations)


def _read(path: pathlib.Path) -> list[Any]:
    try:
        raw = path.read_bytes()
    except OSError as reason:
        raise cli_errors.FileError(
            path=str(path), reason=str(reason.strerror), remedy="give the path of a readable file"
        ) from reason
    decoded = _decode(path, raw)
    if not isinstance(decoded, list):
        raise cli_errors.FileError(
            path=str(path), reason="is not a list", remedy="write a list of records: [{...}, ...]"
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
            reason=f"is not JSON with comments: {str(reason) or 'too deeply nested'}",
            remedy="correct the syntax at that position",
        ) from reason


def _refuse_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not a number")
