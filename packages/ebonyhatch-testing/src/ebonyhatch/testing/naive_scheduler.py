"""The naive baseline scheduler: first come first served over all work."""

from __future__ import annotations

from ebonyhatch.core import commands, events, rows, scheduler
from ebonyhatch.testing import simple_scheduler

REQUEST_PREFIX = "request:"


@scheduler.policy("naive")
class NaiveScheduler(simple_scheduler.SimpleScheduler):
    """One queue, first fit, no reserve; evicts the newest task of an overloaded worker."""

    max_attempts = 3

    def _enqueue_request(self, row: rows.Request) -> None:
        self._queue.append(REQUEST_PREFIX + row.request.request_id)

    def _place(self) -> None:
        while self._queue:
            if not self._place_item(self._queue[0]):
                return
            self._queue.popleft()

    def _place_item(self, item: str) -> bool:
        if item.startswith(REQUEST_PREFIX):
            row = self._requests.get(item[len(REQUEST_PREFIX) :])
            return row is None or self._place_request(row)
        job = self._jobs.get(item)
        return job is None or job.task is not None or job.parked or self._place_job(job)

    def _on_UsageReported(self, event: events.UsageReported) -> None:  # noqa: N802
        worker = self._workers.get(event.worker_id)
        if worker is None or not worker.tasks or event.usage.fits(worker.capacity):
            return
        newest = list(worker.tasks.values())[-1]
        if newest.state is rows.TaskState.STARTING:
            newest.state = rows.TaskState.EVICTING
            self._commands.append(
                commands.EvictTask(
                    task_id=newest.task_id, worker_id=worker.worker_id, checkpoint=False
                )
            )
