"""The port to workers: tasks under leases, and requests to the services that they host."""

from __future__ import annotations

import abc
import enum

import msgspec
from ebonyhatch.core import errors, resources
from returns import result
from twisted.internet import defer


class WorkerError(errors.EbonyhatchError):
    """Base class of the errors of a call to a worker."""


class NotRunError(WorkerError):
    """The call certainly had no effect: nothing was sent, or the worker reported so."""

    def __init__(self, *, worker_id: str, reason: str) -> None:
        super().__init__(
            problem=f"the call to worker {worker_id} had no effect: {reason}",
            remedy="try another worker",
        )
        self.worker_id = worker_id
        self.reason = reason


class OutcomeUnknownError(WorkerError):
    """The call may or may not have taken effect."""

    def __init__(self, *, worker_id: str, reason: str) -> None:
        super().__init__(
            problem=f"the outcome of a call to worker {worker_id} is unknown: {reason}",
            remedy="inspect the worker, or wait until the lease of the task has expired there",
        )
        self.worker_id = worker_id
        self.reason = reason


class StaleEpochError(WorkerError):
    """The worker has seen a newer epoch of the cell; this owner is superseded."""

    def __init__(self, *, worker_id: str, epoch: int, newest_epoch: int) -> None:
        super().__init__(
            problem=f"worker {worker_id} has seen epoch {newest_epoch} and refuses epoch {epoch}",
            remedy="stop acting for the cell and read its current owner",
        )
        self.worker_id = worker_id
        self.epoch = epoch
        self.newest_epoch = newest_epoch


class TaskState(enum.StrEnum):
    """State of an attempt on a worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class Address(msgspec.Struct, frozen=True, kw_only=True):
    """Address on which a worker listens."""

    worker_id: str
    host: str
    port: int


class TaskOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt to start.

    Attributes:
        task_id: Unique id of the attempt; a repeated start of the same id has no effect.
        job_id: Its job.
        work_class: Name of its work class.
        demand: Resources that it declares to use.
        lease_s: Time after which the worker ends it unless the lease was renewed, seconds.
        payload: Opaque input.
        checkpoint: Opaque reference to resume from; empty to begin at the start.
    """

    task_id: str
    job_id: str
    work_class: str
    demand: resources.Resources
    lease_s: float
    payload: bytes = b""
    checkpoint: str = ""


class TaskReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of an attempt on its worker; ended attempts stay listed until acknowledged.

    Attributes:
        task_id: The attempt.
        job_id: Its job.
        state: Its state.
        run_s: Time since its start, seconds.
        progress_s: Work that its last checkpoint contains, seconds.
        checkpoint: Reference of its last checkpoint; empty for none.
        usage: Measured resource usage.
        result: Opaque result of a finished attempt.
        reason: Reason of a failure or a stop.
    """

    task_id: str
    job_id: str
    state: TaskState
    run_s: float = 0.0
    progress_s: float = 0.0
    checkpoint: str = ""
    usage: resources.Resources = resources.NONE
    result: bytes = b""
    reason: str = ""


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Status report of a worker.

    Attributes:
        worker_id: The worker.
        capacity: Resources that it has.
        usage: Measured resource usage as of `sample_age_s` ago.
        sample_age_s: Age of the measurement, seconds.
        leaving: Whether it is about to leave and should get no new work.
        epoch: Newest epoch that it has seen of its cell.
        tasks: Every attempt that it lists.
    """

    worker_id: str
    capacity: resources.Resources
    usage: resources.Resources
    sample_age_s: float
    leaving: bool
    epoch: int
    tasks: tuple[TaskReport, ...] = ()


class Checkpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Saved state of an attempt."""

    task_id: str
    checkpoint: str
    progress_s: float


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """One header line."""

    name: str
    value: str


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request in the form in which it is sent to a worker."""

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: float


class ServiceResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The complete response to one request."""

    request_id: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


ReportOutcome = defer.Deferred[result.Result[WorkerReport, WorkerError]]
CheckpointOutcome = defer.Deferred[result.Result[Checkpoint, WorkerError]]
DoneOutcome = defer.Deferred[result.Result[None, WorkerError]]
ResponseOutcome = defer.Deferred[result.Result[ServiceResponse, WorkerError]]


class Workers(abc.ABC):
    """Calls to workers, each with the epoch of the worker's cell.

    A fenced port refuses epochs older than the newest seen with `StaleEpochError`. Deferreds
    always fire with a result and never fail; each call is bounded by a timeout.
    """

    @property
    @abc.abstractmethod
    def fenced(self) -> bool:
        """Whether workers refuse epochs older than the newest that they have seen."""

    @abc.abstractmethod
    def start(self) -> None:
        """Prepares for calls."""

    @abc.abstractmethod
    def close(self) -> None:
        """Ends all calls."""

    @abc.abstractmethod
    def claim(self, *, address: Address, epoch: int) -> ReportOutcome:
        """Presents a new epoch and returns the worker's full status report."""

    @abc.abstractmethod
    def start_task(self, *, address: Address, epoch: int, order: TaskOrder) -> DoneOutcome:
        """Starts an attempt under a lease."""

    @abc.abstractmethod
    def renew(
        self, *, address: Address, epoch: int, lease_s: float, acknowledged: tuple[str, ...] = ()
    ) -> ReportOutcome:
        """Renews the leases of all attempts on the worker and returns its status report.

        Args:
            address: The worker.
            epoch: Epoch of its cell.
            lease_s: New lease time of every running attempt, seconds.
            acknowledged: Ended attempts that the worker may drop from its list.
        """

    @abc.abstractmethod
    def checkpoint(self, *, address: Address, epoch: int, task_id: str) -> CheckpointOutcome:
        """Checkpoints an attempt, which continues to run."""

    @abc.abstractmethod
    def throttle(self, *, address: Address, epoch: int, task_id: str, share: float) -> DoneOutcome:
        """Runs an attempt at the fraction `share` of its full speed."""

    @abc.abstractmethod
    def stop_task(self, *, address: Address, epoch: int, task_id: str) -> DoneOutcome:
        """Stops an attempt; also succeeds if it has already ended or is unknown to the worker."""

    @abc.abstractmethod
    def forward(self, *, address: Address, epoch: int, request: ServiceRequest) -> ResponseOutcome:
        """Sends a request to the service on the worker and returns the complete response."""
