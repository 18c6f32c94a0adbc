"""A complete fleet in memory on a fake clock: entries, store, targets and callers, and checks."""

from __future__ import annotations

import dataclasses
import itertools

import event_clock
import msgspec
from ebonyhatch.fleet import (
    clocks,
    configuration_source,
    entry,
    jobs,
    keys,
    memory_link,
    memory_peers,
    memory_store,
    memory_targets,
    node,
    progress,
    queues,
    store,
    target_list,
    targets,
)
from ebonyhatch.fleet.evacuation import requests as evacuation_requests
from twisted.internet import defer, task

STEP_S = 0.005
CONFIGURATION_KEY = "operators/configuration"
TARGETS_PREFIX = "targets/"
EVACUATIONS_PREFIX = "operators/evacuate/"
LEASE_S = 6.0
THIN_BYTES_PER_S = 625_000
CRASH_DOWN_S = 1.5
EXPIRY_S = 3.0
LARGE_STEP_S = 0.05
"""Step of a large fleet, and interval at which its waiting calls check for changes, seconds."""

RECORD_SPEC_BYTES = 900
PUTS_PER_COMMIT = 30
POOL = "pool"
QUEUE = queues.Queue(
    name="plans",
    host="h",
    prefix="/p/",
    pool=POOL,
    priority=1,
    max_attempts=3,
    stretch=2,
    slack_s=1,
)


class Codec(configuration_source.Codec):
    """Decodes configurations from plain JSON."""

    @property
    def key(self) -> str:
        return CONFIGURATION_KEY

    def decode(self, value: bytes) -> queues.Configuration | None:
        return msgspec.json.decode(value, type=queues.Configuration)


class JsonTargetCodec(target_list.TargetCodec):
    """Decodes targets from plain JSON."""

    @property
    def prefix(self) -> str:
        return TARGETS_PREFIX

    def decode(self, item: store.Item) -> targets.Target | None:
        return msgspec.json.decode(item.value, type=targets.Target)


class EvacuationCodec(evacuation_requests.Codec):
    """Takes every name and every JSON object as a request."""

    @property
    def prefix(self) -> str:
        return EVACUATIONS_PREFIX

    def problem(self, domain: str, value: bytes) -> str:
        try:
            msgspec.json.decode(value, type=dict)
        except msgspec.DecodeError as error:
            return str(error)
        return ""


@dataclasses.dataclass(slots=True, kw_only=True)
class Member:
    """One running entry."""

    name: str
    node: node.Node
    clocks: clocks.MemoryClocks
    store: memory_store.MemoryStore
    targets: memory_targets.MemoryTargets
    link: memory_link.Link | None = None


