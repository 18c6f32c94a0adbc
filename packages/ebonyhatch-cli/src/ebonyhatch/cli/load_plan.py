"""Load plans: bounded arrivals, generated from a seed."""

from __future__ import annotations

import heapq
import ipaddress
import random
import urllib.parse
from collections.abc import Iterator, Sequence

import msgspec
from ebonyhatch.cli import cli_errors

MAX_RATE_PER_S = 2_000.0
"""Maximum arrivals per second over all classes."""

MAX_DURATION_S = 600.0
"""Maximum duration of a load, seconds."""


class ClassRate(msgspec.Struct, frozen=True, kw_only=True):
    """Arrival rate of the requests of a class."""

    work_class: str
    rate_per_s: float


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a load.

    Attributes:
        rates: Classes with their rates outside the crest (the peak of the load).
        duration_s: Time over which requests arrive, seconds.
        crest: Factor applied to all rates in the middle third of the duration.
        seed: Seed of the arrivals.
    """

    rates: tuple[ClassRate, ...]
    duration_s: float
    crest: float = 1.0
    seed: int = 1


class Arrival(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A request that is due.

    Attributes:
        at_s: Time at which the request is due, in seconds from the start.
        work_class: Class of the request.
        number: Number of the request within its class.
    """

    at_s: float
    work_class: str
    number: int


def validate(plan: Plan) -> None:
    """Validates that a plan is within the bounds.

    Raises:
        cli_errors.OptionError: When the plan exceeds one of the bounds.
    """
    total = sum(rate.rate_per_s for rate in plan.rates) * max(plan.crest, 1.0)
    if total > MAX_RATE_PER_S:
        raise cli_errors.OptionError(
            option="--class",
            problem=f"{total:g} requests per second at the crest are too many",
            remedy=f"stay within {MAX_RATE_PER_S:g} per second, or run several loads",
        )
    if plan.duration_s > MAX_DURATION_S:
        raise cli_errors.OptionError(
            option="--duration-s",
            problem=f"{plan.duration_s:g} s is too long",
            remedy=f"stay within {MAX_DURATION_S:g} s",
        )


def validate_loopback(url: str) -> None:
    """Validates that a load goes to a loopback address.

    Raises:
        cli_errors.OptionError: When the address is not a loopback address.
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
            remedy="load is limited to loopback addresses, as in http://127.0.0.1:7100",
        )


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """Generates the arrivals of all classes in order of time."""
    return heapq.merge(*_streams(plan.rates, plan))


def _streams(rates: Sequence[ClassRate], plan: Plan) -> list[Iterator[Arrival]]:
    return [_stream(rate, plan) for rate in rates]


def _stream(rate: ClassRate, plan: Plan) -> Iterator[Arrival]:
    """Generates a Poisson process at the peak rate, thinned to the rate at each arrival's time."""
    generator = random.Random(f"{plan.seed}/{rate.work_class}")
    peak_factor = max(plan.crest, 1.0)
    at_s = 0.0
    number = 0
    while True:
        at_s += generator.expovariate(rate.rate_per_s * peak_factor)
        if at_s >= plan.duration_s:
            return
        if generator.random() * peak_factor < _rate_factor(plan, at_s):
            yield Arrival(at_s=at_s, work_class=rate.work_class, number=number)
            number += 1


def _rate_factor(plan: Plan, at_s: float) -> float:
    in_crest = plan.duration_s / 3 <= at_s < plan.duration_s * 2 / 3
    return plan.crest if in_crest else 1.0
