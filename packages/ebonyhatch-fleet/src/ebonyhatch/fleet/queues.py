"""The configuration in force: queues, pools of targets and limits."""

from __future__ import annotations

import functools

import msgspec
from ebonyhatch.node import request_budget


class Advice(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of asking the advice service which targets may run a step of a queue, seconds.

    Attributes:
        decide_s: Time of one call without its targets.
        each_s: Additional time for each target named in the call.
        valid_s: Time for which a ticket that the service issued is valid.
    """

    decide_s: float
    each_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue to which callers submit jobs.

    Attributes:
        name: Name, which is the same in all versions.
        host: Host name in the callers' requests.
        prefix: Prefix of the path in the callers' requests.
        pool: Name of the pool of targets that runs its tasks.
        priority: 0 comes first.
        max_attempts: Number of failed runs of a task after which its job has failed.
        stretch: Multiple of its longest chain of work that a job may take.
        slack_s: Time that is added to that, seconds.
        timeout_s: Longest duration of a call, seconds.
        advice: Costs of the advice that its steps need, or None.
        regions: Regions whose targets may run its tasks; empty for all.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack_s: float = 0.0
    timeout_s: float = 0.0
    advice: Advice | None = None
    regions: tuple[str, ...] = ()


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """Targets of one service.

    Attributes:
        name: Name of the pool.
        guarded: Whether its targets refuse runs that exceed their free capacity.
        standby: Whether its targets are switched off.
        cold_start_s: Time for which a target is cold after its failure domain was returned to service,
            seconds; 0 where targets are never cold.
        cold_per_s: Number of starts a second that a cold target may get; 0 where it is not given.
    """

    name: str
    guarded: bool = False
    standby: bool = False
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Configuration(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """One accepted version of the configuration; versions only grow.

    Attributes:
        version: Number of the version.
        queues: Queues.
        pools: Pools.
        body_limit_bytes: Largest body of a call, bytes.
        head_limit_bytes: Largest head of a call, bytes.
        head_timeout_s: Time within which a head has to arrive, seconds.
        idle_timeout_s: Time after which a caller's idle connection is closed, seconds.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    body_limit_bytes: int = 262_144
    head_limit_bytes: int = 16_384
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

    def queue(self, name: str) -> Queue | None:
        """Returns a queue by name, or None."""
        return self._queues_by_name.get(name)

    def pool(self, name: str) -> Pool | None:
        """Returns a pool by name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def queue_at(self, *, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix that matches a path on a host, or None."""
        on_host = self._queues_by_host.get(host, ())
        matching = [queue for queue in on_host if path.startswith(queue.prefix)]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    @functools.cached_property
    def caller_limits(self) -> request_budget.CallerLimits:
        """Limits of callers' requests."""
        return request_budget.CallerLimits(
            body_bytes=self.body_limit_bytes,
            header_bytes=self.head_limit_bytes,
            header_s=self.head_timeout_s,
            idle_s=self.idle_timeout_s,
        )

    @functools.cached_property
    def _queues_by_name(self) -> dict[str, Queue]:
        return {queue.name: queue for queue in reversed(self.queues)}

    @functools.cached_property
    def _queues_by_host(self) -> dict[str, list[Queue]]:
        by_host: dict[str, list[Queue]] = {}
        for queue in self.queues:
            by_host.setdefault(queue.host, []).append(queue)
        return by_host
