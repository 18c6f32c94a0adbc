"""One attempt that a worker in memory runs, with its progress, lease and end."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.core import resources
from ebonyhatch.ports import behaviour, timing, workers

LEASE_RAN_OUT = "the lease ran out"
"""Reason of an attempt that was ended because nobody renewed its lease."""

Ended = Callable[["TaskRun"], None]


class TaskRun:
    """Does an attempt's work at a share of full speed until it ends."""

    def __init__(
        self,
        *,
        clock: timing.Clock,
        order: workers.TaskOrder,
        ended: Ended,
        fails_at_once: bool = False,
    ) -> None:
        self._clock = clock
        self._order = order
        self._ended = ended
        self._behaviour = behaviour.of_task(order.payload)
        self._fails = fails_at_once or self._behaviour.fail
        self._state = workers.TaskState.RUNNING
        self._reason = ""
        self._started_at = clock.seconds()
        self._ended_at = self._started_at
        self._kept_s = min(read_progress(order.checkpoint), self._behaviour.run_s)
        self._checkpoint = order.checkpoint
        self._done_s = self._behaviour.run_s if fails_at_once else self._kept_s
        self._counted_at = self._started_at
        self._share = 1.0
        self._lease_timer = clock.callLater(order.lease_s, self._run_out)
        self._work_timer: timing.Timer | None = None
        self._plan()

    @property
    def order(self) -> workers.TaskOrder:
        """The order that it carries out."""
        return self._order

    @property
    def running(self) -> bool:
        """Whether it still runs."""
        return self._state is workers.TaskState.RUNNING

    def report(self) -> workers.TaskReport:
        """Describe it as it is now."""
        finished = self._state is workers.TaskState.FINISHED
        until = self._clock.seconds() if self.running else self._ended_at
        return workers.TaskReport(
            task_id=self._order.task_id,
            job_id=self._order.job_id,
            state=self._state,
            run_s=until - self._started_at,
            progress_s=self._kept_s,
            checkpoint=self._checkpoint,
            usage=self._order.demand if self.running else resources.NONE,
            result=self._order.payload if finished else b"",
            reason=self._reason,
        )

    def renew(self, *, lease_s: float) -> None:
        """Let the lease run for `lease_s` from now."""
        if self.running:
            self._lease_timer.reset(lease_s)

    def checkpoint(self) -> workers.Checkpoint:
        """Keep the work done so far, down to the last point that can be kept."""
        self._count()
        every_s = self._behaviour.checkpoint_every_s
        kept_s = self._done_s // every_s * every_s if every_s > 0 else self._done_s
        if kept_s >= self._kept_s:
            self._kept_s = kept_s
            self._checkpoint = f"{self._order.task_id}@{kept_s}"
        return workers.Checkpoint(
            task_id=self._order.task_id, checkpoint=self._checkpoint, progress_s=self._kept_s
        )

    def throttle(self, *, share: float) -> None:
        """Work at a share of full speed from now; 0 halts it."""
        self._count()
        self._share = share
        self._plan()

    def stop(self, *, reason: str) -> None:
        """End it before its work is done."""
        if self.running:
            self._end(workers.TaskState.STOPPED, reason)

    def _plan(self) -> None:
        self._cancel_work()
        if self._share > 0:
            left_s = max(self._behaviour.run_s - self._done_s, 0.0)
            self._work_timer = self._clock.callLater(left_s / self._share, self._finish)

    def _count(self) -> None:
        now = self._clock.seconds()
        self._done_s += (now - self._counted_at) * self._share
        self._done_s = min(self._done_s, self._behaviour.run_s)
        self._counted_at = now

    def _finish(self) -> None:
        if self._fails:
            self._end(workers.TaskState.FAILED, "the task failed")
        else:
            self._end(workers.TaskState.FINISHED, "")

    def _run_out(self) -> None:
        self._end(workers.TaskState.STOPPED, LEASE_RAN_OUT)

    def _end(self, state: workers.TaskState, reason: str) -> None:
        self._state = state
        self._reason = reason
        self._ended_at = self._clock.seconds()
        self._cancel_work()
        if self._lease_timer.active():
            self._lease_timer.cancel()
        self._ended(self)

    def _cancel_work(self) -> None:
        if self._work_timer is not None and self._work_timer.active():
            self._work_timer.cancel()


def read_progress(checkpoint: str) -> float:
    """Read the seconds of work out of a checkpoint reference; 0 where there are none."""
    try:
        kept_s = float(checkpoint.rpartition("@")[2])
    except ValueError:
        return 0.0
    return kept_s if 0.0 <= kept_s <= behaviour.LONGEST_RUN_S else 0.0
