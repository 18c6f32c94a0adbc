"""The commands `ebonyhatch job ...`."""

from __future__ import annotations

import base64
import pathlib
import sys
import uuid
from typing import Any

import click
import msgspec
from ebonyhatch.cli import (
    cli_errors,
    environment,
    exit_codes,
    job_states,
    jobs_client,
    options,
    printing,
    views,
)

AMOUNTS = ("slots", "connections", "cores", "memory_gb", "accelerators")

DEFAULT_WAIT_S = 3_600.0

CLEAR_LINE = "\r\x1b[K"
"""Returns to the start of a terminal's line and empties it."""

TIMEOUT = click.option(
    "--timeout-s", type=click.FloatRange(min=0), default=DEFAULT_WAIT_S, show_default=True
)


@click.group(
    epilog=options.examples(
        "ebonyhatch --entry http://127.0.0.1:7100 job submit --class cutting --payload '{\"run_s\": 2}'",
        "ebonyhatch --entry http://127.0.0.1:7100 job wait plan-1",
    ),
    name="job",
)
def group() -> None:
    """Submit, show, cancel and wait for batch jobs.

    --entry is the callers' address of any entry.
    """


@group.command()
@click.option("--class", "work_class", required=True, help="Batch work class.")
@click.option("--tenant", default="", help="Tenant; `default` without it.")
@click.option("--job-id", default="", help="Id; made up without it.")
@click.option(
    "--demand",
    multiple=True,
    metavar="AMOUNT=NUMBER",
    help=f"One of {', '.join(AMOUNTS)}; the class's without any.",
)
@click.option("--expected-run-s", type=click.FloatRange(min=0, min_open=True))
@click.option("--payload", default="", help="A JSON object.")
@click.option(
    "--payload-file", type=click.Path(path_type=pathlib.Path), help="A file, sent as it is."
)
@click.option("--wait", is_flag=True, help="Wait for the end.")
@TIMEOUT
@click.pass_context
def submit(context: click.Context, wait: bool, timeout_s: float, **given: Any) -> None:
    """Submit a job; it is durable once this answers."""
    chosen = options.settings_of(context)
    view = chosen.run(_submit_and_wait(chosen, _body(**given), wait=wait, timeout_s=timeout_s))
    _end(context, view, waited=wait)


@group.command()
@click.argument("job_id")
@click.pass_context
def show(context: click.Context, job_id: str) -> None:
    """Show a job."""
    chosen = options.settings_of(context)
    _end(context, chosen.run(_client(chosen).show(job_id)), waited=False)


@group.command()
@click.argument("job_id")
@click.pass_context
def cancel(context: click.Context, job_id: str) -> None:
    """Cancel a job."""
    chosen = options.settings_of(context)
    _end(context, chosen.run(_client(chosen).cancel(job_id)), waited=False)


@group.command()
@click.argument("job_id")
@TIMEOUT
@click.pass_context
def wait(context: click.Context, job_id: str, timeout_s: float) -> None:
    """Wait for the end of a job; exits with 0 if it finished, else with 1."""
    chosen = options.settings_of(context)
    view = chosen.run(_wait(chosen, job_id, timeout_s=timeout_s))
    _end(context, view, waited=True)


async def _submit_and_wait(
    chosen: environment.Environment, body: dict[str, Any], *, wait: bool, timeout_s: float
) -> views.Job:
    view = await _client(chosen).submit(body)
    if not wait:
        return view
    return await _wait(chosen, view.job_id, timeout_s=timeout_s)


async def _wait(chosen: environment.Environment, job_id: str, *, timeout_s: float) -> views.Job:
    shows = not chosen.as_json and sys.stderr.isatty()
    try:
        return await _client(chosen).wait(
            job_id, timeout_s=timeout_s, on_view=_progress if shows else _no_progress
        )
    finally:
        if shows:
            click.echo(CLEAR_LINE, nl=False, err=True)


def _client(chosen: environment.Environment) -> jobs_client.JobsClient:
    return jobs_client.JobsClient(client=chosen.client(), clock=chosen.time())


def _progress(view: views.Job) -> None:
    click.echo(f"{CLEAR_LINE}{_line(view)}", nl=False, err=True)


def _no_progress(view: views.Job) -> None:
    pass


def _line(view: views.Job) -> str:
    reason = f", {view.reason}" if view.reason else ""
    return (
        f"{view.job_id}: {view.state}, {view.attempts} attempts, {view.evictions} evictions, "
        f"{view.progress_s:.1f} s kept{reason}"
    )


def _end(context: click.Context, view: views.Job, *, waited: bool) -> None:
    if options.settings_of(context).as_json:
        printing.json_line(view)
    else:
        click.echo(_line(view))
    unfinished = waited and view.state != job_states.FINISHED
    context.exit(exit_codes.DIFFERENT if unfinished else exit_codes.OK)


def _body(
    *,
    work_class: str,
    tenant: str,
    job_id: str,
    demand: tuple[str, ...],
    expected_run_s: float | None,
    payload: str,
    payload_file: pathlib.Path | None,
) -> dict[str, Any]:
    body: dict[str, Any] = {"class": work_class, "job_id": job_id or uuid.uuid4().hex}
    if tenant:
        body["tenant"] = tenant
    if demand:
        body["demand"] = dict(_amount(text) for text in demand)
    if expected_run_s is not None:
        body["expected_run_s"] = expected_run_s
    if payload or payload_file:
        body["payload"] = _payload(payload, payload_file)
    return body


def _amount(text: str) -> tuple[str, float]:
    name, _, number = text.partition("=")
    if name not in AMOUNTS:
        remedy = f"write one of {', '.join(AMOUNTS)}, as in slots=1"
        raise cli_errors.OptionError(option="--demand", problem=f"{text!r}", remedy=remedy)
    try:
        value = msgspec.json.decode(number, type=int | float)
    except msgspec.DecodeError as reason:
        problem = f"{number!r} is no number"
        raise cli_errors.OptionError(
            option="--demand", problem=problem, remedy="write it as in cores=1.5"
        ) from reason
    return name, value


def _payload(text: str, path: pathlib.Path | None) -> Any:
    if path is not None and text:
        raise cli_errors.OptionError(
            option="--payload", problem="given with --payload-file", remedy="give one of them"
        )
    if path is not None:
        try:
            return base64.b64encode(path.read_bytes()).decode()
        except OSError as reason:
            raise cli_errors.FileError(
                path=str(path), reason=str(reason.strerror), remedy="name a readable file"
            ) from reason
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError as reason:
        raise cli_errors.OptionError(
            option="--payload", problem=str(reason), remedy='write a JSON object: {"run_s": 2}'
        ) from reason
