"""The life of one job as a state machine; its inputs are the entries of the journal."""

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
"""States that a job never leaves."""

MOVING = frozenset({JobState.OFFERED, JobState.PASSED})
"""States of a job that another cell is asked to take, or has taken."""


class JobRow(msgspec.Struct, kw_only=True):
    """One job, as the journal tells it.

    Attributes:
        job: The job as submitted.
        state: Its state.
        attempts: Attempts that the journal has named; the last one is the only valid one.
        evictions: How often it was evicted.
        failures: How many attempts failed after they had started.
        worker_id: Worker of the last attempt.
        checkpoint: Reference to resume from; empty to begin at the start.
        progress_s: Work kept in that checkpoint, seconds.
        result: Result of a finished job.
        reason: Why it is parked or failed.
        cell: Cell that it is offered or was passed to.
        origin: Cell that passed it here and may ask again; empty once that is settled.
        guest: It was passed here, and is not passed on.
        settled: The cell that it was passed to knows that this is durable.
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
        """Id of the last attempt."""
        return f"{self.job.job_id}/{self.attempts}"


class Transitions:
    """Transitions of a job; one instance serves every row and is set to the row's state."""

    _machine = automat.MethodicalMachine()

    @_machine.state(initial=True, serialized=JobState.QUEUED)
    def _queued(self) -> None:
        """Wait for a start."""

    @_machine.state(serialized=JobState.STARTING)
    def _starting(self) -> None:
        """The last attempt is intended; it may or may not run."""

    @_machine.state(serialized=JobState.RUNNING)
    def _running(self) -> None:
        """The worker confirmed the last attempt."""

    @_machine.state(serialized=JobState.PARKED)
    def _parked(self) -> None:
        """No worker can hold it today."""

    @_machine.state(serialized=JobState.FINISHED)
    def _finished(self) -> None:
        """Ended well."""

    @_machine.state(serialized=JobState.FAILED)
    def _failed(self) -> None:
        """Given up."""

    @_machine.state(serialized=JobState.CANCELLED)
    def _cancelled(self) -> None:
        """Not wanted any more."""

    @_machine.state(serialized=JobState.OFFERED)
    def _offered(self) -> None:
        """Another cell is asked to take it; it must not start here."""

    @_machine.state(serialized=JobState.PASSED)
    def _passed(self) -> None:
        """Another cell has taken it."""

    @_machine.input()
    def offer(self) -> None:
        """Ask another cell to take the job."""

    @_machine.input()
    def withdraw(self) -> None:
        """Keep the job: the other cell certainly did not take it."""

    @_machine.input()
    def give(self) -> None:
        """Note that the other cell has taken it."""

    @_machine.input()
    def settle(self) -> None:
        """Note that the other cell knows."""

    @_machine.input()
    def intend(self) -> None:
        """Name a new attempt."""

    @_machine.input()
    def start(self) -> None:
        """Confirm the attempt."""

    @_machine.input()
    def checkpoint(self) -> None:
        """Save work of the attempt."""

    @_machine.input()
    def requeue(self) -> None:
        """End the attempt without a result."""

    @_machine.input()
    def finish(self) -> None:
        """End the job with the attempt's result."""

    @_machine.input()
    def fail(self) -> None:
        """Give the job up."""

    @_machine.input()
    def cancel(self) -> None:
        """End the job on request."""

    @_machine.input()
    def park(self) -> None:
        """Set the job aside."""

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
        """Give the state after `step`, or None when it isn't allowed in `state`."""
        self._restore(state)
        try:
            getattr(self, step)()
        except automat.NoTransition:
            return None
        return JobState(self._save())


_TRANSITIONS = Transitions()


@functools.cache
def advance(state: JobState, step: str) -> JobState | None:
    """Give the state after `step`, or None when it isn't allowed in `state`.

    The machine is a pure function of both, so that each pair is worked out once.
    """
    return _TRANSITIONS.after(state=state, step=step)
