"""The commands `ebonyhatch status` and `ebonyhatch explain`."""

from __future__ import annotations

import click
from ebonyhatch.cli import entry_client, options, printing, views

WORKER_HEADS = ("worker", "cell", "health", "slots", "cores", "memory", "measured cores", "age")


@click.command(epilog=options.examples("ebonyhatch --entry http://127.0.0.1:7110 status"))
@click.pass_context
def status(context: click.Context) -> None:
    """Show an entry: generation, store, cells, workers, queues, parked jobs, peers."""
    chosen = options.settings_of(context)
    answer = chosen.run(chosen.client().call("GET", "/v1/admin/status"))
    found = entry_client.decode(answer, views.Status)
    if chosen.as_json:
        click.echo(answer.body.decode())
        return
    _print_head(found)
    _print_tables(found)


@click.command(epilog=options.examples("ebonyhatch --entry http://127.0.0.1:7110 explain plan-1"))
@click.argument("subject_id", metavar="ID")
@click.pass_context
def explain(context: click.Context, subject_id: str) -> None:
    """Say why a job or request waits, or where it went.

    ID is the id of a job or attempt, or what Ebonyhatch-Request-Id of an answer holds.
    """
    chosen = options.settings_of(context)
    path = f"/v1/admin/explain/{options.quoted(subject_id)}"
    found = entry_client.decode(chosen.run(chosen.client().call("GET", path)), views.Explanation)
    if chosen.as_json:
        printing.json_line(found)
        return
    where = f"{found.entry_id}, cell {found.cell}" if found.cell else found.entry_id
    click.echo(f"{found.text} ({where})")


def _print_head(found: views.Status) -> None:
    state = "stopping" if found.draining else "serving"
    click.echo(f"entry {found.entry_id}: {state}, generation {found.generation}")
    reached = "reachable" if found.store.reachable else "NOT reachable"
    click.echo(f"store: {reached}, last answer {_age(found.store.age_s)} ago")
    click.echo(f"configuration: confirmed {_age(found.configuration_age_s)} ago")
    for fault in found.configuration_faults:
        click.echo(f"  {fault}")
    for warning in found.warnings:
        click.echo(f"warning: {warning}")


def _print_tables(found: views.Status) -> None:
    _section(
        "cells",
        ("cell", "owner", "epoch", "here", "fault"),
        [
            (cell.name, cell.owner, cell.epoch, _yes(cell.serving), cell.fault)
            for cell in found.cells
        ],
    )
    _section(f"workers ({found.worker_count})", WORKER_HEADS, [_worker(w) for w in found.workers])
    _section(
        "queues",
        ("class", "waiting", "oldest"),
        [(queue.work_class, queue.waiting, _age(queue.oldest_s)) for queue in found.queues],
    )
    _section(
        f"parked jobs ({found.parked_count})",
        ("job", "cell", "reason"),
        [(job.job_id, job.cell, job.reason) for job in found.parked],
    )
    _section(
        "peers",
        ("entry", "heard", "generation", "stopping"),
        [(p.entry_id, _age(p.heard_s), p.generation, _yes(p.draining)) for p in found.peers],
    )


def _section(title: str, heads: tuple[str, ...], rows: list[tuple[object, ...]]) -> None:
    if not rows:
        return
    click.echo(f"\n{title}")
    printing.table(heads=heads, rows=rows)


def _worker(worker: views.Worker) -> tuple[object, ...]:
    reserved, capacity = worker.reserved, worker.capacity
    return (
        worker.worker_id,
        worker.cell,
        worker.health,
        f"{reserved.slots}/{capacity.slots}",
        f"{reserved.cores:g}/{capacity.cores:g}",
        f"{reserved.memory_gb:g}/{capacity.memory_gb:g} GB",
        "-" if worker.measured is None else f"{worker.measured.cores:g}",
        _age(worker.measured_age_s),
    )


def _age(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f} s"


def _yes(value: bool) -> str:
    return "yes" if value else "no"
