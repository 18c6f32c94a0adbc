"""The command `ebonyhatch bench`."""

from __future__ import annotations

import importlib
import pkgutil
from typing import Any

import click
from ebonyhatch.cli import cli_errors, options

PACKAGE = "ebonyhatch.testing.benches"

DEFAULT_SEEDS = (1, 2, 3, 4, 5)


@click.command(
    epilog=options.examples(
        "ebonyhatch bench crest --quick", "ebonyhatch bench crest --seed 1 --seed 2"
    )
)
@click.argument("name")
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="May be repeated; seeds 1 to 5 if omitted."
)
@click.option("--quick", is_flag=True, help="A short trial run; don't use its figures as results.")
def bench(name: str, seeds: tuple[int, ...], quick: bool) -> None:
    """Run a bench of the package ebonyhatch-testing."""
    registry = load_registry()
    known = registry.names()
    if name not in known:
        raise cli_errors.BenchError(
            problem=f"no bench is named {name!r}",
            remedy=f"choose one of {', '.join(known) or 'none: there are no benches'}",
        )
    registry.run(name=name, seeds=seeds or DEFAULT_SEEDS, quick=quick)


def load_registry() -> Any:
    """Imports every bench, which registers it, and returns the registry.

    Raises:
        cli_errors.BenchError: When the package of the benches isn't installed.
    """
    try:
        package = importlib.import_module(PACKAGE)
    except ModuleNotFoundError as reason:
        raise cli_errors.BenchError(
            problem="the benches are not installed",
            remedy="install the package ebonyhatch-testing of the same release",
        ) from reason
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"{PACKAGE}.{module.name}")
    return importlib.import_module(f"{PACKAGE}.registry")
