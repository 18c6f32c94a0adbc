"""Observation of one worker after each step of a run."""

from __future__ import annotations

from ebonyhatch.core import resources
from ebonyhatch.ports import worker_engine, workers
from ebonyhatch.testing import history

FINISHED_STATES = (workers.TaskState.FINISHED,)


class WorkerObserver:
    """Records starts and ends on one worker; a restarted worker gets a new observer."""

    def __init__(
        self,
        *,
        engine: worker_engine.WorkerEngine,
        capacity: resources.Resources,
        run: history.History,
    ) -> None:
        self._engine = engine
        self._capacity = capacity
        self._run = run
        self._tasks_seen = 0
        self._requests_seen = 0
        self._running: set[str] = set()
        self._finished: set[str] = set()

    def record_changes(self, *, now: float) -> None:
        """Records the starts and ends since the last call."""
        worker_id = self._engine.worker_id
        reports = {task.task_id: task for task in self._engine.report().tasks}
        running = {
            name for name, task in reports.items() if task.state is workers.TaskState.RUNNING
        }
        started = self._engine.task_starts[self._tasks_seen :]
        self._tasks_seen += len(started)
        for task_id in sorted(self._running - running):
            finished = task_id in reports and reports[task_id].state in FINISHED_STATES
            self._end(task_id, now, finished)
        for start in started:
            self._run.add(
                history.TaskRan(
                    at=start.at,
                    task_id=start.subject_id,
                    job_id=_job(start.subject_id),
                    worker_id=worker_id,
                    epoch=start.epoch,
                )
            )
            if start.subject_id not in running:
                self._end(start.subject_id, now, start.subject_id in reports)
        self._running = running
        self._record_forgotten_tasks(reports, now)
        self._record_requests()

    def record_termination(self, *, now: float) -> None:
        """Records the end of all running attempts when the worker's process ends."""
        for task_id in sorted(self._running):
            self._end(task_id, now, False)
        self._running = set()

    def record_highest_use(self, *, now: float) -> None:
        """Records the highest use of the worker."""
        self._run.add(
            history.WorkerUsed(
                at=now,
                worker_id=self._engine.worker_id,
                capacity=self._capacity,
                highest=self._engine.highest_use,
            )
        )

    def _record_forgotten_tasks(self, reports: dict[str, workers.TaskReport], now: float) -> None:
        finished = {name for name, task in reports.items() if task.state in FINISHED_STATES}
        for task_id in sorted(self._finished - finished):
            self._run.add(
                history.TaskForgotten(
                    at=now,
                    task_id=task_id,
                    job_id=_job(task_id),
                    worker_id=self._engine.worker_id,
                )
            )
        self._finished = finished

    def _record_requests(self) -> None:
        started = self._engine.request_starts[self._requests_seen :]
        self._requests_seen += len(started)
        for start in started:
            self._run.add(
                history.RequestRan(
                    at=start.at,
                    request_id=start.subject_id,
                    worker_id=self._engine.worker_id,
                    epoch=start.epoch,
                )
            )

    def _end(self, task_id: str, now: float, finished: bool) -> None:
        self._run.add(
            history.TaskEnded(
                at=now,
                task_id=task_id,
                job_id=_job(task_id),
                worker_id=self._engine.worker_id,
                finished=finished,
            )
        )


def _job(task_id: str) -> str:
    return task_id.rpartition("/")[0]
