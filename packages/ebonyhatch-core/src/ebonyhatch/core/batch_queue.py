"""Queues of batch jobs by priority, lane (short or long) and tenant; fair between tenants."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from ebonyhatch.core import rows


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TenantQueue:
    """Jobs of one tenant at one priority in one lane; jobs that ran before go first.

    Attributes:
        tenant: Name of the tenant.
        resumed: Jobs that ran before, in the order in which they were queued again.
        fresh: Jobs in order of arrival.
    """

    tenant: str
    resumed: dict[str, rows.Job] = dataclasses.field(default_factory=dict)
    fresh: dict[str, rows.Job] = dataclasses.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.resumed) + len(self.fresh)

    def jobs(self) -> Iterator[rows.Job]:
        """Iterates over the jobs in the order of placement."""
        yield from self.resumed.values()
        yield from self.fresh.values()


Lanes = dict[rows.Lane, dict[str, TenantQueue]]


class BatchQueue:
    """Jobs that wait for a worker, and the service that each tenant received."""

    __slots__ = ("_levels", "_sizes", "_service_received")

    def __init__(self) -> None:
        self._levels: dict[int, Lanes] = {}
        self._sizes = dict.fromkeys(rows.Lane, 0)
        self._service_received: dict[tuple[int, rows.Lane, str], float] = {}

    def __len__(self) -> int:
        return sum(self._sizes.values())

    def size(self, lane: rows.Lane) -> int:
        """Returns the number of jobs that wait in a lane."""
        return self._sizes[lane]

    def priorities(self) -> list[int]:
        """Returns the priorities of waiting jobs, highest first."""
        return sorted(
            (
                priority
                for priority, lanes in self._levels.items()
                if any(lanes[lane] for lane in rows.Lane)
            ),
            reverse=True,
        )

    def push(self, row: rows.Job, *, priority: int, first: bool = False) -> None:
        """Queues a job; `first` puts it before the jobs that never ran."""
        lanes = self._levels.setdefault(priority, {lane: {} for lane in rows.Lane})
        tenant = row.job.tenant
        queue = lanes[row.lane].get(tenant)
        if queue is None:
            self._catch_up(priority, row.lane, tenant)
            queue = lanes[row.lane][tenant] = TenantQueue(tenant=tenant)
        (queue.resumed if first else queue.fresh)[row.job.job_id] = row
        self._sizes[row.lane] += 1

    def remove(self, row: rows.Job, *, priority: int) -> bool:
        """Removes a job; returns whether it was queued."""
        lanes = self._levels.get(priority)
        queue = lanes[row.lane].get(row.job.tenant) if lanes is not None else None
        if lanes is None or queue is None:
            return False
        job_id = row.job.job_id
        if queue.resumed.pop(job_id, None) is None and queue.fresh.pop(job_id, None) is None:
            return False
        self._sizes[row.lane] -= 1
        if not len(queue):
            del lanes[row.lane][row.job.tenant]
        return True

    def waiting(self, *, priority: int, lane: rows.Lane) -> dict[str, TenantQueue]:
        """Returns the queues of a lane by tenant."""
        return self._levels[priority][lane]

    def service_received(self, *, priority: int, lane: rows.Lane, tenant: str) -> float:
        """Returns the service a tenant received in a lane: slot-seconds divided by its weight."""
        return self._service_received.get((priority, lane, tenant), 0.0)

    def charge(self, row: rows.Job, *, priority: int, amount: float) -> None:
        """Adds to the service that the tenant of a job received in its lane."""
        key = (priority, row.lane, row.job.tenant)
        self._service_received[key] = self._service_received.get(key, 0.0) + amount

    def _catch_up(self, priority: int, lane: rows.Lane, tenant: str) -> None:
        """Raises the service of a tenant without waiting jobs to the least of the waiting tenants.

        Otherwise a tenant could save up a claim on service while it asks for none.
        """
        others = self._levels[priority][lane]
        busy = [self._service_received.get((priority, lane, other), 0.0) for other in others]
        key = (priority, lane, tenant)
        self._service_received[key] = max(
            self._service_received.get(key, 0.0), min(busy, default=0.0)
        )
