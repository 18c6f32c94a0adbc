"""Conversion of one decoded record to its struct, with a fault for each invalid field."""

from __future__ import annotations

import difflib
import typing
from typing import Any

import msgspec
from ebonyhatch.core import record_faults, record_schema

HEADER_FIELDS = frozenset({"kind", "schema_version"})
"""Fields that select the struct of a record and are not part of the struct."""

MAX_UNKNOWN_FIELDS = 50
"""Maximum number of unknown fields that are listed for one object of a record."""

MAX_QUOTED_CHARACTERS = 60
"""Maximum length of quoted input in a message, characters."""


def quoted(value: object) -> str:
    """Returns the representation of an input value, truncated to `MAX_QUOTED_CHARACTERS`."""
    text = repr(value)
    return text if len(text) <= MAX_QUOTED_CHARACTERS else text[:MAX_QUOTED_CHARACTERS] + "..."


def _struct_type(kind: Any) -> type[msgspec.Struct] | None:
    for option in typing.get_args(kind) or (kind,):
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


class Converter:
    """Converts the fields of one record and collects their faults."""

    def __init__(self, *, path: str, record: str) -> None:
        self._path = path
        self._record = record
        self._faults: list[record_faults.Fault] = []

    @property
    def faults(self) -> list[record_faults.Fault]:
        """All faults found so far."""
        return self._faults

    def convert(
        self, *, raw: dict[Any, Any], struct: type[record_schema.Record]
    ) -> record_schema.Record | None:
        """Returns the converted record, or collects its faults and returns None."""
        body = {key: value for key, value in raw.items() if key not in HEADER_FIELDS}
        try:
            return msgspec.convert(body, struct)
        except msgspec.ValidationError as error:
            self._check_struct(value=body, struct=struct, path=self._path)
            if not self._faults:
                self._add(self._path, str(error), "write a value of the expected type and range")
            return None

    def _check_struct(self, *, value: Any, struct: type[msgspec.Struct], path: str) -> None:
        if not isinstance(value, dict):
            self._add(path, f"{quoted(value)} is not an object", "write an object with its fields")
            return
        known = {field.encode_name: field for field in msgspec.structs.fields(struct)}
        self._check_unknown(value=value, known=sorted(known), path=path)
        for name, field in known.items():
            if name in value:
                self._check_value(value=value[name], kind=field.type, path=f"{path}.{name}")
            elif field.required:
                self._add(f"{path}.{name}", "the field is missing", "add it")

    def _check_unknown(self, *, value: dict[Any, Any], known: list[str], path: str) -> None:
        unknown = [name for name in value if name not in known]
        for name in unknown[:MAX_UNKNOWN_FIELDS]:
            close = difflib.get_close_matches(str(name)[:MAX_QUOTED_CHARACTERS], known, n=1)
            remedy = f"did you mean {close[0]!r}?" if close else f"use one of {', '.join(known)}"
            self._add(f"{path}.{quoted(name)}", "unknown field", remedy)

    def _check_value(self, *, value: Any, kind: Any, path: str) -> None:
        struct = _struct_type(kind)
        if struct is not None and value is not None:
            self._check_struct(value=value, struct=struct, path=path)
            return
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            problem, _, inner = str(error).partition(" - at `$")
            where = path + inner.rstrip("`")
            reason = problem[:1].lower() + problem[1:]
            self._add(
                where, f"{quoted(value)}: {reason}", "write a value of the expected type and range"
            )

    def _add(self, path: str, problem: str, remedy: str) -> None:
        self._faults.append(
            record_faults.Fault(path=path, record=self._record, problem=problem, remedy=remedy)
        )
