"""Jobs: steps of identical tasks, with dependencies between the steps."""

from __future__ import annotations

import re

import msgspec
from ebonyhatch.core import errors

JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
"""Format of a job's id."""

SPEC_LIMIT_BYTES = 4_000
"""Largest specification of a job, bytes; the limit that is documented for callers."""

NAME_LIMIT_BYTES = 200
"""Largest name of an image, label or rack, bytes: owners keep what they learn by images after the jobs."""

TASKS_LIMIT = 20_000
"""Largest number of tasks of one job; keeps the job's record within one value of the store."""

GANG_LIMIT = 1_000
"""Largest number of members of a gang: all of them are started in one pass, and each waits only a few
seconds for the others."""

LIGHT_CPU_MILLIS = 50
LIGHT_MEMORY_MB = 32
"""Amounts below which a task is so light that the capacity of the targets doesn't bound how many of them
are in progress."""

LIGHT_LONG_RUNNING_LIMIT = 1_000
"""Largest number of light long-running tasks of one job: all of them have to be started within a few
seconds."""

OCCURRENCES_LIMIT = 10_000_000
"""Largest number of occurrences of one job."""

AMOUNT_LIMIT = 10**9
"""Largest amount of a resource or a duration: a million cores, a petabyte or 31 years."""

DURATION_LIMIT_S = 10**9
"""Longest duration, seconds: 31 years."""

TIME_LIMIT_S = 10**11
"""Latest time of day, seconds since 1970: the year 5138."""


class InvalidJobError(errors.EbonyhatchError):
    """A submitted job contradicts itself; none of it is accepted."""

    def __init__(self, *, problem: str) -> None:
        super().__init__(problem=problem, remedy="correct the job and submit it again")


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Identical tasks.

    Attributes:
        count: Number of tasks.
        cpu_millis: Processor time that a task asks for, thousandths of a core.
        memory_mb: Memory that a task asks for, megabytes.
        accelerators: Accelerators that a task asks for.
        estimate_s: Rough estimate of a task's run time, seconds; 0 for none.
        after: Indexes of earlier steps that have to be done first.
        checkpoints: Whether tasks save their progress while they run.
        gang: Whether tasks make progress only while all of them run, and end together.
        same_rack: Whether the gang is slower when it is spread over several racks.
        label: Label that a target must have; empty for none.
        data_rack: Rack of the tasks' data; empty for none.
        max_per_target: Largest number of tasks of the step on one target; 0 for no limit.
        speculative: Whether copies of a task may run at the same time.
        long_running: Whether tasks run until the job is cancelled.
        image: Image that the tasks run.
        tail_limit_s: Bound of the response times of a serving task, seconds; 0 for none.
        filler: Whether tasks use only processor time that the other tasks leave over.
        disruption_budget: Number of tasks that may be down at once by the scheduler's orders; 0 for
            none.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_target: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_limit_s: float = 0.0
    filler: bool = False
    disruption_budget: int = 0

    @property
    def light(self) -> bool:
        """Whether many of its tasks fit on any target; fillers reserve no processor time."""
        return (
            (self.filler or self.cpu_millis < LIGHT_CPU_MILLIS)
            and self.memory_mb < LIGHT_MEMORY_MB
            and not self.accelerators
        )


class Job(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job.

    Attributes:
        job_id: Id that the caller chose.
        queue: Name of the queue that it was submitted to.
        spec: Opaque text that is passed to each task.
        steps: Its steps.
        accepted_at: Time of day of the submission, seconds since 1970.
        occurrences: Number of timed occurrences of the steps; 0 for a job that runs once, at once.
        first_at: Time of day of the first occurrence, seconds since 1970.
        interval_s: Time between two occurrences, seconds.
    """

    job_id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    accepted_at: float = 0.0
    occurrences: int = 0
    first_at: float = 0.0
    interval_s: float = 0.0

    @property
    def timed(self) -> bool:
        """Whether its occurrences are released by time."""
        return self.occurrences > 0

    @property
    def long_running(self) -> bool:
        """Whether some of its tasks run until it is cancelled."""
        return any(step.long_running for step in self.steps)


def check(job: Job) -> None:
    """Checks a submitted job.

    Raises:
        InvalidJobError: With the first contradiction.
    """
    if JOB_ID.fullmatch(job.job_id) is None:
        raise InvalidJobError(problem=f"{job.job_id!r} isn't 16 hexadecimal digits")
    if len(job.spec.encode()) > SPEC_LIMIT_BYTES:
        raise InvalidJobError(problem=f"the specification is over {SPEC_LIMIT_BYTES} bytes")
    if not job.steps:
        raise InvalidJobError(problem="the job has no steps")
    if job.occurrences < 0 or (job.occurrences > 1 and job.interval_s <= 0):
        raise InvalidJobError(
            problem="the number of occurrences is negative, or several have no interval above 0"
        )
    if job.occurrences > OCCURRENCES_LIMIT:
        raise InvalidJobError(problem=f"the job has over {OCCURRENCES_LIMIT} occurrences")
    if not 0 <= job.first_at <= TIME_LIMIT_S or not 0 <= job.interval_s <= DURATION_LIMIT_S:
        raise InvalidJobError(problem="the first time or the interval is out of range")
    for index, step in enumerate(job.steps):
        _check_step(index, step)
    if sum(step.count for step in job.steps) > TASKS_LIMIT:
        raise InvalidJobError(problem=f"the job has over {TASKS_LIMIT} tasks")
    light = sum(step.count for step in job.steps if step.long_running and step.light)
    if light > LIGHT_LONG_RUNNING_LIMIT:
        raise InvalidJobError(
            problem=f"the job has over {LIGHT_LONG_RUNNING_LIMIT} long-running tasks that ask for less"
            f" than {LIGHT_CPU_MILLIS} thousandths of a core and {LIGHT_MEMORY_MB} MB"
        )


def _check_step(index: int, step: Step) -> None:
    if step.count < 1:
        raise InvalidJobError(problem=f"step {index} needs a count of at least 1")
    amounts = (
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        step.estimate_s,
        step.max_per_target,
        step.tail_limit_s,
        step.disruption_budget,
    )
    if any(amount < 0 for amount in amounts):
        raise InvalidJobError(problem=f"step {index} has a negative amount")
    if max(amounts) > AMOUNT_LIMIT:
        raise InvalidJobError(problem=f"step {index} has an amount out of range")
    if any(
        len(name.encode()) > NAME_LIMIT_BYTES for name in (step.image, step.label, step.data_rack)
    ):
        raise InvalidJobError(
            problem=f"step {index} names an image, label or rack of over {NAME_LIMIT_BYTES} bytes"
        )
    for earlier in step.after:
        if not 0 <= earlier < index:
            raise InvalidJobError(
                problem=f"step {index} can't depend on step {earlier}, which is not before it"
            )
    if step.gang and step.count > GANG_LIMIT:
        raise InvalidJobError(problem=f"step {index} is a gang of over {GANG_LIMIT} members")
    if step.gang and step.speculative:
        raise InvalidJobError(problem=f"step {index} can't be a gang with speculative copies")
