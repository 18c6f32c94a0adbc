"""State machine of a job; its inputs correspond to the entries of the journal."""

from __future__ import annotations

import enum
import functools
from typing import Any

import automat
import msgspec
from ebonyhatch.core import entities


class JobState(enum.StrEnum):
    """State of a job."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    PARKED = "parked"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    OFFERED = "offered"
    PASSED = "passed"


WAITING = frozenset({JobState.QUEUED, JobState.PARKED})
"""States in which no attempt may be running."""

ATTEMPTING = frozenset({JobState.STARTING, JobState.RUNNING})
"""States in which the last attempt may be running."""

ENDED = frozenset({JobState.FINISHED, JobState.FAILED, JobState.CANCELLED})
"""Final states."""

MOVING = frozenset({JobState.OFFERED, JobState.PASSED})
"""States of a job that was offered to another cell, or that another cell has accepted."""


class JobRow(msgspec.Struct, kw_only=True):
    """One job, as reconstructed from the journal.

    Attributes:
        job: The job as submitted.
        state: State of the job.
        attempts: Number of attempts recorded in the journal; only the last one is valid.
        evictions: Number of times it was evicted.
        failures: Number of attempts that failed after they had started.
        worker_id: Worker of the last attempt.
        checkpoint: Reference to the checkpoint to resume from; empty to run from the beginning.
        progress_s: Work saved in that checkpoint, seconds.
        result: Result of the job once it is finished.
        reason: Why it is parked or failed.
        cell: Cell that it is offered to or was transferred to.
        origin: Cell that transferred it here and may still ask about it; empty once that cell has
            confirmed that it will not ask again.
        guest: Whether it was transferred here; it is not transferred again.
        settled: Whether the cell that it was transferred to knows that the transfer is durable.
    """

    job: entities.Job
    state: JobState = JobState.QUEUED
    attempts: int = 0
    evictions: int = 0
    failures: int = 0
    worker_id: str = ""
    checkpoint: str = ""
    progress_s: float = 0.0
    result: bytes = b""
    reason: str = ""
    cell: str = ""
    origin: str = ""
    guest: bool = False
    settled: bool = False

    @property
    def task_id(self) -> str:
        """Id of the task of the last attempt."""
        return f"{self.job.job_id}/{self.attempts}"


class Transitions:
    """Transitions of a job; one instance serves all rows and is set to the state of a row."""

    _machine = automat.MethodicalMachine()

    @_machine.state(initial=True, serialized=JobState.QUEUED)
    def _queued(self) -> None:
        """Waits to be started."""

    @_machine.state(serialized=JobState.STARTING)
    def _starting(self) -> None:
        """The intent to start the last attempt is recorded; the attempt may or may not run."""

    @_machine.state(serialized=JobState.RUNNING)
    def _running(self) -> None:
        """The worker confirmed the last attempt."""

    @_machine.state(serialized=JobState.PARKED)
    def _parked(self) -> None:
        """Set aside: no present worker is large enough."""

    @_machine.state(serialized=JobState.FINISHED)
    def _finished(self) -> None:
        """Ended successfully."""

    @_machine.state(serialized=JobState.FAILED)
    def _failed(self) -> None:
        """Ended without success."""

    @_machine.state(serialized=JobState.CANCELLED)
    def _cancelled(self) -> None:
        """Ended on request."""

    @_machine.state(serialized=JobState.OFFERED)
    def _offered(self) -> None:
        """Offered to another cell; it must not start here."""

    @_machine.state(serialized=JobState.PASSED)
    def _passed(self) -> None:
        """Accepted by another cell."""

    @_machine.input()
    def offer(self) -> None:
        """Offers the job to another cell."""

    @_machine.input()
    def withdraw(self) -> None:
        """Withdraws the offer: the other cell is known not to have accepted the job."""

    @_machine.input()
    def give(self) -> None:
        """Records that the other cell has accepted the job."""

    @_machine.input()
    def settle(self) -> None:
        """Records that the other cell knows that the transfer is durable."""

    @_machine.input()
    def intend(self) -> None:
        """Records the intent to start a new attempt."""

    @_machine.input()
    def start(self) -> None:
        """Records that the worker confirmed the attempt."""

    @_machine.input()
    def checkpoint(self) -> None:
        """Records a checkpoint of the attempt."""

    @_machine.input()
    def requeue(self) -> None:
        """Ends the attempt without a result and queues the job again."""

    @_machine.input()
    def finish(self) -> None:
        """Ends the job with the result of the attempt."""

    @_machine.input()
    def fail(self) -> None:
        """Ends the job without success."""

    @_machine.input()
    def cancel(self) -> None:
        """Ends the job because it was canceled."""

    @_machine.input()
    def park(self) -> None:
        """Sets the job aside because no worker is large enough."""

    @_machine.serializer()
    def _save(self, state: Any) -> Any:
        return state

    @_machine.unserializer()
    def _restore(self, state: Any) -> Any:
        return state

    for _waiting in (_queued, _parked):
        _waiting.upon(intend, enter=_starting, outputs=[])
        _waiting.upon(cancel, enter=_cancelled, outputs=[])
        _waiting.upon(park, enter=_parked, outputs=[])
        _waiting.upon(fail, enter=_failed, outputs=[])
        _waiting.upon(finish, enter=_finished, outputs=[])
        _waiting.upon(offer, enter=_offered, outputs=[])
    _offered.upon(withdraw, enter=_queued, outputs=[])
    _offered.upon(give, enter=_passed, outputs=[])
    _passed.upon(settle, enter=_passed, outputs=[])
    for _attempting in (_starting, _running):
        _attempting.upon(start, enter=_running, outputs=[])
        _attempting.upon(checkpoint, enter=_running, outputs=[])
        _attempting.upon(requeue, enter=_queued, outputs=[])
        _attempting.upon(finish, enter=_finished, outputs=[])
        _attempting.upon(fail, enter=_failed, outputs=[])
        _attempting.upon(cancel, enter=_cancelled, outputs=[])
    del _waiting, _attempting

    def after(self, *, state: JobState, step: str) -> JobState | None:
        """Returns the state after `step`, or None if `step` is not allowed in `state`."""
        self._restore(state)
        try:
            getattr(self, step)()
        except automat.NoTransition:
            return None
        return JobState(self._save())


_TRANSITIONS = Transitions()


@functools.cache
def advance(state: JobState, step: str) -> JobState | None:
    """Returns the state after `step`, or None if `step` is not allowed in `state`.

    The result depends on both arguments only, so each pair is computed once and cached.
    """
    return _TRANSITIONS.after(state=state, step=step)