class World:
    """A fleet whose parts share one clock; a large one runs in coarse steps on an `EventClock`."""

    def __init__(
        self,
        *,
        entries: int = 3,
        target_count: int = 4,
        keep_ended_s: float = 600.0,
        large: bool = False,
        placement_policy: str = "greedy",
        lease_s: float = LEASE_S,
        memory_bytes: float = 0.0,
    ) -> None:
        self.memory_bytes = memory_bytes
        self.placement_policy = placement_policy
        self.lease_s = lease_s
        self.clock = event_clock.EventClock() if large else task.Clock()
        self.step_s = LARGE_STEP_S if large else STEP_S
        self.large = large
        self.keep_ended_s = keep_ended_s
        self.store = memory_store.StoreEngine(clock=self.clock)
        self.network = memory_peers.MemoryNetwork(clock=self.clock)
        self.work: dict[str, float] = {}
        self.engines: dict[str, memory_targets.TargetEngine] = {}
        self.members: dict[str, Member] = {}
        self.accepted: dict[str, jobs.Job] = {}
        self.deadly: set[str] = set()
        self.replace_crashed = False
        self.crashes: list[tuple[float, str, tuple[str, ...]]] = []
        self._ids = itertools.count(1)
        for number in range(target_count):
            self.add_target(f"t{number}", rack=f"r{number % 2}")
        self.configure(queues.Configuration(version=1, queues=(QUEUE,), pools=(POOL_ROW,)))
        for number in range(entries):
            self.start(f"e{number}")

    def configure(self, configuration: queues.Configuration) -> None:
        value = msgspec.json.encode(configuration)
        self.store.commit((), (store.Put(key=CONFIGURATION_KEY, value=value),), ())

    def evacuate(self, domain: str, value: bytes = b"{}") -> None:
        self.store.commit((), (store.Put(key=EVACUATIONS_PREFIX + domain, value=value),), ())

    def end_evacuation(self, domain: str) -> None:
        self.store.commit((), (), (EVACUATIONS_PREFIX + domain,))

    def add_target(
        self, target_id: str, *, rack: str = "", cpu_millis: int = 4000, domain: str = "a"
    ) -> None:
        target = targets.Target(
            target_id=target_id,
            address=f"{target_id}:1",
            pool=POOL,
            failure_domain=domain,
            born=1,
            rack=rack,
            cpu_millis=cpu_millis,
            memory_mb=4000,
        )
        self.engines[target_id] = memory_targets.TargetEngine(
            clock=self.clock, target=target, work_s=self._work_s, max_lease_s=self.lease_s
        )
        self.register(target)

    def register(self, target: targets.Target) -> None:
        value = msgspec.json.encode(target)
        self.store.commit((), (store.Put(key=TARGETS_PREFIX + target.target_id, value=value),), ())

    def restart_target(self, target_id: str) -> None:
        engine = self.engines[target_id]
        tasks = tuple(sorted({key.task for key in engine.runs}))
        self.crashes.append((self.clock.seconds(), target_id, tasks))
        engine.restart()
        self.register(engine.target)

    def crash_target(self, target_id: str, *, down_s: float = CRASH_DOWN_S) -> None:
        """Crashes a target; it is back after a while as a new incarnation.

        With `replace_crashed` that has an id of its own, and the old registration expires later.
        """
        engine = self.engines[target_id]
        tasks = tuple(sorted({key.task for key in engine.runs}))
        self.crashes.append((self.clock.seconds(), target_id, tasks))
        engine.restart()
        engine.faults.partitioned = True

        def come_back() -> None:
            engine.faults.partitioned = False
            if not self.replace_crashed:
                self.register(engine.target)
                return
            engine.faults.replaced = True
            self.add_target(f"{target_id}+", rack=engine.target.rack)
            self.clock.callLater(EXPIRY_S, self.unregister, target_id)

        self.clock.callLater(down_s, come_back)

    def unregister(self, target_id: str) -> None:
        self.store.commit((), (), (TARGETS_PREFIX + target_id,))

    def store_jobs(self, *new_jobs: jobs.Job) -> None:
        """Stores accepted jobs without an entry."""
        puts = [
            store.Put(
                key=keys.job(job.job_id), value=progress.encode_accepted(job=job, queue=QUEUE)
            )
            for job in new_jobs
        ]
        for start in range(0, len(puts), PUTS_PER_COMMIT):
            self.store.commit((), tuple(puts[start : start + PUTS_PER_COMMIT]), ())
        self.accepted.update({job.job_id: job for job in new_jobs})

    def start(
        self,
        name: str,
        *,
        link: memory_link.Link | None = None,
        capacity: float | None = None,
    ) -> Member:
        optional = {} if capacity is None else {"processor_cores": capacity}
        if link is not None:
            optional["link_bytes_per_s"] = link.bytes_per_s
        clock = clocks.MemoryClocks(clock=self.clock)
        waits = {"poll_s": self.step_s} if self.large else {}
        connection = memory_store.MemoryStore(engine=self.store, link=link, **waits)
        port = memory_targets.MemoryTargets(
            clock=self.clock, engines=self.engines, link=link, **waits
        )
        started = node.Node(
            all_clocks=clock,
            network=memory_peers.MemoryPeers(network=self.network, entry_id=name),
            settings=node.Settings(
                name=name,
                host=name,
                port=1,
                lease_s=self.lease_s,
                keep_ended_s=self.keep_ended_s,
                placement_policy=self.placement_policy,
                memory_bytes=self.memory_bytes,
                **optional,
            ),
            store_port=connection,
            targets_port=port,
            target_codec=JsonTargetCodec(),
            codec=Codec(),
            evacuation_codec=EvacuationCodec(),
        )
        member = Member(
            name=name, node=started, clocks=clock, store=connection, targets=port, link=link
        )
        self.members[name] = member
        started.start()
        return member

    def kill(self, name: str) -> None:
        self.members.pop(name).node.close()

    @property
    def owner(self) -> Member | None:
        for member in self.members.values():
            if member.node.owner is not None:
                return member
        return None

    def run(self, seconds: float) -> None:
        """Advances the clock; targets advance in small steps, so that their reports show progress."""
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until - 1e-9:
            self.clock.advance(self.step_s)
            for engine in list(self.engines.values()):
                engine.advance()
                if self.deadly and any(key.task in self.deadly for key in engine.runs):
                    self.crash_target(engine.target.target_id)

    def run_until(self, condition, limit_s: float = 20.0) -> float:
        """Advances the clock until a condition holds; returns the time that it took."""
        started_at = self.clock.seconds()
        while not condition():
            assert (
                self.clock.seconds() - started_at < limit_s
            ), "the condition did not become true in time"
            self.run(self.step_s)
        return self.clock.seconds() - started_at

    def wait(self, coroutine, limit_s: float = 5.0):
        """Runs a coroutine to its end and returns its result."""
        outcome: list = []
        pending = defer.Deferred.fromCoroutine(coroutine)
        pending.addBoth(outcome.append)
        self.run_until(lambda: outcome, limit_s)
        if hasattr(outcome[0], "raiseException"):
            outcome[0].raiseException()
        return outcome[0]

    def job(
        self, *steps: jobs.Step, work_s: float = 0.5, queue: str = "plans", spec: str = "text"
    ) -> jobs.Job:
        job_id = f"{next(self._ids):016x}"
        self.work[job_id] = work_s
        return jobs.Job(
            job_id=job_id,
            queue=queue,
            spec=spec,
            steps=steps or (jobs.Step(count=2, cpu_millis=1000, estimate_s=work_s),),
            accepted_at=clocks.WALL_START_S + self.clock.seconds(),
        )

    def timed(
        self, job: jobs.Job, *, occurrences: int, interval_s: float, delay_s: float = 0.3
    ) -> jobs.Job:
        """Returns a job with timed occurrences, the first of them after a delay from now."""
        return msgspec.structs.replace(
            job,
            occurrences=occurrences,
            first_at=clocks.WALL_START_S + self.clock.seconds() + delay_s,
            interval_s=interval_s,
        )

    def submit(
        self, job: jobs.Job, *, at: str = "", queue: queues.Queue = QUEUE, version: int = 1
    ) -> entry.Answer:
        name = at or next(iter(self.members))
        answer = self.wait(
            self.members[name].node.entry.submit(
                job, queue=queue, version=version, until=self.clock.seconds() + 2.5
            )
        )
        if answer.verdict == entry.Verdict.DONE:
            self.accepted[job.job_id] = job
        return answer

    def show(self, job_id: str, *, at: str = "") -> entry.Answer:
        name = at or next(iter(self.members))
        return self.wait(self.members[name].node.entry.show(job_id))

    def cancel(self, job_id: str, *, at: str = "") -> entry.Answer:
        name = at or next(iter(self.members))
        return self.wait(self.members[name].node.entry.cancel(job_id))

    def state(self, job_id: str) -> str:
        owner = self.owner
        row = None if owner is None else owner.node.owner.job(job_id)
        return "" if row is None else str(row.visible_state)

    def starts(self, job_id: str) -> list[tuple[float, str, int, str]]:
        """Returns all starts of a job's tasks: time, task, run and target."""
        return sorted(
            (at, key.task, key.run, target_id)
            for engine in self.engines.values()
            for at, key, target_id in engine.started
            if key.task.startswith(job_id)
        )

    def _work_s(self, task_name: str) -> float:
        return self.work.get(task_name.partition(".")[0], 0.5)


