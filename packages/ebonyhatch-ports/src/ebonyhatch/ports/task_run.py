"""One attempt on an in-memory worker, with its progress, lease and end."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.core import resources
from ebonyhatch.ports import behaviour, timing, workers

LEASE_EXPIRED = "the lease expired"
"""Reason of an attempt that was stopped because its lease was not renewed."""

EndCallback = Callable[["TaskRun"], None]


class TaskRun:
    """Simulates the work of an attempt, at a fraction of full speed, until it ends."""

    def __init__(
        self,
        *,
        clock: timing.Clock,
        order: workers.TaskOrder,
        on_end: EndCallback,
        fails_at_once: bool = False,
    ) -> None:
        self._clock = clock
        self._order = order
        self._on_end = on_end
        self._behaviour = behaviour.of_task(order.payload)
        self._fails = fails_at_once or self._behaviour.fail
        self._state = workers.TaskState.RUNNING
        self._reason = ""
        self._started_at = clock.seconds()
        self._ended_at = self._started_at
        self._saved_s = min(read_progress(order.checkpoint), self._behaviour.run_s)
        self._checkpoint = order.checkpoint
        self._done_s = self._behaviour.run_s if fails_at_once else self._saved_s
        self._updated_at = self._started_at
        self._speed_fraction = 1.0
        self._lease_timer = clock.callLater(order.lease_s, self._expire)
        self._work_timer: timing.Timer | None = None
        self._schedule_finish()

    @property
    def order(self) -> workers.TaskOrder:
        """The order that started the attempt."""
        return self._order

    @property
    def running(self) -> bool:
        """Whether the attempt is running."""
        return self._state is workers.TaskState.RUNNING

    def report(self) -> workers.TaskReport:
        """Returns a report of the current state."""
        finished = self._state is workers.TaskState.FINISHED
        until = self._clock.seconds() if self.running else self._ended_at
        return workers.TaskReport(
            task_id=self._order.task_id,
            job_id=self._order.job_id,
            state=self._state,
            run_s=until - self._started_at,
            progress_s=self._saved_s,
            checkpoint=self._checkpoint,
            usage=self._order.demand if self.running else resources.NONE,
            result=self._order.payload if finished else b"",
            reason=self._reason,
        )

    def renew(self, *, lease_s: float) -> None:
        """Sets the lease to expire `lease_s` from now, if the attempt is running."""
        if self.running:
            self._lease_timer.reset(lease_s)

    def checkpoint(self) -> workers.Checkpoint:
        """Saves the work done so far, down to the last point at which the state can be saved."""
        self._update_progress()
        every_s = self._behaviour.checkpoint_every_s
        saved_s = self._done_s // every_s * every_s if every_s > 0 else self._done_s
        if saved_s >= self._saved_s:
            self._saved_s = saved_s
            self._checkpoint = f"{self._order.task_id}@{saved_s}"
        return workers.Checkpoint(
            task_id=self._order.task_id, checkpoint=self._checkpoint, progress_s=self._saved_s
        )

    def throttle(self, *, fraction: float) -> None:
        """Continues at a fraction of full speed; 0 pauses the attempt."""
        self._update_progress()
        self._speed_fraction = fraction
        self._schedule_finish()

    def stop(self, *, reason: str) -> None:
        """Stops the attempt if it is running."""
        if self.running:
            self._end(workers.TaskState.STOPPED, reason)

    def _schedule_finish(self) -> None:
        self._cancel_work()
        if self._speed_fraction > 0:
            remaining_s = max(self._behaviour.run_s - self._done_s, 0.0)
            self._work_timer = self._clock.callLater(
                remaining_s / self._speed_fraction, self._finish
            )

    def _update_progress(self) -> None:
        now = self._clock.seconds()
        self._done_s += (now - self._updated_at) * self._speed_fraction
        self._done_s = min(self._done_s, self._behaviour.run_s)
        self._updated_at = now

    def _finish(self) -> None:
        if self._fails:
            self._end(workers.TaskState.FAILED, "the task failed")
        else:
            self._end(workers.TaskState.FINISHED, "")

    def _expire(self) -> None:
        self._end(workers.TaskState.STOPPED, LEASE_EXPIRED)

    def _end(self, state: workers.TaskState, reason: str) -> None:
        self._state = state
        self._reason = reason
        self._ended_at = self._clock.seconds()
        self._cancel_work()
        if self._lease_timer.active():
            self._lease_timer.cancel()
        self._on_end(self)

    def _cancel_work(self) -> None:
        if self._work_timer is not None and self._work_timer.active():
            self._work_timer.cancel()


def read_progress(checkpoint: str) -> float:
    """Returns the seconds of work that a checkpoint reference contains; 0 if there are none."""
    try:
        saved_s = float(checkpoint.rpartition("@")[2])
    except ValueError:
        return 0.0
    return saved_s if 0.0 <= saved_s <= behaviour.MAX_RUN_S else 0.0
