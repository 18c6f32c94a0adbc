"""Rows of the scheduler's tables."""

from __future__ import annotations

import dataclasses
import enum

from ebonyhatch.core import entities, interference, resources

AnswersKey = tuple[int, str, interference.Composition]
"""Second in which requests were sent, their class, and the sharers then."""


class TaskState(enum.Enum):
    """State of an attempt, as far as the scheduler knows."""

    STARTING = "starting"
    RUNNING = "running"
    EVICTING = "evicting"
    STOPPING = "stopping"


class RequestState(enum.Enum):
    """State of a request."""

    QUEUED = "queued"
    SENT = "sent"
    WITHDRAWN = "withdrawn"


class Lane(enum.Enum):
    """Which queue of its tenant a job waits in."""

    SHORT = "short"
    LONG = "long"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class HealthRecord:
    """Decayed counts of starts and failed starts of a worker or a class.

    Attributes:
        weight: Starts.
        failures: Failed starts.
        answers: Answers of requests.
        slowness: Mean ratio of service times to the expected one.
        workers: Of a class: when it failed last, by worker.
    """

    weight: float = 0.0
    failures: float = 0.0
    answers: int = 0
    slowness: float = 1.0
    workers: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Worker:
    """A worker and what is reserved on it.

    Attributes:
        worker_id: Its id.
        failure_domain: Its failure domain.
        rack: Its rack.
        capacity: What it holds.
        free_slots: Slots that are not reserved; the other `free_` fields likewise.
        leaving: Nothing new may be placed on it.
        tasks: Attempts that hold a reservation, by task id.
        requests: Requests that hold a reservation, by request id.
        batch_slots: Slots that attempts hold.
        reserved_for_urgent: Kept free of batch classes that do harm.
        sharers: Batch classes that run here with their numbers at full speed.
        answers: Count and total of service times by second, class and sharers then.
        load: Share of its processors in use, as last reported.
        load_at: Time of that sample, seconds.
        overloaded: Measured above a limit; takes nothing.
        relieved_at: When batch work was last taken back for that, seconds.
        held: Its room is held for a job that waits for it.
        barred: Its health allows no placement but probes.
        standing: Counts of its failures.
        answered_at: When it answered a request last, seconds.
        probing: A probe is on its way.
        probe_at: When a barred worker may be probed next, seconds.
        probe_after_s: Wait after the next failed probe, seconds.
        probes_passed: Probes passed in a row.
        hedged: Reservations of requests that were tried elsewhere since, by id.
        penalty: Predicted slowdown of urgent work by the batch work here, 0 for none.
        counted_free: Its part of the cell's count of free slots.
        counted_total: Its part of the cell's count of slots.
    """

    worker_id: str
    failure_domain: str
    rack: str
    capacity: resources.Resources
    free_slots: int = 0
    free_connections: int = 0
    free_cores: float = 0.0
    free_memory_gb: float = 0.0
    free_accelerators: int = 0
    leaving: bool = False
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    batch_slots: int = 0
    reserved_for_urgent: bool = False
    overloaded: bool = False
    barred: bool = False
    held: bool = False
    relieved_at: float = -100.0
    standing: HealthRecord = dataclasses.field(default_factory=HealthRecord)
    answered_at: float = 0.0
    probing: bool = False
    probe_at: float = 0.0
    probe_after_s: float = 0.0
    probes_passed: int = 0
    unresolved_reservations: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    sharers: interference.Composition = ()
    answers: dict[AnswersKey, list[float]] = dataclasses.field(default_factory=dict)
    load: float = 0.0
    load_at: float = -1.0
    penalty: float = 0.0
    counted_free: int = 0
    counted_total: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A job that is not yet finished.

    Attributes:
        job: The job as submitted.
        attempts: Attempts so far.
        evictions: Evictions so far.
        progress_s: Work kept in the last checkpoint, seconds.
        lane: Queue it waits in.
        task: Its current attempt, or None while it waits.
        parked: No worker of the cell can hold it.
        avoid_worker_id: Worker where its last attempt failed to start; empty for none.
        start_failures: Starts that failed in a row.
        queued_at: When it was queued last, seconds.
        judged_at: Version of the set of workers that it was judged against.
    """

    job: entities.Job
    attempts: int = 0
    evictions: int = 0
    progress_s: float = 0.0
    lane: Lane = Lane.SHORT
    task: Task | None = None
    parked: bool = False
    avoid_worker_id: str = ""
    judged_at: int = -1
    queued_at: float = 0.0
    start_failures: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """An attempt of a job.

    Attributes:
        task_id: `{job_id}/{attempt}`.
        job: Its job.
        worker: Where it runs.
        demand: What is reserved for it.
        state: Its state.
        placed_at: When it was placed, seconds.
        resumed_s: Work of the job that was done before this attempt, seconds.
        saved_at: When the last checkpoint was done, or `unsaved_s` was worked out, seconds.
        share: Share of its speed that it was told to run at.
        asked_at: When it was last told to save its work or to stop, seconds.
        unsaved_s: Work done until `saved_at` that no checkpoint keeps, seconds.
    """

    task_id: str
    job: Job
    worker: Worker
    demand: resources.Resources
    state: TaskState = TaskState.STARTING
    placed_at: float = 0.0
    resumed_s: float = 0.0
    saved_at: float = 0.0
    share: float = 1.0
    asked_at: float = 0.0
    unsaved_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Request:
    """A request that has no final outcome yet.

    Attributes:
        request: The request as it arrived.
        priority: Priority of its class.
        state: Its state.
        attempts: Times it was sent.
        worker: Where it was sent last, or None.
        demand: What is reserved for it while it is sent.
        sent_at: When it was sent last, seconds.
        avoid_worker_id: Worker that did not serve it; empty for none.
        maybe_ran: A former try may have run.
        sharers: Sharers of the worker when it was sent.
    """

    request: entities.Request
    priority: int = 0
    state: RequestState = RequestState.QUEUED
    attempts: int = 0
    worker: Worker | None = None
    demand: resources.Resources = resources.NONE
    sent_at: float = 0.0
    avoid_worker_id: str = ""
    maybe_ran: bool = False
    sharers: interference.Composition = ()


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Reserve:
    """Workers kept for urgent work.

    Attributes:
        workers: The workers, in the order in which they were added.
        slots: Their slots.
        held_costly: Slots of them that would cost too much to take back.
        relieved: When slots were taken back for a queue, and how many.
        need: Slots that urgent work needs soon.
        surplus: Slots beyond the need that batch work doesn't hold; below 0, what is short.
        lendable: Slots that batch work may still take.
        enough_since: When all of the reserve was last needed, seconds.
    """

    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    slots: int = 0
    held_costly: int = 0
    relieved: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    need: float = 0.0
    surplus: int = 0
    lendable: int = 0
    enough_since: float = 0.0
