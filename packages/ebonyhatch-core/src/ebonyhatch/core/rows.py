"""Rows of the scheduler's tables."""

from __future__ import annotations

import dataclasses
import enum

from ebonyhatch.core import entities, interference, resources

ServiceTimeKey = tuple[int, str, interference.ColocatedClasses]
"""Second in which requests were sent, their class, and the batch classes on the worker then."""


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
    """Queue of its tenant that a job waits in, by expected run time."""

    SHORT = "short"
    LONG = "long"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class HealthRecord:
    """Decayed counts of starts and failed starts of a worker or a class.

    A start is that of a task or of a request.

    Attributes:
        starts: Decayed number of starts.
        failures: Decayed number of failed starts.
        answers: Number of answered requests.
        slowness: Mean ratio of service times to the expected one.
        failed_at: For a class: time of its last failure by worker id, seconds.
    """

    starts: float = 0.0
    failures: float = 0.0
    answers: int = 0
    slowness: float = 1.0
    failed_at: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Worker:
    """A worker with its reservations, load and health.

    Attributes:
        worker_id: Id of the worker.
        failure_domain: Failure domain of the worker.
        rack: Rack of the worker.
        capacity: Total amounts that can be reserved.
        free_slots: Slots that are not reserved; the other `free_` fields likewise.
        leaving: Whether the worker is about to leave; it gets no new work.
        tasks: Attempts that hold a reservation, by task id.
        requests: Requests that hold a reservation, by request id.
        batch_slots: Slots that attempts hold.
        reserved_for_urgent: Whether batch classes that interfere with urgent work are excluded.
        colocated_classes: Batch classes that run here, each with its number of tasks, weighted by
            their fraction of full speed.
        service_times: Count and total of service times, by second, class and batch
            classes that shared the worker then.
        load: Fraction of the processors in use, as last reported.
        load_sampled_at: Time of that sample, seconds.
        overloaded: Whether usage above a limit was measured; the worker gets no new work.
        overload_relieved_at: When batch work was last evicted because of that, seconds.
        reserved_for_job: Whether free capacity is reserved for a large job that waits for it.
        quarantined: Whether failures or slowness allow no placement except probes.
        health_record: Counts of starts and failures.
        last_answer_at: When the worker last answered a request, seconds.
        probe_in_flight: Whether a probe was sent and has no outcome yet.
        next_probe_at: When a quarantined worker may be probed next, seconds.
        probe_backoff_s: Delay before the next probe, doubled by each failed one, seconds.
        probes_passed: Probes passed in a row.
        unresolved_reservations: Reservations of sends without a known outcome, by
            `{request_id}/{attempt}`.
        predicted_slowdown: Predicted slowdown of urgent work by the batch work here, 0 for none.
        counted_free_slots: Number of slots by which the worker counts as free in the cell.
        counted_total_slots: Number of slots by which the worker counts in the cell's total.
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
    quarantined: bool = False
    reserved_for_job: bool = False
    overload_relieved_at: float = -100.0
    health_record: HealthRecord = dataclasses.field(default_factory=HealthRecord)
    last_answer_at: float = 0.0
    probe_in_flight: bool = False
    next_probe_at: float = 0.0
    probe_backoff_s: float = 0.0
    probes_passed: int = 0
    unresolved_reservations: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    colocated_classes: interference.ColocatedClasses = ()
    service_times: dict[ServiceTimeKey, list[float]] = dataclasses.field(default_factory=dict)
    load: float = 0.0
    load_sampled_at: float = -1.0
    predicted_slowdown: float = 0.0
    counted_free_slots: int = 0
    counted_total_slots: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A job that is not yet finished.

    Attributes:
        job: The job as submitted.
        attempts: Number of attempts so far.
        evictions: Number of evictions so far.
        progress_s: Work saved in the last checkpoint, seconds.
        lane: Lane in which the job is queued.
        task: Current attempt, or None while the job waits.
        parked: Whether the job is set aside because no worker of the cell is large enough.
        avoid_worker_id: Worker where the last attempt failed to start; empty for none.
        start_failures: Starts that failed in a row.
        queued_at: When the job was last queued, seconds.
        fit_checked_version: Version of the set of workers against which the fit was checked.
    """

    job: entities.Job
    attempts: int = 0
    evictions: int = 0
    progress_s: float = 0.0
    lane: Lane = Lane.SHORT
    task: Task | None = None
    parked: bool = False
    avoid_worker_id: str = ""
    fit_checked_version: int = -1
    queued_at: float = 0.0
    start_failures: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """An attempt of a job.

    Attributes:
        task_id: `{job_id}/{attempt}`.
        job: Job of the attempt.
        worker: Worker that runs the attempt.
        demand: Amounts reserved for the attempt.
        state: State of the attempt.
        placed_at: When the attempt was placed, seconds.
        resumed_s: Work of the job that was done before this attempt, seconds.
        unsaved_updated_at: Time up to which `unsaved_s` counts; also set when the attempt
            starts and when a checkpoint is done, seconds.
        speed_fraction: Fraction of full speed at which the attempt was ordered to run.
        stop_requested_at: When the attempt was last ordered to save its work or to stop, seconds.
        unsaved_s: Work done until `unsaved_updated_at` that no checkpoint holds, seconds.
    """

    task_id: str
    job: Job
    worker: Worker
    demand: resources.Resources
    state: TaskState = TaskState.STARTING
    placed_at: float = 0.0
    resumed_s: float = 0.0
    unsaved_updated_at: float = 0.0
    speed_fraction: float = 1.0
    stop_requested_at: float = 0.0
    unsaved_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Request:
    """A request that has no final outcome yet.

    Attributes:
        request: The request as it arrived.
        priority: Priority of its class.
        state: State of the request.
        attempts: Number of sends so far.
        worker: Worker of the last send, or None.
        demand: Amounts reserved for the request while it is sent.
        sent_at: When the request was last sent, seconds.
        avoid_worker_id: Worker that failed to serve the request; empty for none.
        may_have_run: Whether an earlier send may have run.
        colocated_classes: Batch classes on the worker when the request was sent.
    """

    request: entities.Request
    priority: int = 0
    state: RequestState = RequestState.QUEUED
    attempts: int = 0
    worker: Worker | None = None
    demand: resources.Resources = resources.NONE
    sent_at: float = 0.0
    avoid_worker_id: str = ""
    may_have_run: bool = False
    colocated_classes: interference.ColocatedClasses = ()


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Reserve:
    """Workers reserved for urgent work, and the slots that urgent work needs.

    Attributes:
        workers: The workers, in the order in which they were added.
        slots: Total slots of these workers.
        costly_slots: Those of the slots whose tasks would cost too much to evict.
        reclaimed: Time and number of slots of each reclaim for queued requests.
        needed_slots: Slots that urgent work is expected to need soon.
        surplus_slots: Slots beyond the need that batch work doesn't hold; negative for a shortage.
        lendable_slots: Slots that batch work may still take.
        last_fully_needed_at: When the whole reserve was last needed, seconds.
    """

    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    slots: int = 0
    costly_slots: int = 0
    reclaimed: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    needed_slots: float = 0.0
    surplus_slots: int = 0
    lendable_slots: int = 0
    last_fully_needed_at: float = 0.0
