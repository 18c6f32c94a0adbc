"""Registry of benches, and the entry point that runs one as a module."""

from __future__ import annotations

import argparse
from collections.abc import Callable

Bench = Callable[..., None]
_BENCHES: dict[str, Bench] = {}
DEFAULT_SEEDS = (1, 2, 3, 4, 5)


def bench(name: str) -> Callable[[Bench], Bench]:
    """Registers a bench that takes `seeds` and `quick` by keyword."""

    def register(function: Bench) -> Bench:
        _BENCHES[name] = function
        return function

    return register


def names() -> list[str]:
    """Returns the names of all registered benches."""
    return sorted(_BENCHES)


def run(*, name: str, seeds: tuple[int, ...], quick: bool) -> None:
    """Runs a bench by name."""
    _BENCHES[name](seeds=seeds, quick=quick)


def main(name: str) -> None:
    """Runs a bench with the arguments of the command line."""
    parser = argparse.ArgumentParser(prog=f"bench {name}")
    parser.add_argument("--seeds", default=",".join(str(seed) for seed in DEFAULT_SEEDS))
    parser.add_argument("--quick", action="store_true")
    arguments = parser.parse_args()
    seeds = tuple(int(seed) for seed in arguments.seeds.split(","))
    run(name=name, seeds=seeds, quick=arguments.quick)
