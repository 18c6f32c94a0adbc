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

RESOURCE_NAMES = ("slots", "connections", "cores", "memory_gb", "accelerators")

DEFAULT_TIMEOUT_S = 3_600.0

CLEAR_LINE = "\r\x1b[K"
"""Control sequence that returns to the start of the terminal's line and clears it."""

TIMEOUT_OPTION = click.option(
    "--timeout-s", type=click.FloatRange(min=0), default=DEFAULT_TIMEOUT_S, show_default=True
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
@click.option("--tenant", default="", help="Tenant; `default` if omitted.")
@click.option("--job-id", default="", help="Id of the job; generated if omitted.")
@click.option(
    "--demand",
    multiple=True,
    metavar="AMOUNT=NUMBER",
    help=f"One of {', '.join(RESOURCE_NAMES)}; the demand of the class if omitted.",
)
@click.option("--expected-run-s", type=click.FloatRange(min=0, min_open=True))
@click.option("--payload", default="", help="A JSON object.")
@click.option(
    "--payload-file", type=click.Path(path_type=pathlib.Path), help="A file that is sent unchanged."
)
@click.option("--wait", is_flag=True, help="Wait until the job has ended.")
@TIMEOUT_OPTION
@click.pass_context
def submit(context: click.Context, wait: bool, timeout_s: float, **job_options: Any) -> None:
    """Submit a job; it is durable once this command succeeds."""
    env = options.environment_of(context)
    view = env.run(_submit_job(env, _request_body(**job_options), wait=wait, timeout_s=timeout_s))
    _print_and_exit(context, view, waited=wait)


@group.command()
@click.argument("job_id")
@click.pass_context
def show(context: click.Context, job_id: str) -> None:
    """Show a job."""
    env = options.environment_of(context)
    _print_and_exit(context, env.run(_create_client(env).show(job_id)), waited=False)


@group.command()
@click.argument("job_id")
@click.pass_context
def cancel(context: click.Context, job_id: str) -> None:
    """Cancel a job."""
    env = options.environment_of(context)
    _print_and_exit(context, env.run(_create_client(env).cancel(job_id)), waited=False)


@group.command()
@click.argument("job_id")
@TIMEOUT_OPTION
@click.pass_context
def wait(context: click.Context, job_id: str, timeout_s: float) -> None:
    """Wait until a job has ended; exits with 0 if it finished, otherwise with 1."""
    env = options.environment_of(context)
    view = env.run(_wait(env, job_id, timeout_s=timeout_s))
    _print_and_exit(context, view, waited=True)


async def _submit_job(
    env: environment.Environment, body: dict[str, Any], *, wait: bool, timeout_s: float
) -> views.Job:
    """Submits a job; if `wait` is set, also waits until it has ended."""
    view = await _create_client(env).submit(body)
    if not wait:
        return view
    return await _wait(env, view.job_id, timeout_s=timeout_s)


async def _wait(env: environment.Environment, job_id: str, *, timeout_s: float) -> views.Job:
    show_progress = not env.as_json and sys.stderr.isatty()
    try:
        return await _create_client(env).wait(
            job_id,
            timeout_s=timeout_s,
            on_view=_print_progress if show_progress else _ignore_progress,
        )
    finally:
        if show_progress:
            click.echo(CLEAR_LINE, nl=False, err=True)


def _create_client(env: environment.Environment) -> jobs_client.JobsClient:
    return jobs_client.JobsClient(client=env.create_client(), clock=env.get_clock())


def _print_progress(view: views.Job) -> None:
    click.echo(f"{CLEAR_LINE}{_format_job(view)}", nl=False, err=True)


def _ignore_progress(view: views.Job) -> None:
    pass


def _format_job(view: views.Job) -> str:
    reason = f", {view.reason}" if view.reason else ""
    return (
        f"{view.job_id}: {view.state}, {view.attempts} attempts, {view.evictions} evictions, "
        f"{view.progress_s:.1f} s of progress{reason}"
    )


def _print_and_exit(context: click.Context, view: views.Job, *, waited: bool) -> None:
    if options.environment_of(context).as_json:
        printing.json_line(view)
    else:
        click.echo(_format_job(view))
    not_finished = waited and view.state != job_states.FINISHED
    context.exit(exit_codes.DIFFERENT if not_finished else exit_codes.OK)


def _request_body(
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
        body["demand"] = dict(_parse_demand(text) for text in demand)
    if expected_run_s is not None:
        body["expected_run_s"] = expected_run_s
    if payload or payload_file:
        body["payload"] = _read_payload(payload, payload_file)
    return body


def _parse_demand(text: str) -> tuple[str, float]:
    name, _, number = text.partition("=")
    if name not in RESOURCE_NAMES:
        remedy = f"write one of {', '.join(RESOURCE_NAMES)}, as in slots=1"
        raise cli_errors.OptionError(
            option="--demand", problem=f"{text!r} names no known resource", remedy=remedy
        )
    try:
        value = msgspec.json.decode(number, type=int | float)
    except msgspec.DecodeError as reason:
        problem = f"{number!r} is not a number"
        raise cli_errors.OptionError(
            option="--demand", problem=problem, remedy="write a number, as in cores=1.5"
        ) from reason
    return name, value


def _read_payload(text: str, path: pathlib.Path | None) -> Any:
    if path is not None and text:
        raise cli_errors.OptionError(
            option="--payload",
            problem="given together with --payload-file",
            remedy="give only one of them",
        )
    if path is not None:
        try:
            return base64.b64encode(path.read_bytes()).decode()
        except OSError as reason:
            raise cli_errors.FileError(
                path=str(path),
                reason=str(reason.strerror),
                remedy="give the path of a readable file",
            ) from reason
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError as reason:
        raise cli_errors.OptionError(
            option="--payload", problem=str(reason), remedy='write a JSON object: {"run_s": 2}'
        ) from reason
