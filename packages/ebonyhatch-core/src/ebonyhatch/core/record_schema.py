"""Registry of record structs, and of functions that upgrade records between schema versions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec
from ebonyhatch.core import errors

Name = Annotated[str, msgspec.Meta(pattern=r"\A[a-z0-9][a-z0-9._-]{0,62}\Z")]
"""Name of a record: lower case letters, digits, `.`, `_` and `-`; at most 63 characters."""

OptionalName = Annotated[str, msgspec.Meta(pattern=r"\A([a-z0-9][a-z0-9._-]{0,62})?\Z")]
"""Name of a record that another record may refer to; empty for none."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
"""A finite, non-negative amount."""

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
"""A non-negative integer."""


class Record(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all record structs.

    Attributes:
        name: Name of the record, unique within its kind.
    """

    name: Name


class Demand(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An amount of each kind of resource, as written in records."""

    slots: Count = 0
    connections: Count = 0
    cores: Amount = 0.0
    memory_gb: Amount = 0.0
    accelerators: Count = 0


class DuplicateSchemaError(errors.EbonyhatchError):
    """A schema version, or an upgrade from it, was registered twice."""

    def __init__(self, *, kind: str, schema_version: int) -> None:
        super().__init__(
            problem=f"schema version {schema_version} of {kind} is registered twice",
            remedy="register the newer one under the next schema version",
        )
        self.kind = kind
        self.schema_version = schema_version


StructT = TypeVar("StructT", bound=type[Record])
UpgradeT = TypeVar("UpgradeT", bound=Callable[[Any], Record])

_SCHEMAS: dict[str, dict[int, type[Record]]] = {}
_UPGRADES: dict[tuple[str, int], Callable[[Any], Record]] = {}


def schema(*, kind: str, schema_version: int) -> Callable[[StructT], StructT]:
    """Returns a decorator that registers a struct for a schema version of a kind."""

    def register(struct: StructT) -> StructT:
        versions = _SCHEMAS.setdefault(kind, {})
        if schema_version in versions:
            raise DuplicateSchemaError(kind=kind, schema_version=schema_version)
        versions[schema_version] = struct
        return struct

    return register


def upgrade(*, kind: str, from_version: int) -> Callable[[UpgradeT], UpgradeT]:
    """Returns a decorator that registers an upgrade from `from_version` to the next version."""

    def register(function: UpgradeT) -> UpgradeT:
        if (kind, from_version) in _UPGRADES:
            raise DuplicateSchemaError(kind=kind, schema_version=from_version)
        _UPGRADES[(kind, from_version)] = function
        return function

    return register


def kinds() -> tuple[str, ...]:
    """Returns the names of all kinds in alphabetical order."""
    return tuple(sorted(_SCHEMAS))


def versions(*, kind: str) -> tuple[int, ...]:
    """Returns the schema versions of a kind that this release reads, oldest first."""
    return tuple(sorted(_SCHEMAS[kind]))


def struct(*, kind: str, schema_version: int) -> type[Record]:
    """Returns the struct of a schema version."""
    return _SCHEMAS[kind][schema_version]


def upgraded(*, kind: str, schema_version: int, record: Record) -> Record:
    """Returns a record upgraded, version by version, to the newest schema version of its kind."""
    for version in range(schema_version, versions(kind=kind)[-1]):
        record = _UPGRADES[(kind, version)](record)
    return record
