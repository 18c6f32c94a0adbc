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
    files make one set, and a set is always complete: records that aren't in it are removed.
    """


@group.command()
@options.FILES_ARGUMENT
@click.pass_context
def check(context: click.Context, files: tuple[pathlib.Path, ...]) -> None:
    """List every fault of a set.

    With --entry, the set is also validated against that entry's workers and release.
    """
    env = options.environment_of(context)
    candidate = record_files.load(files)
    read = records.read(candidate.records)
    if not isinstance(read, result.Success):
        raise cli_errors.InvalidRecordsError(
            faults=candidate.with_file_locations(read.failure().faults)
        )
    if env.entry:
        _run_with_file_locations(env, _create_client(env).check(candidate.encoded), candidate)
    if env.as_json:
        printing.json_line({"ok": True, "records": len(candidate.records)})
    else:
        click.echo(f"{len(candidate.records)} records, no faults")


@group.command()
@options.FILES_ARGUMENT
@click.pass_context
def diff(context: click.Context, files: tuple[pathlib.Path, ...]) -> None:
    """Show what applying a set would change; exits with 1 if there are changes."""
    env = options.environment_of(context)
    candidate = record_files.load(files)
    checked, in_force = _run_with_file_locations(
        env, _compare(_create_client(env), candidate), candidate
    )
    if env.as_json:
        printing.json_line(checked)
    elif not checked.changes.count:
        click.echo("no change")
    else:
        _print_differences(in_force.records, candidate, checked.changes)
    context.exit(exit_codes.DIFFERENT if checked.changes.count else exit_codes.OK)


@group.command()
@options.FILES_ARGUMENT
@options.EXPECT_OPTION
@click.pass_context
def apply(context: click.Context, files: tuple[pathlib.Path, ...], expect: int | None) -> None:
    """Put a set in force at all entries; applying it again changes nothing."""
    env = options.environment_of(context)
    candidate = record_files.load(files)
    apply_call = _create_client(env).apply(candidate.encoded, expect=expect)
    written = _run_with_file_locations(env, apply_call, candidate)
    if env.as_json:
        printing.json_line(written)
    elif written.changed:
        click.echo(f"generation {written.generation} accepted")
    else:
        click.echo(f"no change: generation {written.generation} holds these records")


@group.command()
@click.pass_context
def get(context: click.Context) -> None:
    """Print the records in force, in the format that `apply` reads."""
    env = options.environment_of(context)
    response = env.run(_create_client(env).get())
    if env.as_json:
        printing.json_line(response)
        return
    click.echo(f"// generation {response.generation}")
    click.echo(msgspec.json.format(msgspec.json.encode(response.records), indent=2).decode())


@group.command()
@click.pass_context
def history(context: click.Context) -> None:
    """Show the most recent generations and what each of them changed."""
    env = options.environment_of(context)
    response = env.run(_create_client(env).history())
    if env.as_json:
        printing.json_line(response)
        return
    rows = [
        (summary.generation, _format_time(summary.written_at_s), _format_changes(summary))
        for summary in response.generations
    ]
    printing.table(headers=("generation", "written (UTC)", "changes"), rows=rows)


def _create_client(env: environment.Environment) -> records_client.RecordsClient:
    return records_client.RecordsClient(client=env.create_client(), clock=env.get_clock())


async def _compare(
    client: records_client.RecordsClient, candidate: record_files.RecordFiles
) -> tuple[views.CheckResult, views.Records]:
    return await client.check(candidate.encoded), await client.get()


def _run_with_file_locations(
    env: environment.Environment,
    call: Coroutine[Any, Any, Any],
    candidate: record_files.RecordFiles,
) -> Any:
    """Runs a request; reported faults are raised with the files and positions of their records."""
    try:
        return env.run(call)
    except cli_errors.ProblemError as error:
        raise _add_file_locations(error, candidate) from error


def _add_file_locations(
    error: cli_errors.ProblemError, candidate: record_files.RecordFiles
) -> cli_errors.CliError:
    if not error.faults:
        return error
    return cli_errors.InvalidRecordsError(faults=candidate.with_file_locations(error.faults))


def _print_differences(
    in_force: list[dict[str, object]],
    candidate: record_files.RecordFiles,
    changes: record_changes.Changes,
) -> None:
    for line in record_diff.diff_lines(old=in_force, new=candidate.records, changes=changes):
        click.echo(line)


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def _format_changes(summary: views.GenerationSummary) -> str:
    more = summary.changed_records - summary.changes.count
    return f"{summary.changes}; and {more} more" if more > 0 else str(summary.changes)
