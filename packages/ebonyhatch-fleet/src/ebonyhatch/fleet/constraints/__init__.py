"""Constraints on where a task may run: a registry of predicates and scorers, one module each."""

from __future__ import annotations

from ebonyhatch.fleet.constraints import (
    interference,
    isolation,
    label,
    rack,
    registry,
    resource_fit,
    speed,
    spread,
    usable,
)

__all__ = [
    "interference",
    "isolation",
    "label",
    "rack",
    "registry",
    "resource_fit",
    "speed",
    "spread",
    "usable",
]
