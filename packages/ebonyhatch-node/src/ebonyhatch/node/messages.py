"""Typed messages between entries, encoded as tagged MessagePack.

The names of classes and fields are part of the protocol between entries.
"""

from __future__ import annotations

import msgspec
from ebonyhatch.core import commands, resources, scheduler
from ebonyhatch.ports import workers


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all messages; the tag is the class name."""


class Shape(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An amount of each kind of resource, encoded without the names of its fields."""

    slots: int = 0
    connections: int = 0
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    @property
    def amount(self) -> resources.Resources:
        """The same amounts as `Resources`."""
        return resources.Resources(**msgspec.structs.asdict(self))


class CellRoom(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The free capacity of one cell under one epoch.

    Attributes:
        cell: Name of the cell.
        epoch: Epoch of its owner, which grows with each change of the owner.
        room: Summary of its free capacity and its queues.
        largest: The maximum of each kind of resource over its workers.
    """

    cell: str
    epoch: int
    room: scheduler.CapacitySummary
    largest: Shape = Shape()


class Gossip(Message, frozen=True, kw_only=True):
    """Heartbeat with the state of an entry: once a period to near peers, less often to far ones.

    Attributes:
        entry_id: Entry id of the sender.
        generation: Configuration generation in force at the sender.
        ownership_version: Store version of the ownership record that the sender has read.
        rooms: Free capacity of each cell that the sender owns; empty to far peers.
        draining: Whether the sender is stopping and accepts no new work.
    """

    entry_id: str
    generation: int
    ownership_version: int
    rooms: tuple[CellRoom, ...]
    draining: bool = False


class ConfigurationCall(Message, frozen=True, kw_only=True):
    """Asks for a configuration newer than `generation`."""

    generation: int


class ConfigurationReply(Message, frozen=True, kw_only=True):
    """The encoded head record of a generation, as stored; empty if it is not newer."""

    generation: int
    head: bytes


class OwnershipCall(Message, frozen=True, kw_only=True):
    """Asks for an ownership record newer than `version`."""

    version: int


class OwnershipReply(Message, frozen=True, kw_only=True):
    """The encoded ownership record, as stored; empty if it is not newer."""

    version: int
    record: bytes


class RequestCall(Message, frozen=True, kw_only=True):
    """Forwards a request to the owner of a cell; a request is forwarded at most once.

    Attributes:
        cell: Cell that is to serve the request.
        request: The request; its `timeout_s` is the remaining time.
        work_class: Name of the work class of the request.
        tenant: Name of the workspace of the request.
        idempotent: Whether the request may run more than once.
        idempotency_key: Key of a non-idempotent request; empty for none.
    """

    cell: str
    request: workers.ServiceRequest
    work_class: str
    tenant: str
    idempotent: bool
    idempotency_key: str = ""


class RequestReply(Message, frozen=True, kw_only=True):
    """The response to a forwarded request, or its outcome without a response.

    Attributes:
        request_id: Id of the request.
        answer: The complete response, or None.
        outcome: Whether the request ran, when there is no response.
        reason: Short reason, when there is no response.
        retry_after_s: Time after which a retry is likely to be served, seconds.
        room: Current free capacity of the cell, or None when the receiver of the call does not
            own the cell.
    """

    request_id: str
    answer: workers.ServiceResponse | None = None
    outcome: commands.Outcome = commands.Outcome.NOT_RUN
    reason: str = ""
    retry_after_s: float = 0.0
    room: CellRoom | None = None


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a job that callers see."""

    job_id: str
    state: str
    attempts: int = 0
    evictions: int = 0
    progress_s: float = 0.0
    result: bytes = b""
    reason: str = ""


class JobSubmitCall(Message, frozen=True, kw_only=True):
    """Submits a job to the cell that its id hashes to."""

    cell: str
    job: bytes


class JobShowCall(Message, frozen=True, kw_only=True):
    """Asks for a job's state."""

    cell: str
    job_id: str


class JobCancelCall(Message, frozen=True, kw_only=True):
    """Cancels a job."""

    cell: str
    job_id: str


class TransferCall(Message, frozen=True, kw_only=True):
    """Asks a cell to accept a job that has never been started.

    The cell accepts a job id once, also when the call is repeated.

    Attributes:
        cell: Cell that is asked to accept the job.
        origin: Cell that has the job.
        job: The encoded job.
        must: Whether an earlier call may have been accepted, so that this one cannot be
            refused.
    """

    cell: str
    origin: str
    job: bytes
    must: bool = False


class ReleaseCall(Message, frozen=True, kw_only=True):
    """Notifies a cell that the transfer of a job is durable and its call is not repeated."""

    cell: str
    job_id: str


class TransferReply(Message, frozen=True, kw_only=True):
    """Whether the cell accepted the job, or recorded the release.

    Attributes:
        done: Whether the acceptance or the release is durable.
        certain: When not done: whether the call certainly had no effect.
        reason: Reason why it was not done.
    """

    done: bool
    certain: bool = True
    reason: str = ""


class ExplainCall(Message, frozen=True, kw_only=True):
    """Asks whether a cell of the receiver knows a job, attempt or request."""

    subject_id: str


class ExplainReply(Message, frozen=True, kw_only=True):
    """The cell of the subject and an explanation; the text is empty for an unknown subject."""

    cell: str = ""
    text: str = ""


class JobReply(Message, frozen=True, kw_only=True):
    """Reply to the calls about jobs.

    Attributes:
        view: The state of the job, or None.
        status: HTTP status of the response to the caller.
        outcome: For a refusal: whether the call took effect.
        reason: Reason why there is no view.
        moved_to: Cell that has accepted the job; the call is to be repeated there.
    """

    view: JobView | None = None
    status: int = 200
    outcome: commands.Outcome = commands.Outcome.NOT_RUN
    reason: str = ""
    moved_to: str = ""
