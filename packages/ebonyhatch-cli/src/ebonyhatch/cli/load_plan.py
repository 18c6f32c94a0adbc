"""Plans of loads: arrivals that are drawn from a seed and bounded."""

from __future__ import annotations

import heapq
import ipaddress
import random
import urllib.parse
from collections.abc import Iterator, Sequence

import msgspec
from ebonyhatch.cli import cli_errors

RATE_LIMIT_PER_S = 2_000.0
"""Most arrivals a second, all classes together."""

DURATION_LIMIT_S = 600.0
"""Longest load."""


class ClassRate(msgspec.Struct, frozen=True, kw_only=True):
    """How often requests of a class arrive."""

    work_class: str
    rate_per_s: float


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A load.

    Attributes:
        rates: Classes with their rates outside the crest.
        duration_s: How long requests arrive.
        crest: Factor of all rates in the middle third.
        seed: Seed of the arrivals.
    """

    rates: tuple[ClassRate, ...]
    duration_s: float
    crest: float = 1.0
    seed: int = 1


class Arrival(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A request that is due.

    Attributes:
        at_s: When, seconds from the start.
        work_class: Its class.
        number: Its number within the class.
    """

    at_s: float
    work_class: str
    number: int


def check(plan: Plan) -> None:
    """Hold a plan to its bounds.

    Raises:
        cli_errors.OptionError: When it is over one of them.
    """
    total = sum(rate.rate_per_s for rate in plan.rates) * max(plan.crest, 1.0)
    if total > RATE_LIMIT_PER_S:
        raise cli_errors.OptionError(
            option="--class",
            problem=f"{total:g} requests a second at the crest",
            remedy=f"stay within {RATE_LIMIT_PER_S:g}, or run several loads",
        )
    if plan.duration_s > DURATION_LIMIT_S:
        raise cli_errors.OptionError(
            option="--duration-s",
            problem=f"{plan.duration_s:g} s",
            remedy=f"stay within {DURATION_LIMIT_S:g}",
        )


def check_loopback(url: str) -> None:
    """Hold a load to loopback.

    Raises:
        cli_errors.OptionError: When the address is any other.
    """
    host = urllib.parse.urlsplit(url).hostname or ""
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback:
        raise cli_errors.OptionError(
            option="--entry",
            problem=f"{host!r} is not a loopback address",
            remedy="load goes to loopback only, as in http://127.0.0.1:7100",
        )


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """Draw the arrivals of all classes in order of time."""
    return heapq.merge(*_streams(plan.rates, plan))


def _streams(rates: Sequence[ClassRate], plan: Plan) -> list[Iterator[Arrival]]:
    return [_stream(rate, plan) for rate in rates]


def _stream(rate: ClassRate, plan: Plan) -> Iterator[Arrival]:
    """Draw a Poisson process at the highest rate and keep each arrival by the rate of its time."""
    draw = random.Random(f"{plan.seed}/{rate.work_class}")
    highest = max(plan.crest, 1.0)
    at_s = 0.0
    number = 0
    while True:
        at_s += draw.expovariate(rate.rate_per_s * highest)
        if at_s >= plan.duration_s:
            return
        if draw.random() * highest < _factor(plan, at_s):
            yield Arrival(at_s=at_s, work_class=rate.work_class, number=number)
            number += 1


def _factor(plan: Plan, at_s: float) -> float:
    in_crest = plan.duration_s / 3 <= at_s < plan.duration_s * 2 / 3
    return plan.crest if in_crest else 1.0
