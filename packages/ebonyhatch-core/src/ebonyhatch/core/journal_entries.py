"""Entries of a cell's journal; the state of a cell is obtained by replaying its entries."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import entities


class Entry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of all entries; the tag of an encoded entry is its class name."""


class JobSubmitted(Entry, frozen=True, kw_only=True):
    """A job was accepted from a caller, or from another cell, which `origin` names."""

    job: entities.Job
    origin: str = ""


class AttemptIntended(Entry, frozen=True, kw_only=True):
    """An attempt is about to be started; from now on only this attempt may end the job."""

    job_id: str
    attempt: int
    worker_id: str


class AttemptStarted(Entry, frozen=True, kw_only=True):
    """The worker confirmed the start of the attempt."""

    job_id: str
    attempt: int


class AttemptWithdrawn(Entry, frozen=True, kw_only=True):
    """The attempt is known never to have run."""

    job_id: str
    attempt: int
    reason: str


class AttemptCheckpointed(Entry, frozen=True, kw_only=True):
    """The attempt saved a checkpoint that holds `progress_s` seconds of work."""

    job_id: str
    attempt: int
    checkpoint: str
    progress_s: float


class AttemptEvicted(Entry, frozen=True, kw_only=True):
    """The attempt was stopped; its job is queued again and resumes from its last checkpoint."""

    job_id: str
    attempt: int
    checkpoint: str
    progress_s: float


class AttemptLost(Entry, frozen=True, kw_only=True):
    """The lease of the attempt expired or its worker was lost; its job is queued again."""

    job_id: str
    attempt: int


class AttemptFailed(Entry, frozen=True, kw_only=True):
    """The attempt failed; its job is queued again."""

    job_id: str
    attempt: int
    reason: str


class JobFinished(Entry, frozen=True, kw_only=True):
    """The attempt succeeded, which finishes the job."""

    job_id: str
    attempt: int
    result: bytes
    reason: str = ""


class JobFailed(Entry, frozen=True, kw_only=True):
    """The job failed permanently because too many of its attempts failed."""

    job_id: str
    attempt: int
    reason: str


class JobCancelled(Entry, frozen=True, kw_only=True):
    """The job was canceled."""

    job_id: str


class JobParked(Entry, frozen=True, kw_only=True):
    """The job is set aside because no present worker of the cell is large enough for it."""

    job_id: str
    reason: str


class JobOffered(Entry, frozen=True, kw_only=True):
    """The job is about to be offered to another cell; it must not start here meanwhile."""

    job_id: str
    cell: str


class OfferWithdrawn(Entry, frozen=True, kw_only=True):
    """The other cell is known not to have accepted the job."""

    job_id: str


class JobPassed(Entry, frozen=True, kw_only=True):
    """The other cell has accepted the job."""

    job_id: str


class PassSettled(Entry, frozen=True, kw_only=True):
    """The other cell knows that the transfer is durable here and no longer asks about it."""

    job_id: str


class OriginReleased(Entry, frozen=True, kw_only=True):
    """The cell that transferred the job to this one will not ask about it again."""

    job_id: str


class KeyIntended(Entry, frozen=True, kw_only=True):
    """A request with an idempotency key is about to be sent.

    Attributes:
        key: Idempotency key, unique within its tenant and service.
        request_id: Id of the request that is sent for the key.
        digest: Digest of the request; a repetition with a different digest is refused.
    """

    key: str
    request_id: str
    digest: str


class KeyAnswered(Entry, frozen=True, kw_only=True):
    """The request of an idempotency key was answered.

    Attributes:
        key: Idempotency key.
        request_id: Id of the request that was answered.
        answer: The encoded response; empty if it is too large to store.
    """

    key: str
    request_id: str
    answer: bytes


class KeyReleased(Entry, frozen=True, kw_only=True):
    """The request of an idempotency key is known not to have run; a repetition may run."""

    key: str
    request_id: str


AnyEntry = (
    JobSubmitted
    | AttemptIntended
    | AttemptStarted
    | AttemptWithdrawn
    | AttemptCheckpointed
    | AttemptEvicted
    | AttemptLost
    | AttemptFailed
    | JobFinished
    | JobFailed
    | JobCancelled
    | JobParked
    | JobOffered
    | OfferWithdrawn
    | JobPassed
    | PassSettled
    | OriginReleased
    | KeyIntended
    | KeyAnswered
    | KeyReleased
)
"""All kinds of entries that a journal may contain."""
