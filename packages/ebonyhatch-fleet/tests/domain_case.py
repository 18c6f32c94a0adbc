"""A scheduler whose targets are spread over failure domains, for tests of their evacuation."""

from __future__ import annotations

from typing import Any

from ebonyhatch.fleet import commands, jobs, queues, rows, scheduler, targets
from ebonyhatch.fleet.evacuation import domains

QUEUE = queues.Queue(name="q", host="h", prefix="/q/", pool="p", priority=1, max_attempts=3)


class DomainCase:
    """A scheduler whose targets are spread over failure domains; a name begins with its domain."""

    def __init__(self, *names: str) -> None:
        self.domains = domains.Domains()
        self.events: list[dict[str, Any]] = []
        self.scheduler = scheduler.Scheduler(decide=self._decide, requests=self.domains)
        self.scheduler.reconciled = self.scheduler.may_place = True
        self.rows = {name: self.add(name) for name in names}
        self._revision = 0
        self._jobs = 0
        self._clock_s = 1.0

    def _decide(self, event: str, run: rows.RunRow | None, **fields: Any) -> None:
        self.events.append({"event": event, **fields})

    def logged(self, event: str) -> list[dict[str, Any]]:
        return [one for one in self.events if one["event"] == event]

    def add(self, name: str, *, cpu_millis: int = 4_000, **optional: Any) -> rows.TargetRow:
        target = targets.Target(
            target_id=name,
            address=f"{name}:1",
            pool="p",
            failure_domain=name[0],
            born=1,
            cpu_millis=cpu_millis,
            memory_mb=1_000,
            **optional,
        )
        row = self.scheduler.set_target(target, now=0.0)
        row.confirmed = row.announced = True
        return row

    def set_cold_start(self, cold_start_s: float, *, cold_per_s: float = 0.0) -> None:
        pool = queues.Pool(name="p", cold_start_s=cold_start_s, cold_per_s=cold_per_s)
        configuration = queues.Configuration(version=1, queues=(QUEUE,), pools=(pool,))
        self.scheduler.configure(configuration)

    def submit(self, *steps: jobs.Step, queue: queues.Queue = QUEUE) -> rows.JobRow:
        self._jobs += 1
        job = jobs.Job(job_id=f"{self._jobs:016x}", queue=queue.name, spec="", steps=steps)
        row = rows.JobRow(job=job, queue=queue)
        self.scheduler.add_job(row, now=0.0, wall=0.0)
        return row

    def request(self, domain: str, *, now: float = 0.0) -> None:
        self._revision += 1
        self.domains.request(domain, revision=self._revision)
        self.apply(now=now)

    def end(self, domain: str, *, now: float = 0.0) -> None:
        self._revision += 1
        self.domains.end(domain, revision=self._revision, now=now)
        self.apply(now=now)

    def apply(self, *, now: float = 0.0) -> None:
        self.scheduler.evacuation.apply(now=now)
        self.scheduler.evacuation.log_unknown()

    def tick(self, now: float = 0.0) -> list[commands.Command]:
        return self.scheduler.tick(now=now, wall=now)

    def confirm(self, ordered: list[commands.Command], *, now: float = 0.0) -> None:
        for command in ordered:
            if isinstance(command, commands.StartRun):
                self.scheduler.reconciler.start_confirmed(command.run, clock_s=0.1, now=now)

    def report(
        self,
        name: str,
        *,
        now: float,
        running: tuple[targets.Running, ...] = (),
        ended: tuple[targets.Ended, ...] = (),
    ) -> None:
        self._clock_s += 1.0
        report = targets.StatusReport(clock_s=self._clock_s, born=1, running=running, ended=ended)
        self.scheduler.apply_report(self.scheduler.tables.targets[name], report, now=now)


def starts(ordered: list[commands.Command]) -> list[str]:
    return sorted(c.run.target.target_id for c in ordered if isinstance(c, commands.StartRun))


def stops(ordered: list[commands.Command]) -> list[str]:
    return sorted(c.target.target_id for c in ordered if isinstance(c, commands.StopRun))
