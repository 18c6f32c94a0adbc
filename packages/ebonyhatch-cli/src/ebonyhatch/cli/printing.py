"""Output for people and for scripts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import click
import msgspec
from ebonyhatch.core import errors, record_faults

GAP = "  "


def json_line(value: Any) -> None:
    """Print a value as one line of JSON."""
    click.echo(msgspec.json.encode(value).decode())


def table(*, heads: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under heads, in columns."""
    cells = [[str(cell) for cell in row] for row in (heads, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(heads))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo(GAP.join(padded).rstrip())


def faults(found: Sequence[record_faults.Fault]) -> None:
    """Print faults, one a line, to the error output."""
    for fault in found:
        click.echo(str(fault), err=True)


def error(found: errors.EbonyhatchError, *, as_json: bool) -> None:
    """Print an error with its remedy to the error output."""
    listed = getattr(found, "faults", ())
    if as_json:
        shown = {"problem": found.problem, "remedy": found.remedy, "faults": listed}
        click.echo(msgspec.json.encode(shown).decode(), err=True)
        return
    faults(listed)
    click.echo(f"ebonyhatch: {found.problem}", err=True)
    click.echo(f"  remedy: {found.remedy}", err=True)
