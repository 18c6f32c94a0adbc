"""Queues of batch jobs: by priority, then fair between tenants, in a short and a long lane."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from ebonyhatch.core import rows


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TenantQueue:
    """Jobs of one tenant at one priority.

    Attributes:
        tenant: Name of the tenant.
        lanes: Jobs in order of arrival, by lane; evicted ones are put first.
        served: Reserved slot-seconds over the tenant's weight, so far.
    """

    tenant: str
    lanes: dict[rows.Lane, dict[str, rows.Job]] = dataclasses.field(
        default_factory=lambda: {lane: {} for lane in rows.Lane}
    )
    resumed: dict[str, rows.Job] = dataclasses.field(default_factory=dict)
    served: float = 0.0

    def __len__(self) -> int:
        return len(self.resumed) + sum(len(lane) for lane in self.lanes.values())


class BatchQueue:
    """Jobs that wait for a worker."""

    __slots__ = ("_levels", "_size", "_short")

    def __init__(self) -> None:
        self._levels: dict[int, dict[str, TenantQueue]] = {}
        self._size = 0
        self._short = 0

    def __len__(self) -> int:
        return self._size

    @property
    def short(self) -> int:
        """Jobs that wait in the short lanes."""
        return self._short

    def push(self, row: rows.Job, *, priority: int, first: bool = False) -> None:
        """Queue a job; `first` puts it before those that never ran."""
        queue = self._tenant(priority=priority, tenant=row.job.tenant)
        if first:
            queue.resumed[row.job.job_id] = row
        else:
            queue.lanes[row.lane][row.job.job_id] = row
            self._short += row.lane is rows.Lane.SHORT
        self._size += 1

    def remove(self, row: rows.Job, *, priority: int) -> bool:
        """Take a job out; tell whether it was in."""
        queue = self._levels.get(priority, {}).get(row.job.tenant)
        if queue is None:
            return False
        if queue.resumed.pop(row.job.job_id, None) is not None:
            self._size -= 1
            return True
        if queue.lanes[row.lane].pop(row.job.job_id, None) is not None:
            self._size -= 1
            self._short -= row.lane is rows.Lane.SHORT
            return True
        return False

    def levels(self) -> Iterator[list[TenantQueue]]:
        """Iterate over priorities, highest first; tenants least served first."""
        for priority in sorted(self._levels, reverse=True):
            waiting = [queue for queue in self._levels[priority].values() if len(queue)]
            if waiting:
                yield sorted(waiting, key=lambda queue: queue.served)

    def charge(self, row: rows.Job, *, priority: int, amount: float) -> None:
        """Add to what a tenant was served."""
        self._tenant(priority=priority, tenant=row.job.tenant).served += amount

    def _tenant(self, *, priority: int, tenant: str) -> TenantQueue:
        level = self._levels.setdefault(priority, {})
        queue = level.get(tenant)
        if queue is None:
            served = min((other.served for other in level.values()), default=0.0)
            queue = level[tenant] = TenantQueue(tenant=tenant, served=served)
        elif not len(queue):
            busy = [other.served for other in level.values() if len(other)]
            queue.served = max(queue.served, min(busy, default=queue.served))
        return queue
