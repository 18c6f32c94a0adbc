"""Entries of a cell's journal; the state of a cell is the fold of its entries."""

from __future__ import annotations

import msgspec
from ebonyhatch.core import entities


class Entry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all entries; the tag is the class name."""


class JobSubmitted(Entry, frozen=True, kw_only=True):
    """A job was accepted, from a caller or from the cell `origin`."""

    job: entities.Job
    origin: str = ""


class AttemptIntended(Entry, frozen=True, kw_only=True):
    """An attempt is about to be started; from now it is the only one that may end the job."""

    job_id: str
    attempt: int
    worker_id: str


class AttemptStarted(Entry, frozen=True, kw_only=True):
    """The worker confirmed the start."""

    job_id: str
    attempt: int


class AttemptWithdrawn(Entry, frozen=True, kw_only=True):
    """The attempt certainly never ran."""

    job_id: str
    attempt: int
    reason: str


class AttemptCheckpointed(Entry, frozen=True, kw_only=True):
    """The attempt saved `progress_s` seconds of work."""

    job_id: str
    attempt: int
    checkpoint: str
    progress_s: float


class AttemptEvicted(Entry, frozen=True, kw_only=True):
    """The attempt was stopped and its job is queued again from its last checkpoint."""

    job_id: str
    attempt: int
    checkpoint: str
    progress_s: float


class AttemptLost(Entry, frozen=True, kw_only=True):
    """The attempt's lease ran out or its worker is gone; its job is queued again."""

    job_id: str
    attempt: int


class AttemptFailed(Entry, frozen=True, kw_only=True):
    """The attempt ended badly; its job is queued again."""

    job_id: str
    attempt: int
    reason: str


class JobFinished(Entry, frozen=True, kw_only=True):
    """The attempt ended well, and with it the job."""

    job_id: str
    attempt: int
    result: bytes
    reason: str = ""


class JobFailed(Entry, frozen=True, kw_only=True):
    """The job is given up after too many failed attempts."""

    job_id: str
    attempt: int
    reason: str


class JobCancelled(Entry, frozen=True, kw_only=True):
    """The job is not wanted any more."""

    job_id: str


class JobParked(Entry, frozen=True, kw_only=True):
    """No worker of the cell can hold the job today."""

    job_id: str
    reason: str


class JobOffered(Entry, frozen=True, kw_only=True):
    """Another cell is about to be asked to take the job, which must not start here."""

    job_id: str
    cell: str


class OfferWithdrawn(Entry, frozen=True, kw_only=True):
    """The other cell certainly did not take the job."""

    job_id: str


class JobPassed(Entry, frozen=True, kw_only=True):
    """The other cell has taken the job."""

    job_id: str


class PassSettled(Entry, frozen=True, kw_only=True):
    """The other cell knows that the pass is durable and asks no more."""

    job_id: str


class OriginReleased(Entry, frozen=True, kw_only=True):
    """The cell that passed the job here will not ask again."""

    job_id: str


class KeyIntended(Entry, frozen=True, kw_only=True):
    """A request with an idempotency key is about to be sent.

    Attributes:
        key: Key within its tenant and service.
        request_id: The request that is sent for it.
        digest: Digest of the request; a repeat with another one is refused.
    """

    key: str
    request_id: str
    digest: str


class KeyAnswered(Entry, frozen=True, kw_only=True):
    """The request of a key was answered.

    Attributes:
        key: The key.
        request_id: The request that was answered.
        answer: The encoded answer; empty when it is too large to keep.
    """

    key: str
    request_id: str
    answer: bytes


class KeyReleased(Entry, frozen=True, kw_only=True):
    """The request of a key certainly did not run; a repeat may run."""

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
"""Every entry that a journal may hold."""
