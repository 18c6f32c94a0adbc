"""The command `ebonyhatch load`."""

from __future__ import annotations

from typing import Any

import click
from ebonyhatch.cli import (
    cli_errors,
    environment,
    load_plan,
    load_report,
    load_requests,
    load_run,
    options,
    printing,
)

MAX_BODY_BYTES = 100_000


@click.command(
    epilog=options.examples(
        "ebonyhatch --entry http://127.0.0.1:7100 load --service quotes --class quote=50 --duration-s 30 --crest 3.2 --seed 1 --verify-echo"
    )
)
@click.option("--service", required=True, help="Service to call.")
@click.option(
    "--class",
    "rates",
    multiple=True,
    required=True,
    metavar="CLASS=RATE",
    help="Work class and its arrivals per second; may be repeated.",
)
@click.option("--duration-s", type=click.FloatRange(min=0.1), default=10.0, show_default=True)
@click.option(
    "--crest",
    type=click.FloatRange(min=1.0),
    default=1.0,
    show_default=True,
    help="Factor applied to all rates in the middle third of the run.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--tenant", default="", help="Tenant; `default` if omitted.")
@click.option("--timeout-ms", type=click.IntRange(min=1), help="Ebonyhatch-Timeout-Ms.")
@click.option(
    "--body-bytes", type=click.IntRange(0, MAX_BODY_BYTES), default=100, show_default=True
)
@click.option("--keyed", is_flag=True, help="Send an Idempotency-Key with each request.")
@click.option(
    "--verify-echo", is_flag=True, help="Count responses whose body is not the body sent."
)
@click.pass_context
def load(
    context: click.Context,
    rates: tuple[str, ...],
    duration_s: float,
    crest: float,
    seed: int,
    **request_options: Any,
) -> None:
    """Send a bounded, seeded load to an entry on loopback and report latencies by class.

    Arrivals don't wait for responses, and latency is measured from the time at which a request
    was due.
    """
    env = options.environment_of(context)
    plan = load_plan.Plan(
        rates=tuple(_rate(text) for text in rates), duration_s=duration_s, crest=crest, seed=seed
    )
    if not env.entry:
        raise cli_errors.NoEntryError
    load_plan.validate(plan)
    load_plan.validate_loopback(env.entry)
    report = env.run(_run(env, plan, request_options))
    if not env.as_json:
        report.print()
    printing.json_line(report.summary())


async def _run(
    env: environment.Environment, plan: load_plan.Plan, request_options: dict[str, Any]
) -> load_report.Report:
    requests = load_requests.LoadRequests(
        base_url=env.entry, http=env.create_load_client(), seed=plan.seed, **request_options
    )
    run = load_run.LoadRun(plan=plan, send=requests.send, clock=env.get_clock())
    return await run.start()


def _rate(text: str) -> load_plan.ClassRate:
    name, _, number = text.partition("=")
    try:
        rate = float(number)
    except ValueError:
        rate = 0.0
    if not name or not 0.0 < rate <= load_plan.MAX_RATE_PER_S:
        raise cli_errors.OptionError(
            option="--class",
            problem=f"{text!r} has no class, or no rate within the limits",
            remedy="write CLASS=RATE, as in quote=50",
        )
    return load_plan.ClassRate(work_class=name, rate_per_s=rate)
