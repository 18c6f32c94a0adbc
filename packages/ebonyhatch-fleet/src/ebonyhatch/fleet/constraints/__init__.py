"""Constraints on where a task may run: a registry of predicates and scorers, one module each."""

from __future__ import annotations

from ebonyhatch.fleet.constraints import harm, kept, label, rack, registry, room, spread, usable

__all__ = ["harm", "kept", "label", "rack", "registry", "room", "spread", "usable"]
