"""Records of the simulated fleet: workers, jobs, attempts and counters."""

from __future__ import annotations

import dataclasses

from ebonyhatch.core import resources
from ebonyhatch.testing import workloads


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SimulatedWorker:
    """A worker with its declared and its true use.

    Attributes:
        declared_cores: Sum of the demands that work on the worker declares.
        cores: True use.
        requests: Request numbers by number and attempt.
        start_failure_probability: Probability that the worker rejects a task or request.
        hung: Whether work on the worker makes no progress.
    """

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
    lost: bool = False
    start_failure_probability: float = 0.0
    hung: bool = False
    speed: float = 1.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SimulatedJob:
    """A submitted job and its state."""

    generated: workloads.GeneratedJob
    submitted_at: float
    started_at: float = -1.0
    finished: bool = False
    cancelled: bool = False
    checkpointed_s: float = 0.0
    evictions: int = 0
    running: SimulatedTask | None = None


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SimulatedTask:
    """An attempt to run a job.

    Attributes:
        done_s: Work of the job done at `updated_at`, including what earlier attempts saved.
        speed_fraction: Fraction of full speed; below 1 while throttled.
        version: Incremented when a scheduled end or checkpoint becomes obsolete.
    """

    task_id: str
    job: SimulatedJob
    worker: SimulatedWorker
    done_s: float
    updated_at: float
    started_at: float
    speed_fraction: float = 1.0
    paused: bool = False
    version: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Counts:
    """Counters of one run."""

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
