"""A scheduler that also evicts attempts on request of a run."""

from __future__ import annotations

from collections.abc import Sequence

from ebonyhatch.core import commands, events, scheduler


class EvictingScheduler(scheduler.Scheduler):
    """Adds requested evictions to the decisions of another scheduler."""

    def __init__(self, *, inner: scheduler.Scheduler) -> None:
        self._inner = inner
        self._running: dict[str, str] = {}
        self._requested_count = 0

    def evict(self, *, count: int) -> None:
        """Requests the eviction of `count` running attempts with the next tick."""
        self._requested_count = count

    def tick(self, *, now: float, events: Sequence[events.Event]) -> list[commands.Command]:
        """Passes events on to the inner scheduler and adds the requested evictions."""
        for event in events:
            self._track(event)
        decided = self._inner.tick(now=now, events=events)
        for command in decided:
            if isinstance(command, commands.StartTask):
                self._running[command.task_id] = command.worker_id
        return decided + self._evictions()

    def room(self, *, now: float) -> scheduler.CapacitySummary:
        """Returns the free capacity of the cell."""
        return self._inner.room(now=now)

    def explain(self, *, subject_id: str) -> str:
        """Returns why a request or job waits."""
        return self._inner.explain(subject_id=subject_id)

    def _track(self, event: events.Event) -> None:
        if isinstance(event, events.TaskAdopted):
            self._running[event.task_id] = event.worker_id
        elif isinstance(event, _ENDS):
            self._running.pop(event.task_id, None)

    def _evictions(self) -> list[commands.Command]:
        count, self._requested_count = self._requested_count, 0
        return [
            commands.EvictTask(task_id=task_id, worker_id=worker_id, checkpoint=True)
            for task_id, worker_id in list(self._running.items())[:count]
        ]


_ENDS = (
    events.TaskStartFailed,
    events.TaskFinished,
    events.TaskFailed,
    events.TaskStopped,
    events.TaskLost,
)
