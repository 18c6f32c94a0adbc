"""The commands `ebonyhatch status` and `ebonyhatch explain`."""

from __future__ import annotations

import click
from ebonyhatch.cli import entry_client, options, printing, views

WORKER_HEADERS = ("worker", "cell", "health", "slots", "cores", "memory", "measured cores", "age")


@click.command(epilog=options.examples("ebonyhatch --entry http://127.0.0.1:7110 status"))
@click.pass_context
def status(context: click.Context) -> None:
    """Show an entry: generation, store, cells, workers, queues, parked jobs, peers."""
    env = options.environment_of(context)
    response = env.run(env.create_client().call("GET", "/v1/admin/status"))
    report = entry_client.decode(response, views.Status)
    if env.as_json:
        click.echo(response.body.decode())
        return
    _print_summary(report)
    _print_sections(report)


@click.command(epilog=options.examples("ebonyhatch --entry http://127.0.0.1:7110 explain plan-1"))
@click.argument("subject_id", metavar="ID")
@click.pass_context
def explain(context: click.Context, subject_id: str) -> None:
    """Explain why a job or request waits, or where it was placed.

    ID is the id of a job or attempt, or the value of the Ebonyhatch-Request-Id header of a
    response.
    """
    env = options.environment_of(context)
    path = f"/v1/admin/explain/{options.quote_path_segment(subject_id)}"
    report = entry_client.decode(env.run(env.create_client().call("GET", path)), views.Explanation)
    if env.as_json:
        printing.json_line(report)
        return
    where = f"{report.entry_id}, cell {report.cell}" if report.cell else report.entry_id
    click.echo(f"{report.text} ({where})")


def _print_summary(report: views.Status) -> None:
    state = "stopping" if report.draining else "serving"
    click.echo(f"entry {report.entry_id}: {state}, generation {report.generation}")
    reachability = "reachable" if report.store.reachable else "NOT reachable"
    click.echo(f"store: {reachability}, last response {_format_age(report.store.age_s)} ago")
    click.echo(f"configuration: confirmed {_format_age(report.configuration_age_s)} ago")
    for fault in report.configuration_faults:
        click.echo(f"  {fault}")
    for warning in report.warnings:
        click.echo(f"warning: {warning}")


def _print_sections(report: views.Status) -> None:
    _print_section(
        "cells",
        ("cell", "owner", "epoch", "here", "fault"),
        [
            (cell.name, cell.owner, cell.epoch, _yes_or_no(cell.serving), cell.fault)
            for cell in report.cells
        ],
    )
    _print_section(
        f"workers ({report.worker_count})", WORKER_HEADERS, [_worker_row(w) for w in report.workers]
    )
    _print_section(
        "queues",
        ("class", "waiting", "oldest"),
        [(queue.work_class, queue.waiting, _format_age(queue.oldest_s)) for queue in report.queues],
    )
    _print_section(
        f"parked jobs ({report.parked_count})",
        ("job", "cell", "reason"),
        [(job.job_id, job.cell, job.reason) for job in report.parked],
    )
    _print_section(
        "peers",
        ("entry", "heard", "generation", "stopping"),
        [
            (p.entry_id, _format_age(p.heard_s), p.generation, _yes_or_no(p.draining))
            for p in report.peers
        ],
    )


def _print_section(title: str, headers: tuple[str, ...], rows: list[tuple[object, ...]]) -> None:
    if not rows:
        return
    click.echo(f"\n{title}")
    printing.table(headers=headers, rows=rows)


def _worker_row(worker: views.Worker) -> tuple[object, ...]:
    reserved, capacity = worker.reserved, worker.capacity
    return (
        worker.worker_id,
        worker.cell,
        worker.health,
        f"{reserved.slots}/{capacity.slots}",
        f"{reserved.cores:g}/{capacity.cores:g}",
        f"{reserved.memory_gb:g}/{capacity.memory_gb:g} GB",
        "-" if worker.measured is None else f"{worker.measured.cores:g}",
        _format_age(worker.measured_age_s),
    )


def _format_age(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f} s"


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"
