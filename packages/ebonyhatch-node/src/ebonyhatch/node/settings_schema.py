"""The JSON schema of the settings: validates settings trees and lists the settings."""

from __future__ import annotations

import functools
import importlib.resources
import ipaddress
import json
from collections.abc import Iterator
from typing import Any, cast

import jsonschema
import msgspec

VARIABLE_PREFIX = "EBONYHATCH_"
MAX_VALUE_LENGTH = 60
SECRET_KEYS = frozenset({"secret", "token_sha256"})


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """A violation of the schema at a path."""

    path: str
    problem: str
    remedy: str


class Leaf(msgspec.Struct, frozen=True, kw_only=True):
    """A setting that a variable or a flag can override."""

    path: tuple[str, ...]
    is_text: bool
    description: str

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return VARIABLE_PREFIX + "_".join(self.path).upper()


def is_variable(name: str) -> bool:
    """Returns whether a variable has the settings prefix followed by a section name."""
    if not name.startswith(VARIABLE_PREFIX):
        return False
    section = name.removeprefix(VARIABLE_PREFIX).split("_")[0].lower()
    return section in SECTIONS


def leaf_of_variable(name: str) -> Leaf | None:
    """Returns the setting that an environment variable overrides, or None."""
    return _by_variable().get(name)


def leaf_of_path(path: tuple[str, ...]) -> Leaf | None:
    """Returns the setting at a path, or None."""
    return _by_path().get(path)


def leaves() -> tuple[Leaf, ...]:
    """Returns all settings."""
    return tuple(_by_path().values())


def problems(tree: object) -> list[Problem]:
    """Returns all violations of the schema in a settings tree, ordered by path."""
    found = [problem for error in _validator().iter_errors(tree) for problem in _problems(error)]
    return sorted(found, key=lambda problem: (problem.path, problem.problem))


@functools.cache
def _schema() -> dict[str, Any]:
    source = importlib.resources.files(__package__).joinpath("settings_schema.json")
    return json.loads(source.read_text())


SECTIONS = tuple(_schema()["properties"])
"""Names of the top-level sections."""


@functools.cache
def _validator() -> jsonschema.Draft202012Validator:
    checker = jsonschema.FormatChecker(formats=())
    checker.checks("ip", raises=ValueError)(_is_ip)
    return jsonschema.Draft202012Validator(_schema(), format_checker=checker)


def _is_ip(value: object) -> bool:
    return not isinstance(value, str) or bool(ipaddress.ip_address(value))


def _problems(error: jsonschema.ValidationError) -> Iterator[Problem]:
    path = ".".join(str(step) for step in error.absolute_path)
    if error.validator == "additionalProperties":
        yield from _unknown_keys(path, error)
    elif error.validator == "required":
        yield from _missing_keys(path, error)
    else:
        remedy = f"give {_subschema(error).get('description', 'an object of sections')}"
        yield Problem(path=path or "settings", problem=_value_problem(path, error), remedy=remedy)


def _unknown_keys(path: str, error: jsonschema.ValidationError) -> Iterator[Problem]:
    known = _subschema(error)["properties"]
    for key in cast(dict[str, Any], error.instance):
        if key not in known:
            remedy = f"remove it, or use one of {', '.join(known)}"
            yield Problem(path=_join(path, key), problem="is unknown", remedy=remedy)


def _missing_keys(path: str, error: jsonschema.ValidationError) -> Iterator[Problem]:
    # The library reports each missing key as a separate error whose message starts with the key.
    required = cast(list[str], error.validator_value)
    key = next(key for key in required if error.message.startswith(repr(key)))
    schema = _resolve(_subschema(error)["properties"][key])
    yield Problem(
        path=_join(path, key), problem="is missing", remedy=f"add {schema['description']}"
    )


def _subschema(error: jsonschema.ValidationError) -> dict[str, Any]:
    """Returns the part of the schema that an error comes from."""
    return cast(dict[str, Any], error.schema)


def _value_problem(path: str, error: jsonschema.ValidationError) -> str:
    if SECRET_KEYS.intersection(path.split(".")):
        return "has a value that is not allowed"
    displayed = repr(error.instance)
    if len(displayed) > MAX_VALUE_LENGTH:
        displayed = displayed[:MAX_VALUE_LENGTH] + "..."
    return f"is {displayed}"


def _join(path: str, key: str) -> str:
    displayed = str(key).encode("ascii", "backslashreplace").decode()
    return f"{path}.{displayed}" if path else displayed


def _resolve(schema: dict[str, Any]) -> dict[str, Any]:
    if "$ref" not in schema:
        return schema
    return _schema()["$defs"][schema["$ref"].rsplit("/", 1)[1]]


def _walk(path: tuple[str, ...], schema: dict[str, Any]) -> Iterator[Leaf]:
    schema = _resolve(schema)
    if "properties" in schema:
        for key, child in schema["properties"].items():
            yield from _walk((*path, key), child)
        return
    is_text = schema.get("type", "string") == "string"
    yield Leaf(path=path, is_text=is_text, description=schema["description"])


@functools.cache
def _by_path() -> dict[tuple[str, ...], Leaf]:
    return {leaf.path: leaf for leaf in _walk((), _schema())}


@functools.cache
def _by_variable() -> dict[str, Leaf]:
    return {leaf.variable: leaf for leaf in _by_path().values()}
