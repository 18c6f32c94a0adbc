"""Configuration records of a small service, for demos and tests."""

from __future__ import annotations

RECORDS: list[dict[str, object]] = [
    {"kind": "priority", "name": "counter", "schema_version": 1, "rank": 10},
    {"kind": "priority", "name": "background", "schema_version": 1, "rank": 1},
    {
        "kind": "work_class",
        "name": "quote",
        "schema_version": 2,
        "urgency": "urgent",
        "priority": "counter",
        "deadline_s": 2.0,
        "idempotent": True,
        "demand": {"slots": 1, "connections": 1, "cores": 0.5, "memory_gb": 0.5},
    },
    {
        "kind": "work_class",
        "name": "charge",
        "schema_version": 2,
        "urgency": "urgent",
        "priority": "counter",
        "deadline_s": 2.0,
        "idempotent": False,
        "demand": {"slots": 1, "connections": 1, "cores": 0.5, "memory_gb": 0.5},
    },
    {
        "kind": "work_class",
        "name": "cutting",
        "schema_version": 2,
        "urgency": "batch",
        "priority": "background",
        "demand": {"slots": 1, "cores": 1.0, "memory_gb": 1.0},
        "expected_run_s": 2.0,
    },
    {
        "kind": "service",
        "name": "quotes",
        "schema_version": 1,
        "work_classes": ["quote", "charge"],
        "default_class": "quote",
    },
    {"kind": "tenant", "name": "default", "schema_version": 1, "weight": 1.0},
    {"kind": "tenant", "name": "workshop-1", "schema_version": 1, "weight": 2.0},
]
