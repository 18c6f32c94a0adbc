"""The port to targets: runs under leases, with fencing and acknowledged ends."""

from __future__ import annotations

import abc
import enum

import msgspec
from ebonyhatch.core import errors
from returns import result


class TargetError(errors.EbonyhatchError):
    """What an order may give instead of being carried out."""


class RefusalReason(enum.StrEnum):
    """Why a target refused an order."""

    FENCE = "fence"
    OLD_RUN = "old-run"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    OTHER_LIFE = "other-life"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


class RefusedError(TargetError):
    """The target answered that it did nothing."""

    def __init__(self, *, target_id: str, reason: RefusalReason) -> None:
        super().__init__(
            problem=f"target {target_id} refused the order: {reason}",
            remedy="read the target's account and decide anew",
        )
        self.target_id = target_id
        self.reason = reason


class NotSentError(TargetError):
    """Nothing reached the target."""

    def __init__(self, *, target_id: str, reason: str) -> None:
        super().__init__(
            problem=f"nothing was sent to target {target_id}: {reason}", remedy="try again"
        )
        self.target_id = target_id
        self.reason = reason


class UnknownOutcomeError(TargetError):
    """No answer: the order may be carried out now, later or never."""

    def __init__(self, *, target_id: str, reason: str) -> None:
        super().__init__(
            problem=f"the outcome at target {target_id} is unknown: {reason}",
            remedy="read the target's account",
        )
        self.target_id = target_id
        self.reason = reason


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A target as it registered itself.

    Attributes:
        target_id: Its id; one machine may come back under it in a new life.
        born: Start of this life, milliseconds since 1970; 0 where it isn't told.
        address: Host and port.
        pool: Pool that it belongs to.
        failure_domain: Where it may fail together with others.
        rack: Its rack; empty where it isn't told.
        labels: What steps may require.
        cpu_millis: Processor time that it holds, thousandths of a core.
        memory_mb: Memory that it holds, megabytes.
        accelerators: Accelerators that it holds.
        draining: It is leaving and takes nothing new.
        stays_s: While it is draining, the least time that it stays, seconds; 0 where it isn't told.
    """

    target_id: str
    address: str
    pool: str
    failure_domain: str
    born: int = 0
    rack: str = ""
    labels: tuple[str, ...] = ()
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    draining: bool = False
    stays_s: float = 0.0


class RunKey(msgspec.Struct, frozen=True):
    """A run of a task, by the task's name and the number of the run."""

    task: str
    run: int


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Running(msgspec.Struct, frozen=True, kw_only=True):
    """A run that a target reports.

    Attributes:
        key: The run.
        checkpoint: Its last checkpoint; empty for none.
        percent: Progress in percent; of a long-running task 100 once it is at work.
        reading: Of a serving task the tail of its response times, milliseconds; of any other
            the processor time in use, thousandths of a core. None where there is none.
    """

    key: RunKey
    checkpoint: str = ""
    percent: float = 0.0
    reading: float | None = None


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """An end that a target reports until it is acknowledged; numbers grow within a life."""

    number: int
    key: RunKey
    kind: EndKind
    checkpoint: str = ""


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """What a target reports of itself.

    Attributes:
        born: Start of this life; 0 where it isn't told.
        clock_s: The target's own clock at the report, seconds.
        running: Runs under way.
        ended: Ends that are not acknowledged yet.
    """

    clock_s: float
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    born: int = 0


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A run to start.

    Attributes:
        key: The run.
        spec: The job's opaque text.
        checkpoint: Checkpoint to resume from; empty for a start from the beginning.
        ticket: Ticket of the advice; empty for none.
        deadline_s: Time on the target's clock after which the order is refused, seconds.
    """

    key: RunKey
    spec: str
    deadline_s: float
    checkpoint: str = ""
    ticket: str = ""


class Targets(abc.ABC):
    """Orders to targets, each with the fencing token of the sender's term.

    Each order is bounded by a timeout. A target refuses a token that is lower than the highest
    it has seen in this life. Results of start, stop and pace hold the target's clock, seconds.
    """

    @abc.abstractmethod
    async def start_run(
        self, *, target: Target, fence: int, order: StartOrder
    ) -> result.Result[float, TargetError]:
        """Start a run; also done when that run is already there."""

    @abc.abstractmethod
    async def stop_run(
        self, *, target: Target, fence: int, key: RunKey
    ) -> result.Result[float, TargetError]:
        """Stop a run; one that isn't there yet will be refused from now on."""

    @abc.abstractmethod
    async def pace_run(
        self, *, target: Target, fence: int, key: RunKey, percent: int
    ) -> result.Result[float, TargetError]:
        """Let a run work at a share of its speed."""

    @abc.abstractmethod
    async def hold(
        self, *, target: Target, fence: int, acknowledged: int, deadline_s: float, wait_s: float
    ) -> result.Result[Account, TargetError]:
        """Extend the lease of all runs, acknowledge ends, and read the account.

        Args:
            target: The target.
            fence: Fencing token of the sender's term.
            acknowledged: Number of the last end that may be forgotten.
            deadline_s: End of the lease on the target's clock, seconds; 0 extends nothing.
            wait_s: Longest wait for an end, seconds.
        """
