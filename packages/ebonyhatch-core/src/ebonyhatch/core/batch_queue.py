"""Queues of batch jobs: by priority, then a short and a long lane, fair between tenants."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from ebonyhatch.core import rows


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TenantQueue:
    """Jobs of one tenant at one priority in one lane, those that were evicted first.

    Attributes:
        tenant: Name of the tenant.
        resumed: Jobs that ran before, in the order in which they came back.
        fresh: Jobs in order of arrival.
    """

    tenant: str
    resumed: dict[str, rows.Job] = dataclasses.field(default_factory=dict)
    fresh: dict[str, rows.Job] = dataclasses.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.resumed) + len(self.fresh)

    def jobs(self) -> Iterator[rows.Job]:
        """Iterate over the jobs in the order in which they go."""
        yield from self.resumed.values()
        yield from self.fresh.values()


Lanes = dict[rows.Lane, dict[str, TenantQueue]]


class BatchQueue:
    """Jobs that wait for a worker, and what each tenant was served."""

    __slots__ = ("_levels", "_sizes", "_served")

    def __init__(self) -> None:
        self._levels: dict[int, Lanes] = {}
        self._sizes = dict.fromkeys(rows.Lane, 0)
        self._served: dict[tuple[int, rows.Lane, str], float] = {}

    def __len__(self) -> int:
        return sum(self._sizes.values())

    def size(self, lane: rows.Lane) -> int:
        """Jobs that wait in a lane."""
        return self._sizes[lane]

    def priorities(self) -> list[int]:
        """Priorities of waiting jobs, highest first."""
        return sorted(
            (
                priority
                for priority, lanes in self._levels.items()
                if any(lanes[lane] for lane in rows.Lane)
            ),
            reverse=True,
        )

    def push(self, row: rows.Job, *, priority: int, first: bool = False) -> None:
        """Queue a job; `first` puts it before those that never ran."""
        lanes = self._levels.setdefault(priority, {lane: {} for lane in rows.Lane})
        tenant = row.job.tenant
        queue = lanes[row.lane].get(tenant)
        if queue is None:
            self._catch_up(priority, row.lane, tenant)
            queue = lanes[row.lane][tenant] = TenantQueue(tenant=tenant)
        (queue.resumed if first else queue.fresh)[row.job.job_id] = row
        self._sizes[row.lane] += 1

    def remove(self, row: rows.Job, *, priority: int) -> bool:
        """Take a job out; tell whether it was in."""
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
        """Queues of a lane by tenant."""
        return self._levels[priority][lane]

    def served(self, *, priority: int, lane: rows.Lane, tenant: str) -> float:
        """What a tenant was served in a lane: slot-seconds over its weight."""
        return self._served.get((priority, lane, tenant), 0.0)

    def charge(self, row: rows.Job, *, priority: int, amount: float) -> None:
        """Add to what the tenant of a job was served in its lane."""
        key = (priority, row.lane, row.job.tenant)
        self._served[key] = self._served.get(key, 0.0) + amount

    def _catch_up(self, priority: int, lane: rows.Lane, tenant: str) -> None:
        """A tenant that had nothing waiting saves no claim on the past."""
        others = self._levels[priority][lane]
        busy = [self._served.get((priority, lane, other), 0.0) for other in others]
        key = (priority, lane, tenant)
        self._served[key] = max(self._served.get(key, 0.0), min(busy, default=0.0))
