"""Messages between entries about jobs."""

from __future__ import annotations

from ebonyhatch.node import messages


class ShowCall(messages.Message, frozen=True, kw_only=True):
    """Ask the owner for a job's state."""

    job_id: str


class ShowAnswer(messages.Message, frozen=True, kw_only=True):
    """A job's state; empty where the owner doesn't know the job.

    Attributes:
        acting: The answerer is the owner and knows all jobs.
        state: State of the job.
    """

    acting: bool
    state: str = ""


class PendingCall(messages.Message, frozen=True, kw_only=True):
    """Ask the owner how many jobs of a queue have not begun."""

    queue: str


class PendingAnswer(messages.Message, frozen=True, kw_only=True):
    """Number of jobs that have not begun."""

    acting: bool
    count: int = 0


class CancelCall(messages.Message, frozen=True, kw_only=True):
    """Ask the owner to cancel a job."""

    job_id: str


class CancelAnswer(messages.Message, frozen=True, kw_only=True):
    """What became of a cancellation.

    Attributes:
        acting: The answerer is the owner and knows all jobs.
        durable: The cancellation, or an earlier end, is durable.
    """

    acting: bool
    durable: bool = False


class SubmitCall(messages.Message, frozen=True, kw_only=True):
    """Ask a peer to make a job durable, since the store refuses the sender.

    Attributes:
        job_id: The job.
        record: Its encoded record.
    """

    job_id: str
    record: bytes


class SubmitAnswer(messages.Message, frozen=True, kw_only=True):
    """What became of it; one of `entry.Verdict`."""

    verdict: str


class ConfigurationNotice(messages.Message, frozen=True, kw_only=True):
    """A version of the configuration, as the operators wrote it."""

    version: int
    value: bytes


class LoadNotice(messages.Message, frozen=True, kw_only=True):
    """The owner's word on which queues are overloaded.

    Attributes:
        term: Its term.
        waits_s: By queue, time until a job that is submitted now would begin, seconds.
    """

    term: int
    waits_s: dict[str, float]
