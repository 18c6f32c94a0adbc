"""Rows of the in-memory fleet: workers, attempts, jobs and what is counted."""

from __future__ import annotations

import dataclasses

from ebonyhatch.core import resources
from ebonyhatch.testing import workloads


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SimulatedWorker:
    """A worker with the truth about what runs on it."""

    worker_id: str
    rack: str
    capacity: resources.Resources
    slots: int = 0
    connections: int = 0
    declared_cores: float = 0.0
    declared_memory_gb: float = 0.0
    cores: float = 0.0
    memory_gb: float = 0.0
    tasks: dict[str, SimulatedTask] = dataclasses.field(default_factory=dict)
    requests: dict[tuple[int, int], int] = dataclasses.field(default_factory=dict)
    gone: bool = False
    fails_starts: float = 0.0
    hangs: bool = False
    speed: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SimulatedJob:
    """A submitted job and its history."""

    drawn: workloads.DrawnJob
    submitted_at: float
    started_at: float = -1.0
    finished: bool = False
    cancelled: bool = False
    saved_s: float = 0.0
    evictions: int = 0
    running: SimulatedTask | None = None


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SimulatedTask:
    """An attempt; `done_s` is work of the job done at `updated_at`."""

    task_id: str
    job: SimulatedJob
    worker: SimulatedWorker
    done_s: float
    updated_at: float
    started_at: float
    share: float = 1.0
    paused: bool = False
    version: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Counts:
    """What a run counted."""

    limits_exceeded: int = 0
    double_runs: int = 0
    double_finishes: int = 0
    evictions: int = 0
    starts: int = 0
    finished_jobs: int = 0
    redone_s: float = 0.0
    redone_evicted_s: float = 0.0
    work_s: float = 0.0
    overload_s: float = 0.0
    ticks: int = 0
    sends: int = 0
    second_sends: int = 0
