"""Options and helpers that several commands share."""

from __future__ import annotations

import pathlib
import urllib.parse
from typing import Any

import click
from ebonyhatch.cli import environment

FILES_ARGUMENT = click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(path_type=pathlib.Path),
    metavar="FILE...",
)
"""Paths of records files."""

EXPECT_OPTION = click.option(
    "--expect",
    type=click.IntRange(min=0),
    metavar="GENERATION",
    help="Generation that must be in force; any generation if omitted.",
)
"""Generation that a write expects to be in force."""


def environment_of(context: click.Context) -> environment.Environment:
    """Returns the environment of a command."""
    env: Any = context.find_object(environment.Environment)
    assert isinstance(env, environment.Environment)
    return env


def quote_path_segment(identifier: str) -> str:
    """Returns an identifier percent-encoded as one path segment of a URL."""
    return urllib.parse.quote(identifier, safe="")


def examples(*lines: str) -> str:
    """Returns examples for the end of a help text, formatted so that click keeps the line breaks."""
    return "\n".join(["\b", "Examples:", *(f"  {line}" for line in lines)])
