"""Where an operator's token is read from."""

from __future__ import annotations

import os
import pathlib

from ebonyhatch.cli import cli_errors

VARIABLE = "EBONYHATCH_TOKEN"

REMEDY = "write the token that `ebonyhatch keys new` printed into it"


def from_file(path: pathlib.Path) -> str:
    """Read a token from a file of one line.

    Raises:
        cli_errors.FileError: When there is none.
    """
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as reason:
        raise cli_errors.FileError(path=str(path), reason=str(reason), remedy=REMEDY) from reason
    if not token or len(token.split()) != 1:
        raise cli_errors.FileError(path=str(path), reason="holds no single token", remedy=REMEDY)
    return token


def from_variable() -> str:
    """Read the token from the environment; empty if there is none."""
    return os.environ.get(VARIABLE, "").strip()
