"""Bench `capacity`: cost slopes of all components and the load they predict at design size."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from ebonyhatch.testing.benches import (
    capacity_cell,
    capacity_daemon,
    capacity_entries,
    capacity_instances,
    capacity_metrics,
    capacity_model,
    capacity_peers,
    capacity_scheduler,
    capacity_slopes,
    registry,
)

PROBE_MODULES = (
    capacity_metrics,
    capacity_scheduler,
    capacity_daemon,
    capacity_cell,
    capacity_entries,
    capacity_instances,
    capacity_peers,
)
"""Modules that register probes; those that measure memory come first."""


@registry.bench("capacity")
def capacity(*, seeds: tuple[int, ...], quick: bool = False) -> None:
    """Measures every slope; prints the tables and the final JSON line."""
    slopes: dict[str, capacity_slopes.Slope] = {}
    for name, probe in _ordered_probes():
        for slope in probe(seed=seeds[0], quick=quick):
            slopes[slope.name] = slope
            print(f"{name} | {_format_slope(slope)}", flush=True)
    fleets = _fleets(slopes)
    for fleet in fleets:
        for row in _rows(slopes, fleet):
            print(f"{fleet.name} | {_format_row(row)}")
    print(json.dumps(_summary(slopes, fleets, seeds)))


def _ordered_probes() -> list[tuple[str, capacity_slopes.Probe]]:
    order = [module.__name__ for module in PROBE_MODULES]
    probes = capacity_slopes.probes().items()
    return sorted(probes, key=lambda item: order.index(item[1].__module__))


def _fleets(slopes: dict[str, capacity_slopes.Slope]) -> list[capacity_model.Fleet]:
    """Returns today's fleet, and the design size with six and with sufficient entries.

    The last has at least one entry for each failure domain.
    """
    design_six = capacity_model.DESIGN_SIX_ENTRIES
    needed = capacity_model.Model(slopes=slopes, fleet=design_six).entries_needed()
    needed = max(needed, design_six.domains)
    sufficient = msgspec.structs.replace(
        design_six, name=f"letter, {needed} entries", entries=needed
    )
    return [capacity_model.TODAY, design_six, sufficient]


def _rows(
    slopes: dict[str, capacity_slopes.Slope], fleet: capacity_model.Fleet
) -> list[capacity_model.Row]:
    return capacity_model.Model(slopes=slopes, fleet=fleet).rows()


def _format_slope(slope: capacity_slopes.Slope) -> str:
    points = ", ".join(f"{point.size:g}: {point.value:.4g}" for point in slope.points)
    line = f"{slope.fixed:.4g} + {slope.per_unit:.4g} each"
    return f"{slope.name} | {slope.unit} | {slope.per} | {points} | {line}"


def _format_row(row: capacity_model.Row) -> str:
    limit = "" if row.limit is None else f"{row.limit:g} {'met' if row.met else 'MISSED'}"
    return f"{row.role} | {row.what} | {row.value:.4g} | {row.unit} | {limit}"


def _summary(
    slopes: dict[str, capacity_slopes.Slope],
    fleets: list[capacity_model.Fleet],
    seeds: tuple[int, ...],
) -> dict[str, Any]:
    today, _, sufficient = fleets
    targets = {
        f"{fleet.name}: {row.role}: {row.what} ({row.unit})": {
            "target": row.limit,
            "measured": round(row.value, 3),
            "met": row.met,
        }
        for fleet in fleets
        for row in _rows(slopes, fleet)
        if row.limit is not None
    }
    return {
        "bench": "capacity",
        "seed": list(seeds),
        "figures": _figures(_rows(slopes, sufficient)),
        "baseline": {today.name: _figures(_rows(slopes, today))},
        "targets": targets,
    }


def _figures(rows: list[capacity_model.Row]) -> dict[str, float]:
    return {f"{row.role}: {row.what} ({row.unit})": float(f"{row.value:.4g}") for row in rows}


if __name__ == "__main__":
    registry.main("capacity")
