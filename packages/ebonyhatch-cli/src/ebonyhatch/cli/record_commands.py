"""The commands `ebonyhatch records ...`."""

from __future__ import annotations

import datetime
import pathlib
from collections.abc import Coroutine
from typing import Any

import click
import msgspec
from ebonyhatch.cli import (
    cli_errors,
    environment,
    exit_codes,
    options,
    printing,
    record_diff,
    record_files,
    records_client,
    views,
)
from ebonyhatch.core import record_changes, records
from returns import result


@click.group(
    epilog=options.examples(
        "ebonyhatch records check examples/records.json",
        "ebonyhatch --entry http://127.0.0.1:7110 records diff classes.json tenants.json",
        "ebonyhatch --entry http://127.0.0.1:7110 records apply --expect 7 records.json",
    ),
    name="records",
)
def group() -> None:
    """Check, compare, apply and read the operators' records.

    A records file is JSON with comments: a list of {kind, name, schema_version, ...}. Several
    files make one set, and a set is always whole: what isn't in it is removed.
    """


@group.command()
@options.FILES
@click.pass_context
def check(context: click.Context, files: tuple[pathlib.Path, ...]) -> None:
    """List every fault of a set; with --entry also against that entry's workers and release."""
    chosen = options.settings_of(context)
    offered = record_files.load(files)
    read = records.read(offered.records)
    if not isinstance(read, result.Success):
        raise cli_errors.InvalidRecordsError(faults=offered.located(read.failure().faults))
    if chosen.entry:
        _run_located(chosen, _client(chosen).check(offered.encoded), offered)
    if chosen.as_json:
        printing.json_line({"ok": True, "records": len(offered.records)})
    else:
        click.echo(f"{len(offered.records)} records, no fault")


@group.command()
@options.FILES
@click.pass_context
def diff(context: click.Context, files: tuple[pathlib.Path, ...]) -> None:
    """Show what applying a set would change; exits with 1 if anything would."""
    chosen = options.settings_of(context)
    offered = record_files.load(files)
    checked, in_force = _run_located(chosen, _compare(_client(chosen), offered), offered)
    if chosen.as_json:
        printing.json_line(checked)
    elif not checked.changes.count:
        click.echo("no change")
    else:
        _print_differences(in_force.records, offered, checked.changes)
    context.exit(exit_codes.DIFFERENT if checked.changes.count else exit_codes.OK)


@group.command()
@options.FILES
@options.EXPECT
@click.pass_context
def apply(context: click.Context, files: tuple[pathlib.Path, ...], expect: int | None) -> None:
    """Put a set in force everywhere; applying it twice changes nothing."""
    chosen = options.settings_of(context)
    offered = record_files.load(files)
    apply_call = _client(chosen).apply(offered.encoded, expect=expect)
    written = _run_located(chosen, apply_call, offered)
    if chosen.as_json:
        printing.json_line(written)
    elif written.changed:
        click.echo(f"generation {written.generation} accepted")
    else:
        click.echo(f"no change: generation {written.generation} holds these records")


@group.command()
@click.pass_context
def get(context: click.Context) -> None:
    """Print the records in force, in a form that `apply` reads."""
    chosen = options.settings_of(context)
    found = chosen.run(_client(chosen).get())
    if chosen.as_json:
        printing.json_line(found)
        return
    click.echo(f"// generation {found.generation}")
    click.echo(msgspec.json.format(msgspec.json.encode(found.records), indent=2).decode())


@group.command()
@click.pass_context
def history(context: click.Context) -> None:
    """Show the last generations and what each changed."""
    chosen = options.settings_of(context)
    found = chosen.run(_client(chosen).history())
    if chosen.as_json:
        printing.json_line(found)
        return
    rows = [
        (past.generation, _time(past.written_at_s), _summary(past)) for past in found.generations
    ]
    printing.table(heads=("generation", "written (UTC)", "changes"), rows=rows)


def _client(chosen: environment.Environment) -> records_client.RecordsClient:
    return records_client.RecordsClient(client=chosen.client(), clock=chosen.time())


async def _compare(
    client: records_client.RecordsClient, offered: record_files.RecordFiles
) -> tuple[views.Checked, views.Records]:
    return await client.check(offered.encoded), await client.get()


def _run_located(
    chosen: environment.Environment,
    call: Coroutine[Any, Any, Any],
    offered: record_files.RecordFiles,
) -> Any:
    """Run a call, and name the files in the faults that it brings."""
    try:
        return chosen.run(call)
    except cli_errors.ProblemError as error:
        raise _located(error, offered) from error


def _located(
    error: cli_errors.ProblemError, offered: record_files.RecordFiles
) -> cli_errors.CliError:
    if not error.faults:
        return error
    return cli_errors.InvalidRecordsError(faults=offered.located(error.faults))


def _print_differences(
    in_force: list[dict[str, object]],
    offered: record_files.RecordFiles,
    changes: record_changes.Changes,
) -> None:
    for line in record_diff.lines(old=in_force, new=offered.records, changes=changes):
        click.echo(line)


def _time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def _summary(past: views.Past) -> str:
    more = past.changed_records - past.changes.count
    return f"{past.changes}; and {more} more" if more > 0 else str(past.changes)
