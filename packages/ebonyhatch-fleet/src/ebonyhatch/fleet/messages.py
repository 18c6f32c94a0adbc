"""Messages between entries about jobs."""

from __future__ import annotations

from ebonyhatch.fleet.budget import ledger
from ebonyhatch.node import messages


class ShowCall(messages.Message, frozen=True, kw_only=True):
    """Asks the owner for a job's state."""

    job_id: str


class ShowAnswer(messages.Message, frozen=True, kw_only=True):
    """A job's state.

    Attributes:
        acting: Whether the sender is the owner and has read all jobs.
        state: State of the job; empty for a job that is unknown to the owner.
        expected: Whether a write that creates the unknown job may be on its way.
    """

    acting: bool
    state: str = ""
    expected: bool = False


class PendingCall(messages.Message, frozen=True, kw_only=True):
    """Asks the owner for the number of jobs of a queue that have not started."""

    queue: str


class PendingAnswer(messages.Message, frozen=True, kw_only=True):
    """Number of jobs of a queue that have not started.

    Attributes:
        acting: Whether the sender is the owner and has read all jobs.
        count: Number of jobs.
    """

    acting: bool
    count: int = 0


class CancelCall(messages.Message, frozen=True, kw_only=True):
    """Asks the owner to cancel a job."""

    job_id: str


class CancelAnswer(messages.Message, frozen=True, kw_only=True):
    """Outcome of a cancellation.

    Attributes:
        acting: Whether the sender is the owner and has read all jobs.
        durable: Whether the cancellation, or an earlier end of the job, is durable.
    """

    acting: bool
    durable: bool = False


class SubmitCall(messages.Message, frozen=True, kw_only=True):
    """Asks a peer to make a job durable, as the store does not serve the sender.

    Attributes:
        job_id: Id of the job.
        record: Encoded record of the accepted job.
    """

    job_id: str
    record: bytes


class SubmitAnswer(messages.Message, frozen=True, kw_only=True):
    """Outcome of a submission through a peer; one of `entry.Verdict`."""

    verdict: str


class ReserveCall(messages.Message, frozen=True, kw_only=True):
    """Asks the owner to keep memory for a job that is about to be made durable.

    Attributes:
        job_id: Id of the job.
        price_bytes: Memory that it may take, bytes.
        sent: Whether a write that creates it may be on its way, so that it can't be refused.
    """

    job_id: str
    price_bytes: int
    sent: bool = False


class ReserveAnswer(messages.Message, frozen=True, kw_only=True):
    """Whether the memory is kept.

    Attributes:
        acting: Whether the sender is the owner and has read all jobs.
        decision: The owner's decision.
    """

    acting: bool
    decision: ledger.Decision = ledger.Decision(granted=False)


class ConfigurationNotice(messages.Message, frozen=True, kw_only=True):
    """Announces a version of the configuration, or answers a `NewerConfigurationCall`.

    Attributes:
        version: Version in force at the sender.
        revision: Revision of the store that wrote the version; 0 in an announcement.
        deflated: Compressed encoding that the operators wrote; empty in an announcement, and in an
            answer to a peer that has the version.
    """

    version: int
    revision: int = 0
    deflated: bytes = b""


class NewerConfigurationCall(messages.Message, frozen=True, kw_only=True):
    """Asks a peer for a configuration newer than a version; the answer is a `ConfigurationNotice`."""

    version: int


class LoadNotice(messages.Message, frozen=True, kw_only=True):
    """The owner's report of the load of each queue and of its memory.

    Attributes:
        term: Term of the owner.
        waits_s: By queue, time until a job that is submitted now would start, seconds.
        memory_used: Share of the memory for accepted jobs that is in use.
    """

    term: int
    waits_s: dict[str, float]
    memory_used: float = 0.0
