"""The configuration in force: queues, pools of targets and limits."""

from __future__ import annotations

import msgspec


class Advice(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of asking which targets may run a step of a queue, seconds.

    Attributes:
        decide_s: Time of one call.
        each_s: Time for each target named in it.
        valid_s: How long a ticket is valid.
    """

    decide_s: float
    each_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """Where callers submit jobs.

    Attributes:
        name: Its name, which stays the same over versions.
        host: Host name by which callers address it.
        prefix: Start of the path by which callers address it.
        pool: Pool of targets that runs its tasks.
        priority: 0 comes first.
        max_attempts: Failed runs of a task after which the job has failed.
        stretch: Times of its longest chain of work that a job may take.
        slack_s: Time beyond that, seconds.
        timeout_s: Longest time that a call may take, seconds.
        advice: Costs of the advice that its steps need, or None.
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


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """Targets of one service.

    Attributes:
        name: Its name.
        guarded: Targets refuse what they have no room for.
        standby: Its targets are switched off.
    """

    name: str
    guarded: bool = False
    standby: bool = False


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted version of the configuration; versions only grow.

    Attributes:
        version: Its version.
        queues: Queues.
        pools: Pools by name.
        body_limit_bytes: Longest body of a call.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    body_limit_bytes: int = 262_144

    def queue(self, name: str) -> Queue | None:
        """Find a queue by name."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def pool(self, name: str) -> Pool | None:
        """Find a pool by name."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def queue_at(self, *, host: str, path: str) -> Queue | None:
        """Find the queue with the longest prefix of a path on a host."""
        found = [
            queue for queue in self.queues if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(found, key=lambda queue: len(queue.prefix), default=None)
