"""Reading of the operator's token."""

from __future__ import annotations

import os
import pathlib

from ebonyhatch.cli import cli_errors

ENVIRONMENT_VARIABLE = "EBONYHATCH_TOKEN"

REMEDY = "write the token that `ebonyhatch keys new` printed into it"


def from_file(path: pathlib.Path) -> str:
    """Reads a token from a file that contains nothing else.

    Raises:
        cli_errors.FileError: When the file can't be read or doesn't contain exactly one token.
    """
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as reason:
        raise cli_errors.FileError(path=str(path), reason=str(reason), remedy=REMEDY) from reason
    if not token or len(token.split()) != 1:
        raise cli_errors.FileError(
            path=str(path), reason="does not contain exactly one token", remedy=REMEDY
        )
    return token


def from_environment() -> str:
    """Returns the token from the environment variable, or an empty string if it isn't set."""
    return os.environ.get(ENVIRONMENT_VARIABLE, "").strip()
