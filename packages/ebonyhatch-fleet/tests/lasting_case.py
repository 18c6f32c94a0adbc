"""A fleet with a long-running task on one target, for tests of changes of the owner."""

from __future__ import annotations

import world as world_module
from ebonyhatch.fleet import entry, jobs


class LastingCase:
    """A fleet in memory, its job with one task that lasts, and the target that runs it first."""

    def __init__(
        self,
        *,
        entries: int = 3,
        target_count: int = 4,
        lease_s: float = world_module.LEASE_S,
    ) -> None:
        self.world = world_module.World(entries=entries, target_count=target_count, lease_s=lease_s)
        self.wait_for_recovery()
        self.world.run(1.0)
        self.job = self.world.job(
            jobs.Step(count=1, cpu_millis=1000, long_running=True), work_s=-1.0
        )
        answer = self.world.submit(self.job, at=self.world.owner.name)
        assert answer.verdict == entry.Verdict.DONE
        self.world.run_until(lambda: self.starts)
        self.world.run(1.0)
        ((_, _, _, self.name),) = self.starts
        self.engine = self.world.engines[self.name]

    @property
    def starts(self) -> list[tuple[float, str, int, str]]:
        return self.world.starts(self.job.job_id)

    def wait_for_recovery(self) -> None:
        world = self.world
        world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)

    def replace_owner(self) -> world_module.Member:
        self.world.kill(self.world.owner.name)
        self.world.run_until(lambda: self.world.owner is not None)
        return self.world.owner
