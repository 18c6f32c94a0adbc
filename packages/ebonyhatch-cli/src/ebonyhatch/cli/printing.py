"""Text output for people, and JSON output for scripts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import click
import msgspec
from ebonyhatch.core import errors, record_faults

COLUMN_SEPARATOR = "  "


def json_line(value: Any) -> None:
    """Prints a value as one line of JSON."""
    click.echo(msgspec.json.encode(value).decode())


def table(*, headers: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Prints rows in aligned columns below their headers."""
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo(COLUMN_SEPARATOR.join(padded).rstrip())


def faults(reported: Sequence[record_faults.Fault]) -> None:
    """Prints faults to standard error, one per line."""
    for fault in reported:
        click.echo(str(fault), err=True)


def error(reported: errors.EbonyhatchError, *, as_json: bool) -> None:
    """Prints an error with its remedy to standard error."""
    reported_faults = getattr(reported, "faults", ())
    if as_json:
        error_document = {
            "problem": reported.problem,
            "remedy": reported.remedy,
            "faults": reported_faults,
        }
        click.echo(msgspec.json.encode(error_document).decode(), err=True)
        return
    faults(reported_faults)
    click.echo(f"ebonyhatch: {reported.problem}", err=True)
    click.echo(f"  remedy: {reported.remedy}", err=True)