POOL_ROW = queues.Pool(name=POOL, guarded=True)


def check_single_execution(world: World) -> None:
    """Checks that the runs of a task never overlap, and that none starts after it was done.

    Only an acknowledged end counts as done.
    """
    spans: dict[str, list[tuple[float, float, str]]] = {}
    done: dict[str, float] = {}
    for engine in world.engines.values():
        acknowledged = {key for _, key in engine.acknowledged}
        ends = {key: (at, kind) for at, key, kind in engine.ended}
        for at, key, target_id in engine.started:
            end = ends.get(key, (world.clock.seconds() + 1, None))
            spans.setdefault(key.task, []).append((at, end[0], target_id))
            if end[1] == targets.EndKind.DONE and key in acknowledged:
                done[key.task] = min(done.get(key.task, end[0]), end[0])
    for name, runs in spans.items():
        runs.sort()
        for (_, end, first), (begin, _, second) in itertools.pairwise(runs):
            assert begin >= end, f"{name} ran on {first} and {second} at once"
        if name in done:
            assert max(run[0] for run in runs) <= done[name], f"{name} started after it was done"


def check_step_order(world: World) -> None:
    """Checks that a task starts only after all tasks of the steps that its step follows are done."""
    for job in world.accepted.values():
        ended: dict[str, float] = {}
        for engine in world.engines.values():
            for at, key, kind in engine.ended:
                if kind == targets.EndKind.DONE:
                    ended[key.task] = min(at, ended.get(key.task, at))
        for at, name, _, _ in world.starts(job.job_id):
            step = job.steps[int(name.split(".")[2])]
            for earlier in step.after:
                for index in range(job.steps[earlier].count):
                    before = f"{job.job_id}.0.{earlier}.{index}"
                    assert ended.get(before, at + 1) <= at, f"{name} started before {before}"


def check_run_numbers_increase(world: World) -> None:
    """Checks that run numbers of a task increase over time, across all owners."""
    for job_id in world.accepted:
        highest: dict[str, int] = {}
        for _, name, run, _ in world.starts(job_id):
            assert run > highest.get(name, 0), f"run {run} of {name} does not increase"
            highest[name] = run


def check_owner_has_a_lease(world: World) -> None:
    """Checks that the owner's key has a lease, so that it is removed when the owner fails."""
    item = world.store.items.get(keys.OWNER)
    assert item is None or item.lease, "no entry can take over after this owner fails"


def check_all(world: World) -> None:
    """Runs all checks of invariants."""
    check_owner_has_a_lease(world)
    check_single_execution(world)
    check_step_order(world)
    check_run_numbers_increase(world)
