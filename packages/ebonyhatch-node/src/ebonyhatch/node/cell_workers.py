"""Workers of a cell: which are linked, accept placements, are leaving, or were lost."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from ebonyhatch.core import events, resources
from ebonyhatch.node import coroutines, messages, task_reports, worker_link
from ebonyhatch.ports import backoff, instances, timing, workers


class CellWorkers:
    """Keeps a link to each worker and reports the workers to the scheduler."""

    def __init__(
        self,
        *,
        epoch: int,
        workers_port: workers.Workers,
        clock: timing.Clock,
        group: coroutines.CoroutineGroup,
        generator: random.Random,
        links: dict[str, worker_link.WorkerLink],
        may_act: Callable[[], bool],
        emit: task_reports.Emit,
        on_stale: Callable[[workers.StaleEpochError], None],
    ) -> None:
        self._epoch = epoch
        self._port = workers_port
        self._clock = clock
        self._group = group
        self._generator = generator
        self._links = links
        self._may_act = may_act
        self._emit = emit
        self._on_stale = on_stale
        self._reports: task_reports.TaskReports | None = None
        self._joined: dict[str, resources.Resources] = {}
        self._leaving: set[str] = set()
        self._largest_shapes: list[resources.Resources] = []
        self._max_shape = messages.Shape()

    @property
    def count(self) -> int:
        """Number of workers on which work may be placed."""
        return len(self._joined) - len(self._leaving)

    def could_ever_hold(self, demand: resources.Resources) -> bool:
        """Returns whether any worker seen so far could hold `demand`; true while none was seen."""
        return not self._largest_shapes or any(demand.fits(shape) for shape in self._largest_shapes)

    @property
    def largest(self) -> messages.Shape:
        """Maximum of each kind of resource over all workers seen so far."""
        return self._max_shape

    def start(self, *, reports: task_reports.TaskReports) -> None:
        """Starts to claim workers and to pass their reports on."""
        self._reports = reports
        for link in self._links.values():
            link.start()

    def set_listed(self, listed: tuple[instances.Instance, ...]) -> None:
        """Applies the list of the cell's workers."""
        by_id = {instance.instance_id: instance for instance in listed}
        for worker_id, instance in by_id.items():
            self._update_worker(worker_id, instance)
        for worker_id, link in list(self._links.items()):
            if worker_id not in by_id:
                link.listed = False
                self._update_leaving(link)

    def _update_worker(self, worker_id: str, instance: instances.Instance) -> None:
        link = self._links.get(worker_id)
        if link is None:
            self._add(worker_id, instance)
            return
        link.instance = instance
        link.listed = True
        self._update_leaving(link)

    def _add(self, worker_id: str, instance: instances.Instance) -> None:
        link = worker_link.WorkerLink(
            instance=instance,
            epoch=self._epoch,
            workers_port=self._port,
            clock=self._clock,
            group=self._group,
            delays=backoff.Backoff(
                generator=self._generator, limit_s=worker_link.MAX_PROBE_INTERVAL_S
            ),
            may_act=self._may_act,
            on_report=self._handle_report,
            on_refusal=self._update_leaving,
            on_lost=self._handle_lost,
            on_stale=self._on_stale,
        )
        self._links[worker_id] = link
        if self._reports is not None:
            link.start()

    def _handle_report(
        self, link: worker_link.WorkerLink, report: workers.WorkerReport, sent_at: float
    ) -> None:
        assert self._reports is not None
        self._record_shape(report.capacity)
        if self._joined.get(link.worker_id) != report.capacity:
            self._join(link, report.capacity)
        self._update_leaving(link)
        self._reports.handle_report(link, report, sent_at)
        self._emit_usage(report)
        if not link.listed and not report.tasks:
            self._remove(link)

    def _record_shape(self, capacity: resources.Resources) -> None:
        if not any(capacity.fits(shape) for shape in self._largest_shapes):
            self._largest_shapes = [
                shape for shape in self._largest_shapes if not shape.fits(capacity)
            ]
            self._largest_shapes.append(capacity)
            max_shape = resources.largest(self._largest_shapes)
            self._max_shape = messages.Shape(**msgspec.structs.asdict(max_shape))

    def _join(self, link: worker_link.WorkerLink, capacity: resources.Resources) -> None:
        self._joined[link.worker_id] = capacity
        self._leaving.discard(link.worker_id)
        instance = link.instance
        self._emit(
            events.WorkerJoined(
                worker_id=link.worker_id,
                failure_domain=instance.failure_domain,
                rack=instance.rack,
                capacity=capacity,
            )
        )

    def _update_leaving(self, link: worker_link.WorkerLink) -> None:
        worker_id = link.worker_id
        if worker_id not in self._joined:
            return
        if link.leaving and worker_id not in self._leaving:
            self._leaving.add(worker_id)
            self._emit(events.WorkerLeaving(worker_id=worker_id))
        elif not link.leaving and worker_id in self._leaving:
            self._join(link, self._joined[worker_id])

    def _emit_usage(self, report: workers.WorkerReport) -> None:
        running = [task for task in report.tasks if task.state == workers.TaskState.RUNNING]
        self._emit(
            events.UsageReported(
                worker_id=report.worker_id,
                sampled_at=self._clock.seconds() - report.sample_age_s,
                usage=report.usage,
                tasks=tuple(
                    events.TaskUsage(task_id=task.task_id, usage=task.usage) for task in running
                ),
            )
        )

    def _handle_lost(self, link: worker_link.WorkerLink) -> None:
        """Stops placement on an unresponsive worker, ends its attempts, then removes it."""
        assert self._reports is not None
        worker_id = link.worker_id
        if worker_id in self._joined:
            self._leaving.add(worker_id)
            self._emit(events.WorkerLeaving(worker_id=worker_id))
        journaled = self._reports.handle_lost_worker(worker_id)
        journaled.addCallback(lambda _: self._finish_loss(link))

    def _finish_loss(self, link: worker_link.WorkerLink) -> None:
        if link.claimed:
            self._update_leaving(link)
            return
        if self._joined.pop(link.worker_id, None) is not None:
            self._emit(events.WorkerGone(worker_id=link.worker_id))
        self._leaving.discard(link.worker_id)
        if not link.listed:
            self._remove(link)

    def _remove(self, link: worker_link.WorkerLink) -> None:
        link.close()
        self._links.pop(link.worker_id, None)
        self._leaving.discard(link.worker_id)
        if self._joined.pop(link.worker_id, None) is not None:
            self._emit(events.WorkerGone(worker_id=link.worker_id))
