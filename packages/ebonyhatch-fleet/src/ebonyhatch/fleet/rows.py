"""Rows of the scheduler's tables: targets, jobs, steps, tasks and runs.

Fillers are tasks that use processor time left over by others. Serving tasks are those with a
limit of their response times.
"""

from __future__ import annotations

import array
import dataclasses
import enum

import msgspec
from ebonyhatch.fleet import jobs, queues, step_tasks, targets

TASK_NAME_PARTS = 4
"""Number of parts of a task's name: job id, occurrence, step and index."""

MAX_NUMBER_DIGITS = 9
"""Largest number of digits of a number in a task's name; all three have limits far below."""


class JobState(enum.StrEnum):
    """State of a job in the form that callers see."""

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
    """State of a run as known to its owner."""

    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


OBSERVED_FIELDS = frozenset(
    {
        "target",
        "free_cpu",
        "filler_cpu",
        "serving_cpu",
        "long_running_cpu",
        "confirmed",
        "announced",
        "reachable",
        "listed",
        "suspicion_score",
        "quarantined_until",
        "isolated_until",
        "full_until",
        "leaves_at",
        "evacuated",
        "speed",
    }
)
"""Fields of a target of which each assignment is reported to the observers of its table."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Loss:
    """Interval within which a target stopped to answer.

    Attributes:
        from_s: Time of its last sign of life, seconds.
        by_s: Time by which it no longer answered, seconds.
        ended: Whether it is known to have started anew since, or was removed.
        explained: Whether a suspect had just started there; None until it is determined, see
            `crash_blame`.
    """

    from_s: float
    by_s: float
    ended: bool = False
    explained: bool | None = None


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Totals:
    """Sums over all targets of a table, which share them.

    Attributes:
        runs: Number of runs that hold a reservation.
        short_cpu: Processor time of the short runs by pool of their queue, thousandths of a core;
            short runs are neither fillers nor long-running.
    """

    runs: int = 0
    short_cpu: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TargetRow:
    """A target and the reservations on it.

    Attributes:
        observers: Collections of changed targets, by `id()` of the row; each assignment to one of
            `OBSERVED_FIELDS` adds the row to all of them.
        target: Registration of the target.
        free_cpu: Processor time that is not reserved, thousandths of a core.
        free_memory: Memory that is not reserved, megabytes.
        free_accelerators: Accelerators that are not reserved.
        filler_cpu: Processor time that fillers ask for, thousandths of a core.
        serving_cpu: Processor time that long-running serving tasks reserve, thousandths of a core.
        long_running_cpu: Processor time that long-running tasks reserve, thousandths of a core.
        totals: Sums over the runs on all targets of its table.
        runs: Runs that hold a reservation.
        serving: Those of serving tasks among them.
        fillers: Those of fillers among them.
        confirmed: Whether a status report of its present incarnation was read under the owner's
            fence.
        announced: Whether the owner's durable record says that it may take runs.
        reachable: Whether it answers polls; False after consecutive polls without an answer, see
            `target_session.FAILURES_UNTIL_UNREACHABLE`.
        replaced: Whether another incarnation answered at its address, so that nothing runs there.
        last_report_at: Arrival of its last status report, seconds.
        loss: When it was lost, from its first unanswered poll until it answers again; else None.
        frequent_polling: Whether its readings are polled more often than usual.
        listed: Whether the store still lists it.
        suspicion_score: Decaying score of failures; see `target_health`.
        quarantined_until: End of its quarantine, before which nothing is placed on it, seconds.
        isolated_until: End of the time in which nothing is placed on it beside an isolated task,
            seconds; see `crash_blame`.
        full_until: End of the time in which nothing is placed on it after it refused a run for lack of
            capacity, or after a start while it is cold, seconds.
        cold_until: End of the time in which its runs are started one by one, seconds.
        cold_interval_s: Time between two such starts, seconds.
        suspect_until: End of the probation of the last run there whose task saw a crash, seconds.
        leaves_at: Earliest time of its departure, seconds; 0 while it is not draining.
        evacuated: Whether its failure domain is evacuated, so that nothing may start on it.
        speed: Speed that it surely doesn't exceed, as a fraction of the fleet's; see `speed`.
        recently_restarted: Whether it restarted so recently that a lease may be in force which is
            longer than the owner requests; see `takeover.leases`.
    """

    observers: list[dict[int, TargetRow]] = dataclasses.field(default_factory=list, repr=False)
    target: targets.Target
    free_cpu: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    filler_cpu: int = 0
    serving_cpu: int = 0
    long_running_cpu: int = 0
    totals: Totals = dataclasses.field(default_factory=Totals)
    runs: dict[targets.RunKey, RunRow] = dataclasses.field(default_factory=dict)
    serving: dict[targets.RunKey, RunRow] = dataclasses.field(default_factory=dict)
    fillers: dict[targets.RunKey, RunRow] = dataclasses.field(default_factory=dict)
    confirmed: bool = False
    announced: bool = False
    reachable: bool = True
    replaced: bool = False
    last_report_at: float = 0.0
    loss: Loss | None = None
    frequent_polling: bool = False
    listed: bool = True
    suspicion_score: float = 0.0
    quarantined_until: float = 0.0
    isolated_until: float = 0.0
    full_until: float = 0.0
    suspect_until: float = 0.0
    leaves_at: float = 0.0
    evacuated: bool = False
    cold_until: float = 0.0
    cold_interval_s: float = 0.0
    speed: float = 1.0
    recently_restarted: bool = False

    def __setattr__(self, name: str, value: object) -> None:
        """Sets a field, and reports the change if the field is observed."""
        object.__setattr__(self, name, value)
        if name in OBSERVED_FIELDS:
            self.mark_changed()

    @property
    def target_id(self) -> str:
        """Id of the target."""
        return self.target.target_id

    @property
    def closed_until(self) -> float:
        """Time before which nothing is placed on it for a failure, crash or refusal, seconds."""
        return max(self.quarantined_until, self.isolated_until, self.full_until)

    def mark_changed(self) -> None:
        """Adds the row to the changed targets of all observers."""
        for changed in self.observers:
            changed[id(self)] = self


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class RunRow:
    """A run of a task on a target.

    Attributes:
        key: Task name and run number.
        task: The task.
        target: Target that it runs on.
        state: State as known to the owner.
        order_deadline_s: Time on the target's clock after which the order is refused, seconds.
        seen_s: Latest time on the target's clock at which the target confirmed the run, seconds; 0
            before the first confirmation.
        ordered_at: Time of its order, seconds; 0 for a run that a former owner ordered.
        is_first: Whether it was ordered as the first run of its task, which has no checkpoint to resume.
        answered_at: Time at which the call with its order ended, with or without an answer, seconds; 0
            before.
        deadline_void: Whether the target restarted after the order. Its clock began anew, so that the
            deadline no longer bounds when the order may be carried out.
        refused_from_s: Time on the target's clock from which it refuses the run's start, as it answered
            an order to stop the run, seconds; 0 before.
        started_at: Time at which it was first known to run, seconds.
        percent: Progress in percent.
        reading: Of a serving run the tail of its response times, seconds; of any other its
            processor time in use, thousandths of a core.
        pace: Limit of its speed that was last ordered, percent of full speed.
        pace_changed_at: Time of the last change of pace, seconds.
        low_pace_since: Time since which its pace is low, seconds; see `pacing.MOVE_PACE_PERCENT`.
        progressed_at: Time of the last change of its progress, seconds.
        listed_at: Arrival of the last status report that listed it, seconds; 0 before the first.
        stop_reason: Reason of the stop order; empty if none was sent.
        stop_sent_at: Time of the last stop order, seconds.
    """

    key: targets.RunKey
    task: TaskRow
    target: TargetRow
    state: RunState = RunState.ORDERED
    order_deadline_s: float = 0.0
    seen_s: float = 0.0
    ordered_at: float = 0.0
    is_first: bool = False
    answered_at: float = 0.0
    deadline_void: bool = False
    refused_from_s: float = 0.0
    started_at: float = 0.0
    percent: float = 0.0
    reading: float | None = None
    pace: int = 100
    pace_changed_at: float = 0.0
    low_pace_since: float = 0.0
    progressed_at: float = 0.0
    listed_at: float = 0.0
    stop_reason: str = ""
    stop_sent_at: float = 0.0


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """The last run of a task that saw a crash, recorded for the next owner.

    Attributes:
        run: Number of the run.
        target_id: Target that it was ordered on.
        born: Start of the target's incarnation, milliseconds since 1970.
        isolated: Whether the task was isolated there.
    """

    run: int
    target_id: str
    born: int
    isolated: bool


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TaskRow:
    """A task of a step.

    Attributes:
        step: Its step.
        index: Its number within the step.
        name: Its name at targets.
        state: State of the task.
        runs: Runs that may be in progress, by number; more than one only for speculative copies.
        last_run: Highest run number used so far.
        failed_runs: Numbers of the runs that failed.
        crashes: Number of crashes of targets on which it was running.
        blamed_crashes: Number of those for which it is taken to be at fault.
        trial: Its last run since a crash, if the end of that run isn't known.
        checkpoint: Last checkpoint; empty for none.
        retry_at: Earliest time of the next start, seconds.
        avoid_target: Id of the target where its last run failed; empty for none.
        waiting_since: Time at which it became ready, seconds.
    """

    step: StepRow
    index: int
    name: str
    state: TaskState = TaskState.BLOCKED
    runs: dict[int, RunRow] = dataclasses.field(default_factory=dict)
    last_run: int = 0
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    crashes: int = 0
    blamed_crashes: int = 0
    trial: Trial | None = None
    checkpoint: str = ""
    retry_at: float = 0.0
    avoid_target: str = ""
    waiting_since: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class StepRow:
    """A step of one occurrence of a job.

    Attributes:
        job: Job that it belongs to.
        occurrence: Number of the occurrence.
        index: Its number within the job.
        step: Submitted specification.
        tasks: Its tasks.
        blockers: Number of the steps that it depends on and that are not done.
        released: Whether every step that it depends on is done.
        remaining_count: Number of tasks that are not done yet.
        waiting: Tasks that wait for a target.
        per_target: Number of runs of this step by target id; used for `max_per_target` and to
            spread long-running steps.
        expected_s: Expected run time of a task, seconds.
        objective_from: Time of day at which the time allowed by the objective begins, seconds since
            1970.
        due_at: Time of day at which the time allowed by the objective ends, seconds since 1970.
    """

    job: JobRow
    occurrence: int
    index: int
    step: jobs.Step
    tasks: step_tasks.Tasks = dataclasses.field(init=False, repr=False)
    blockers: int = 0
    released: bool = False
    remaining_count: int = 0
    waiting: step_tasks.Waiting = dataclasses.field(init=False, repr=False)
    per_target: dict[str, int] = dataclasses.field(default_factory=dict)
    expected_s: float = 0.0
    objective_from: float = 0.0
    due_at: float = 0.0

    def __post_init__(self) -> None:
        """Creates the collections of its tasks, none of which has a row."""
        self.waiting = step_tasks.Waiting(step=self)
        self.tasks = step_tasks.Tasks(step=self)

    def new_task(self, index: int, *, done: bool) -> TaskRow:
        """Returns a new row for a task, which is blocked unless it is done."""
        name = task_name(
            job_id=self.job.job.job_id, occurrence=self.occurrence, step=self.index, index=index
        )
        state = TaskState.DONE if done else TaskState.BLOCKED
        return TaskRow(step=self, index=index, name=name, state=state)

    def unblock(self, task: TaskRow, *, now: float) -> bool:
        """Lets a blocked task wait from `now` on, in seconds; returns False for any other task."""
        if task.state != TaskState.BLOCKED:
            return False
        task.state = TaskState.WAITING
        task.waiting_since = now
        return True


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class JobRow:
    """A job.

    Attributes:
        job: Accepted specification.
        queue: Queue as in the present configuration, or as last known if it was removed.
        queue_version: Version of the configuration that the queue was accepted with; older ones
            don't apply to the job.
        state: State as decided by the scheduler; callers see an end only once it is durable.
        visible_state: State that callers see.
        begun: Whether one of its tasks has started; named as the durable field is.
        occurrences: Steps of each occurrence in progress, by number.
        unfinished: Number of steps of each of them that are not done.
        ready: Steps that depend on no unfinished step and are not released yet.
        successors: Indexes of the steps that depend directly on each step; see `dependencies`.
        chains_s: Run time of the longest chain that begins with each step of an occurrence, by its
            number, seconds; see `graph.remaining_chain_s`.
        run_count: Number of its runs that hold a reservation.
        next_occurrence: Number of the occurrence to release next; all before it that aren't in
            progress are done.
        ended_at: Time of day of its end, seconds since 1970.
        inherited: Whether it may have runs that a former owner ordered on targets whose status
            reports have not arrived yet.
        reason: Reason of its failure.
    """

    job: jobs.Job
    queue: queues.Queue
    queue_version: int = 0
    state: JobState = JobState.QUEUED
    visible_state: JobState = JobState.QUEUED
    begun: bool = False
    occurrences: dict[int, list[StepRow]] = dataclasses.field(default_factory=dict)
    unfinished: dict[int, int] = dataclasses.field(default_factory=dict)
    ready: list[StepRow] = dataclasses.field(default_factory=list)
    successors: tuple[tuple[int, ...], ...] = ()
    chains_s: dict[int, array.array[float]] = dataclasses.field(default_factory=dict)
    run_count: int = 0
    next_occurrence: int = 0
    ended_at: float = 0.0
    inherited: bool = False
    reason: str = ""

    @property
    def ended(self) -> bool:
        """Whether its state is final, so that no more runs are started for it."""
        return self.state in ENDED_STATES

    def drop_steps(self) -> None:
        """Drops what only a job in progress needs."""
        self.job = msgspec.structs.replace(self.job, spec="", steps=())
        self.occurrences.clear()
        self.unfinished.clear()
        self.chains_s.clear()
        self.ready.clear()
        self.successors = ()


def task_name(*, job_id: str, occurrence: int, step: int, index: int) -> str:
    """Returns the name of a task as used in orders to targets."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Returns the job id, occurrence, step and index in a task's name; None if it is malformed."""
    job_id, *numbers = name.split(".")
    if len(numbers) != TASK_NAME_PARTS - 1:
        return None
    if not all(map(_is_number, numbers)):
        return None
    occurrence, step, index = map(int, numbers)
    return job_id, occurrence, step, index


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS
