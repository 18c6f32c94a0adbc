"""Rows of the scheduler's tables: targets, jobs, steps, tasks and runs."""

from __future__ import annotations

import collections
import dataclasses
import enum

from ebonyhatch.fleet import jobs, queues, targets

TASK_NAME_PARTS = 4
"""Job id, occurrence, step and index."""


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class TaskState(enum.Enum):
    """State of a task."""

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


class RunState(enum.Enum):
    """State of a run, as far as its owner knows."""

    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TargetRow:
    """A target and what is reserved on it.

    Attributes:
        target: What it registered.
        free_cpu: Processor time that is not reserved, thousandths of a core.
        free_memory: Memory that is not reserved, megabytes.
        free_accelerators: Accelerators that are not reserved.
        filler_cpu: Processor time that fillers ask for, thousandths of a core.
        serving_cpu: Processor time that serving tasks reserve, thousandths of a core.
        lasting_cpu: Processor time that long-running tasks reserve, thousandths of a core.
        runs: Runs that hold a reservation.
        confirmed: Its account was read in this life, under the owner's fence.
        announced: The owner's durable record says that it may take runs.
        reachable: The last call to it was answered.
        heard_at: When its last account arrived, seconds.
        close_watch: Its readings are asked for more often.
        listed: The store still lists it.
        standing: Decayed score of failures; see `standing`.
        barred_until: No placement before this time, seconds.
        leaves_at: When it may leave, seconds; 0 while it doesn't drain.
    """

    target: targets.Target
    free_cpu: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    filler_cpu: int = 0
    serving_cpu: int = 0
    lasting_cpu: int = 0
    runs: dict[targets.RunKey, RunRow] = dataclasses.field(default_factory=dict)
    confirmed: bool = False
    announced: bool = False
    reachable: bool = True
    heard_at: float = 0.0
    close_watch: bool = False
    listed: bool = True
    standing: float = 0.0
    barred_until: float = 0.0
    leaves_at: float = 0.0

    @property
    def target_id(self) -> str:
        """Its id."""
        return self.target.target_id


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class RunRow:
    """A run of a task on a target.

    Attributes:
        key: Task name and run number.
        task: The task.
        target: Where it runs.
        state: What is known of it.
        order_deadline_s: Time on the target's clock after which the order is refused.
        seen_s: Time on the target's clock when the run was known to be there, seconds.
        started_at: When it was first known to run, seconds.
        percent: Progress in percent.
        reading: Of a serving run its tail, seconds; of any other its processor time in use,
            thousandths of a core.
        pace: Share of its speed that it was told to work at, percent.
        paced_at: When that changed last, seconds.
        low_since: Since when its pace is low, seconds.
        progressed_at: When its progress changed last, seconds.
        stop_reason: Why it was told to stop; empty for not told.
        stopped_at: When it was told to stop last, seconds.
    """

    key: targets.RunKey
    task: TaskRow
    target: TargetRow
    state: RunState = RunState.ORDERED
    order_deadline_s: float = 0.0
    seen_s: float = 0.0
    started_at: float = 0.0
    percent: float = 0.0
    reading: float | None = None
    pace: int = 100
    paced_at: float = 0.0
    low_since: float = 0.0
    progressed_at: float = 0.0
    stop_reason: str = ""
    stopped_at: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TaskRow:
    """A task of a step.

    Attributes:
        step: Its step.
        index: Its number within the step.
        name: Its name at targets.
        state: Its state.
        runs: Runs that may be under way, by number; more than one only for copies.
        last_run: Highest number used so far.
        failed_runs: Numbers of the runs that ended as failed.
        checkpoint: Last checkpoint; empty for none.
        retry_at: No start before this time, seconds.
        avoid: Target where its last run failed; empty for none.
        waiting_since: When it became ready, seconds.
    """

    step: StepRow
    index: int
    name: str
    state: TaskState = TaskState.BLOCKED
    runs: dict[int, RunRow] = dataclasses.field(default_factory=dict)
    last_run: int = 0
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    checkpoint: str = ""
    retry_at: float = 0.0
    avoid: str = ""
    waiting_since: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class StepRow:
    """A step of one occurrence of a job.

    Attributes:
        job: Its job.
        occurrence: Number of the occurrence.
        index: Its number within the job.
        step: What was submitted.
        tasks: Its tasks.
        released: Every step before it is done.
        left: Tasks that are not done yet.
        waiting: Tasks that wait for a target.
        per_target: Runs of this step by target, while `max_per_target` counts.
        expected_s: Expected run time of a task, seconds.
        begun_at: Time of day from which the objective counts, seconds since 1970.
        due_at: Time of day by which the occurrence should be done, seconds since 1970.
    """

    job: JobRow
    occurrence: int
    index: int
    step: jobs.Step
    tasks: list[TaskRow] = dataclasses.field(default_factory=list)
    released: bool = False
    left: int = 0
    waiting: collections.deque[TaskRow] = dataclasses.field(default_factory=collections.deque)
    per_target: dict[str, int] = dataclasses.field(default_factory=dict)
    expected_s: float = 0.0
    begun_at: float = 0.0
    due_at: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class JobRow:
    """A job.

    Attributes:
        job: What was accepted.
        queue: Its queue in the configuration in force, or as last known.
        state: Its state; callers see an end only once it is durable.
        shown: State that callers see.
        begun: A task of it has started.
        occurrences: Steps of each occurrence under way, by number.
        finished: Occurrences whose steps are all done.
        next_occurrence: Number of the next occurrence to release.
        ended_at: Time of day of its end, seconds since 1970.
        inherited: It may have runs that a former owner ordered on targets not heard yet.
        reason: Why it failed.
    """

    job: jobs.Job
    queue: queues.Queue
    state: JobState = JobState.QUEUED
    shown: JobState = JobState.QUEUED
    begun: bool = False
    occurrences: dict[int, list[StepRow]] = dataclasses.field(default_factory=dict)
    finished: set[int] = dataclasses.field(default_factory=set)
    next_occurrence: int = 0
    ended_at: float = 0.0
    inherited: bool = False
    reason: str = ""

    @property
    def ended(self) -> bool:
        """Whether nothing more is to be started for it."""
        return self.state in ENDED_STATES


def task_name(*, job_id: str, occurrence: int, step: int, index: int) -> str:
    """Name a task at targets."""
    return f"{job_id}.{occurrence}.{step}.{index}"
