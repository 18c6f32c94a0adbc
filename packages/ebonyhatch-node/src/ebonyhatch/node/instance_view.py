"""Cached list of the platform's instances, and the cells and peers derived from it."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.core import rendezvous
from ebonyhatch.ports import instances, timing
from returns import result
from twisted.internet import defer, task

READ_PERIOD_S = 1.0
"""Interval at which the list is read, seconds."""


class InstanceView:
    """Reads the list periodically, and keeps the last one while it can't be read.

    Attributes:
        failures: Number of consecutive reads that failed.
    """

    def __init__(
        self,
        *,
        port: instances.Instances,
        clock: timing.Clock,
        cells_per_domain: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        self._port = port
        self._cells_per_domain = cells_per_domain
        self._on_change = on_change
        self._listed: tuple[instances.Instance, ...] = ()
        self._grouped_by = 0
        self._by_cell: dict[str, tuple[instances.Instance, ...]] = {}
        self._loop = task.LoopingCall(lambda: defer.Deferred.fromCoroutine(self.refresh()))
        self._loop.clock = clock  # type: ignore[assignment]
        self.failures = 0

    @property
    def entries(self) -> tuple[instances.Instance, ...]:
        """Instances that the platform lists as entries."""
        return tuple(item for item in self._listed if item.role is instances.Role.ENTRY)

    @property
    def cells(self) -> tuple[str, ...]:
        """Names of the cells that have workers, sorted."""
        return tuple(sorted(self._by_cell))

    @property
    def domains(self) -> tuple[str, ...]:
        """Failure domains that have workers, sorted."""
        return tuple(sorted({item.failure_domain for item in self._workers()}))

    def workers_of(self, *, name: str) -> tuple[instances.Instance, ...]:
        """Returns the workers of a cell."""
        return self._by_cell.get(name, ())

    def start(self) -> defer.Deferred[None]:
        """Reads the list now and then periodically; fires after the first read."""
        first = defer.Deferred.fromCoroutine(self.refresh())
        self._loop.start(READ_PERIOD_S, now=False)
        return first

    def close(self) -> None:
        """Stops reading."""
        if self._loop.running:
            self._loop.stop()

    async def refresh(self) -> None:
        """Reads the list now, and reports a change."""
        outcome = await self._port.list()
        match outcome:
            case result.Success(instances.InstanceList() as listed):
                self.failures = 0
                self._apply(listed.instances)
            case _:
                self.failures += 1

    def _apply(self, listed: tuple[instances.Instance, ...]) -> None:
        cells_per_domain = self._cells_per_domain()
        if listed == self._listed and cells_per_domain == self._grouped_by:
            return
        self._listed = listed
        self._grouped_by = cells_per_domain
        self._by_cell = self._group_by_cell(cells_per_domain)
        self._on_change()

    def _workers(self) -> tuple[instances.Instance, ...]:
        return tuple(item for item in self._listed if item.role is instances.Role.WORKER)

    def _group_by_cell(self, cells_per_domain: int) -> dict[str, tuple[instances.Instance, ...]]:
        """Returns the workers by cell; empty while the number of cells isn't known."""
        grouped: dict[str, tuple[instances.Instance, ...]] = {}
        if not cells_per_domain:
            return grouped
        for worker in self._workers():
            name = rendezvous.cell_of_worker(
                worker.failure_domain, worker.instance_id, cells_per_domain
            )
            grouped[name] = (*grouped.get(name, ()), worker)
        return grouped
