"""Typed messages between entries, carried as tagged MessagePack."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import commands, resources, scheduler
from ebonyhatch.ports import workers


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all messages; the tag is the class name."""


class Shape(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An amount of each kind of capacity, without the names of its fields on the wire."""

    slots: int = 0
    connections: int = 0
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    @property
    def amount(self) -> resources.Resources:
        """The same as resources."""
        return resources.Resources(**msgspec.structs.asdict(self))


class CellRoom(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The room of one cell under one epoch.

    Attributes:
        cell: The cell.
        epoch: Epoch of its owner.
        room: Its room.
        largest: The most of each kind that any one of its workers holds.
    """

    cell: str
    epoch: int
    room: scheduler.CapacitySummary
    largest: Shape = Shape()


class Gossip(Message, frozen=True, kw_only=True):
    """Heartbeat: what an entry knows, sent to each peer once a period.

    Attributes:
        entry_id: The sender.
        generation: Configuration generation in force there.
        ownership_version: Store version of the ownership record that it has read.
        rooms: Room of each cell that it owns.
        draining: It is stopping and takes no new work.
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
    """The encoded head record of a generation, as the store holds it; empty if none is newer."""

    generation: int
    head: bytes


class OwnershipCall(Message, frozen=True, kw_only=True):
    """Asks for an ownership record newer than `version`."""

    version: int


class OwnershipReply(Message, frozen=True, kw_only=True):
    """The encoded ownership record, as the store holds it; empty if none is newer."""

    version: int
    record: bytes


class RequestCall(Message, frozen=True, kw_only=True):
    """Forwards a request to the owner of a cell; forwarded once at most.

    Attributes:
        cell: The cell that is to serve it.
        request: The request; its `timeout_s` is the time that is left.
        work_class: Name of its work class.
        tenant: Name of its tenant.
        idempotent: Whether it may run more than once.
        idempotency_key: Key of a non-idempotent request; empty for none.
    """

    cell: str
    request: workers.ServiceRequest
    work_class: str
    tenant: str
    idempotent: bool
    idempotency_key: str = ""


class RequestReply(Message, frozen=True, kw_only=True):
    """The answer to a forwarded request, or the truth about its outcome.

    Attributes:
        request_id: The request.
        answer: The whole answer, or None.
        outcome: Whether it ran, when there is no answer.
        reason: Short reason, when there is no answer.
        retry_after_s: When a new try is likely to be served, seconds.
        room: The cell's room at this moment, or None when the cell isn't owned there.
    """

    request_id: str
    answer: workers.ServiceResponse | None = None
    outcome: commands.Outcome = commands.Outcome.NOT_RUN
    reason: str = ""
    retry_after_s: float = 0.0
    room: CellRoom | None = None


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """A job as callers see it."""

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
    """Asks a cell to take a job that has never been started; taken once by job id.

    Attributes:
        cell: The cell that is asked.
        origin: The cell that has the job.
        job: The encoded job.
        must: It may have been taken by an earlier call, so it can't be refused any more.
    """

    cell: str
    origin: str
    job: bytes
    must: bool = False


class ReleaseCall(Message, frozen=True, kw_only=True):
    """Tells a cell that a job it took is durably passed and that it won't be asked again."""

    cell: str
    job_id: str


class TransferReply(Message, frozen=True, kw_only=True):
    """Whether the cell took the job, or knows of the release.

    Attributes:
        done: It is durable.
        certain: When not done: it certainly has no effect.
        reason: Why it was not done.
    """

    done: bool
    certain: bool = True
    reason: str = ""


class ExplainCall(Message, frozen=True, kw_only=True):
    """Asks whether a cell of the receiver knows a job, attempt or request."""

    subject_id: str


class ExplainReply(Message, frozen=True, kw_only=True):
    """Where the subject is and why; an empty text where it is not known."""

    cell: str = ""
    text: str = ""


class JobReply(Message, frozen=True, kw_only=True):
    """Answer to the job calls.

    Attributes:
        view: The job, or None.
        status: HTTP status for the caller.
        outcome: For a refusal: whether the call took effect.
        reason: Why there is no view.
        moved_to: Cell that has taken the job; the call is to be made there.
    """

    view: JobView | None = None
    status: int = 200
    outcome: commands.Outcome = commands.Outcome.NOT_RUN
    reason: str = ""
    moved_to: str = ""
