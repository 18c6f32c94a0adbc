"""Options and helpers that several commands share."""

from __future__ import annotations

import pathlib
import urllib.parse
from typing import Any

import click
from ebonyhatch.cli import environment

FILES = click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(path_type=pathlib.Path),
    metavar="FILE...",
)
"""Records files."""

EXPECT = click.option(
    "--expect",
    type=click.IntRange(min=0),
    metavar="GENERATION",
    help="Generation that must be in force; without it, whichever is.",
)
"""The generation that a write is based on."""


def settings_of(context: click.Context) -> environment.Environment:
    """Give the environment of a command."""
    found: Any = context.find_object(environment.Environment)
    assert isinstance(found, environment.Environment)
    return found


def quoted(identifier: str) -> str:
    """Quote an id for a path."""
    return urllib.parse.quote(identifier, safe="")


def examples(*lines: str) -> str:
    """Write examples for the end of a help text, kept in lines."""
    return "\n".join(["\b", "Examples:", *(f"  {line}" for line in lines)])
