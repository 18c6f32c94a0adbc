"""The port to targets: runs under leases, with fencing and acknowledged ends."""

from __future__ import annotations

import abc
import enum

import msgspec
from ebonyhatch.core import errors
from returns import result


class TargetError(errors.EbonyhatchError):
    """Base class of the errors that an order may return."""


class RefusalReason(enum.StrEnum):
    """Why a target refused an order.

    `FENCE` stands for a fencing token below one that the target has received, `STALE_RUN` for a run
    number that isn't above the highest of its task, `NO_CAPACITY` for too little free capacity,
    `TICKET` for a ticket of the advice service that isn't accepted, and `OTHER_INCARNATION` for a
    target that restarted after it registered.
    """

    FENCE = "fence"
    STALE_RUN = "old-run"
    DEADLINE_PASSED = "late"
    NO_CAPACITY = "room"
    TICKET = "ticket"
    OTHER_INCARNATION = "other-life"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


class RefusedError(TargetError):
    """The target answered that the order had no effect."""

    def __init__(self, *, target_id: str, reason: RefusalReason) -> None:
        super().__init__(
            problem=f"target {target_id} refused the order: {reason}",
            remedy="read the target's status report and decide again",
        )
        self.target_id = target_id
        self.reason = reason


class NotSentError(TargetError):
    """The order did not reach the target; `timed_out` is whether no connection was made in time."""

    def __init__(self, *, target_id: str, reason: str, timed_out: bool = False) -> None:
        super().__init__(
            problem=f"nothing was sent to target {target_id}: {reason}", remedy="try again"
        )
        self.target_id = target_id
        self.reason = reason
        self.timed_out = timed_out


class UnknownOutcomeError(TargetError):
    """No answer arrived: the order may be carried out now, later or never.

    `timed_out` is whether the connection stayed open without an answer until the timeout.
    """

    def __init__(self, *, target_id: str, reason: str, timed_out: bool = False) -> None:
        super().__init__(
            problem=f"the outcome at target {target_id} is unknown: {reason}",
            remedy="read the target's status report",
        )
        self.target_id = target_id
        self.reason = reason
        self.timed_out = timed_out


def is_timeout(error: TargetError) -> bool:
    """Returns whether a call ended because nothing arrived in time."""
    return isinstance(error, NotSentError | UnknownOutcomeError) and error.timed_out


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A target as it registered itself.

    Attributes:
        target_id: Its id. A machine that restarts may register the same id as a new incarnation.
        born: Start of this incarnation, milliseconds since 1970; 0 where it is unknown.
        address: Host and port.
        pool: Pool that it belongs to.
        failure_domain: Failure domain; targets of one domain may fail together.
        rack: Its rack; empty where it is unknown.
        region: Region of its failure domain; empty where it is unknown.
        labels: Labels that steps may require.
        cpu_millis: Processor capacity, thousandths of a core.
        memory_mb: Memory capacity, megabytes.
        accelerators: Number of accelerators.
        draining: Whether it is shutting down and accepts no new runs.
        stays_s: While it is draining, the least time that it stays, seconds; 0 where it is unknown.
        cold_left_s: Time for which it is cold from its registration on, seconds; 0 for a warm one.
    """

    target_id: str
    address: str
    pool: str
    failure_domain: str
    born: int = 0
    rack: str = ""
    region: str = ""
    labels: tuple[str, ...] = ()
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    draining: bool = False
    stays_s: float = 0.0
    cold_left_s: float = 0.0


class RunKey(msgspec.Struct, frozen=True):
    """Identity of a run: the task's name and the number of the run."""

    task: str
    run: int


class EndKind(enum.StrEnum):
    """How a run ended, as targets report it; `LAPSED` means that its lease expired."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Running(msgspec.Struct, frozen=True, kw_only=True):
    """A run that a target reports as running.

    Attributes:
        key: The run.
        checkpoint: Its last checkpoint; empty for none.
        percent: Progress in percent; 100 for a long-running task once it is operating.
        reading: For a serving task, the tail of its response times, milliseconds; for any other,
            the processor time in use, thousandths of a core. None where there is none.
    """

    key: RunKey
    checkpoint: str = ""
    percent: float = 0.0
    reading: float | None = None


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a run, reported until it is acknowledged.

    Numbers increase within an incarnation of the target.
    """

    number: int
    key: RunKey
    kind: EndKind
    checkpoint: str = ""


class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """A target's report of its runs.

    Attributes:
        born: Start of this incarnation, as in `Target`; 0 where it is unknown.
        clock_s: The target's own clock at the report, seconds.
        running: Runs in progress.
        ended: Ends that are not acknowledged yet, the first of them if there are many.
        ends_complete: Whether no further end may be missing in `ended`. If not, a run that the report
            doesn't list may have ended.
    """

    clock_s: float
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    ends_complete: bool = True
    born: int = 0


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A run to start.

    Attributes:
        key: The run.
        spec: The job's opaque text.
        checkpoint: Checkpoint to resume from; empty for a start from the beginning.
        ticket: Ticket that the advice service issued for the run; empty for none.
        deadline_s: Time on the target's clock after which the order is refused, seconds.
    """

    key: RunKey
    spec: str
    deadline_s: float
    checkpoint: str = ""
    ticket: str = ""


class Targets(abc.ABC):
    """Sends orders to targets, each with the fencing token of the sender's term.

    Each order is bounded by a timeout. A target refuses a token that is lower than the highest
    one that it has received in this incarnation. Results of start, stop and pace hold the
    target's clock, seconds.
    """

    @abc.abstractmethod
    async def start_run(
        self, *, target: Target, fence: int, order: StartOrder
    ) -> result.Result[float, TargetError]:
        """Starts a run; succeeds also when that run is already on the target."""

    @abc.abstractmethod
    async def stop_run(
        self, *, target: Target, fence: int, key: RunKey
    ) -> result.Result[float, TargetError]:
        """Stops a run; a start of it that arrives later is refused."""

    @abc.abstractmethod
    async def pace_run(
        self, *, target: Target, fence: int, key: RunKey, percent: int
    ) -> result.Result[float, TargetError]:
        """Limits a run to a percentage of its full speed."""

    @abc.abstractmethod
    async def renew_and_poll(
        self, *, target: Target, fence: int, acknowledged: int, deadline_s: float, wait_s: float
    ) -> result.Result[StatusReport, TargetError]:
        """Renews the lease of all runs, acknowledges ends, and reads the status report.

        Args:
            target: The target.
            fence: Fencing token of the sender's term.
            acknowledged: Number of the last end that the target may forget.
            deadline_s: End of the lease on the target's clock, seconds; 0 renews nothing.
            wait_s: Longest wait for an end, seconds.
        """
