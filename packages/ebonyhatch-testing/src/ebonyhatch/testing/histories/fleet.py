"""A simulated fleet: entries, workers and callers in one run, and its history."""

from __future__ import annotations

import http
import json
import random
from typing import Any

from ebonyhatch.core import configuration, entities, resources
from ebonyhatch.node import messages
from ebonyhatch.ports import (
    fault_switches,
    instances,
    memory_workers,
    store_engine,
    worker_engine,
    workers,
)
from ebonyhatch.testing import checker, history
from ebonyhatch.testing.histories import callers, entry, observer, simulated_cells
from returns import result
from twisted.internet import defer, task

STEP_S = 0.05
"""Time between two observations of workers and owners, seconds."""

HEARTBEAT_S = 0.5
"""Time between two heartbeats, seconds."""

DOMAINS = ("a", "b", "c")

WORKERS_PER_DOMAIN = 2

CAPACITY = resources.Resources(slots=3, connections=8, cores=8.0, memory_gb=16.0)

IN_FORCE = configuration.InForce(
    generation=1,
    classes=(
        entities.WorkClass(name="quote", urgency=entities.Urgency.URGENT, deadline_s=1.5),
        entities.WorkClass(name="plan", urgency=entities.Urgency.BATCH),
    ),
)


class Fleet:
    """Drives entries, workers and callers on one fake clock."""

    def __init__(self, *, seed: int, entries: int = 3, fenced: bool = True) -> None:
        self.clock = task.Clock()
        self.run = history.History()
        self.random = random.Random(f"{seed}/fleet")
        self.engine = store_engine.StoreEngine(clock=self.clock)
        self.fenced = fenced
        self.seed = seed
        self.entries: dict[str, entry.Entry] = {}
        self.leaving_workers: set[str] = set()
        self.callers = callers.Callers(
            clock=self.clock, entries=self.entries, run=self.run, generator=self.random
        )
        self.engines: memory_workers.Engines = {}
        self._observers: dict[str, observer.WorkerObserver] = {}
        self._listed: dict[str, instances.Instance] = {}
        self._jobs: dict[str, tuple[str, int] | None] = {}
        self._epochs: dict[str, int] = {}
        self._numbers = 0
        self._steps = 0
        for domain in DOMAINS:
            for number in range(WORKERS_PER_DOMAIN):
                self._add_worker(f"w-{domain}{number}", domain)
        for number in range(entries):
            self.start(f"e{number}")

    @property
    def now(self) -> float:
        """Time of the run, seconds."""
        return self.clock.seconds()

    @property
    def running(self) -> list[entry.Entry]:
        """Entries that are neither frozen nor killed."""
        return [member for member in self.entries.values() if member.clock.running]

    @property
    def next_number(self) -> int:
        """Number of the next request or job."""
        return self._numbers + 1

    @property
    def job_ids(self) -> list[str]:
        """Ids of the accepted jobs."""
        return list(self._jobs)

    def clear_faults(self) -> None:
        """Ends all faults except frozen and killed processes."""
        self.callers.cuts.clear()
        self.callers.repeat_messages = False
        for member in self.entries.values():
            self._clear_entry_faults(member)

    def advance(self, seconds: float) -> None:
        """Advances the clock in steps, with heartbeats and observations."""
        for _ in range(max(round(seconds / STEP_S), 1)):
            self.clock.advance(STEP_S)
            self._steps += 1
            if self._steps % round(HEARTBEAT_S / STEP_S) == 0:
                self._record_configurations()
                self._send_heartbeats()
            self.record_changes()

    def record_changes(self) -> None:
        """Records what changed on workers and for jobs since the last call."""
        for watched in self._observers.values():
            watched.record_changes(now=self.now)
        for job_id in self._jobs:
            self._record_job(job_id)

    def start(self, entry_id: str, *, store_faults: fault_switches.Faults | None = None) -> None:
        """Starts an entry with empty memory, optionally with faults on its store calls."""
        started = entry.Entry(
            entry_id=entry_id,
            failure_domain=DOMAINS[int(entry_id[1:]) % len(DOMAINS)],
            base=self.clock,
            engine=self.engine,
            workers_engines=self.engines,
            fenced=self.fenced,
            seed=self.seed,
            domains=DOMAINS,
            listed=self.listed,
            in_force=IN_FORCE,
            others=simulated_cells.SimulatedCells(entry_id=entry_id, between=self.callers),
        )
        started.last_heartbeat_at = dict.fromkeys(self.entries, self.now)
        self.entries[entry_id] = started
        if store_faults is not None:
            started.store.faults.replace(store_faults)
        started.start()

    def kill(self, entry_id: str) -> None:
        """Kills an entry without notice."""
        self.entries[entry_id].clock.kill()
        self.run.add(history.EntryKilled(at=self.now, entry_id=entry_id))

    def close(self, entry_id: str) -> defer.Deferred[None]:
        """Stops an entry as planned."""
        self.run.add(history.EntryClosing(at=self.now, entry_id=entry_id))
        member = self.entries[entry_id]
        closed = member.close()
        closed.addCallback(lambda _: self._end_when_idle(member))
        return closed

    def _end_when_idle(self, member: entry.Entry) -> None:
        """Ends a process that has handed over its cells, once its callers have their replies."""
        if member.calls:
            member.clock.callLater(STEP_S, self._end_when_idle, member)
        else:
            member.clock.kill()

    def listed(self, cell: str) -> tuple[instances.Instance, ...]:
        """Returns the platform's list of the workers of a cell."""
        domain = cell.rpartition(".")[0]
        return tuple(
            instance for instance in self._listed.values() if instance.failure_domain == domain
        )

    def leave(self, worker_id: str, *, sign: str) -> None:
        """Marks a worker as leaving, either in the instance list or at the worker itself.

        Args:
            worker_id: The worker.
            sign: `list` (the instance list), `word` (the worker's report) or `refusal` (the
                worker also refuses new work).
        """
        self.leaving_workers.add(worker_id)
        self.run.add(history.WorkerLeaving(at=self.now, worker_id=worker_id))
        if sign == "list":
            listed = self._listed[worker_id]
            self._listed[worker_id] = instances.Instance(
                **{
                    name: getattr(listed, name)
                    for name in listed.__struct_fields__
                    if name != "state"
                },
                state=instances.InstanceState.LEAVING,
            )
        else:
            self.engines[worker_id].leave(refuses=sign == "refusal")

    def restart_worker(self, worker_id: str) -> None:
        """Restarts a worker's process; the new one has empty memory."""
        self._observers.pop(worker_id).record_termination(now=self.now)
        self.engines[worker_id].close()
        self._add_worker(worker_id, self._listed[worker_id].failure_domain)

    def request(
        self,
        entry_id: str,
        *,
        key: str = "",
        cell: str = "",
        idempotent: bool = True,
        work_s: float = 0.2,
        timeout_s: float = 1.5,
    ) -> str:
        """Sends a request to an entry and returns the request's id."""
        member = self.entries[entry_id]
        request_id = self._next("r")
        self.callers.send(
            member,
            messages.RequestCall(
                cell=cell or self._cell_for(member, key, idempotent),
                request=workers.ServiceRequest(
                    request_id=request_id,
                    service="orders",
                    method="POST",
                    path="/",
                    headers=(workers.Header(name="x-work-s", value=str(work_s)),),
                    body=f"body of {key or request_id}".encode(),
                    timeout_s=timeout_s,
                ),
                work_class="quote",
                tenant="t",
                idempotent=idempotent,
                idempotency_key=key,
            ),
        )
        return request_id

    def submit(self, *, run_s: float = 3.0, entry_id: str = "", home: str = "") -> str:
        """Submits a job at the owner of its home cell, or at `entry_id`, and returns its id.

        With `home`, ids are skipped until one has that home cell.
        """
        job_id = self._next("j")
        while home and self.running[0].home_cell(job_id) != home:
            job_id = self._next("j")
        job = entities.Job(
            job_id=job_id,
            work_class="plan",
            tenant="t",
            demand=resources.Resources(slots=1, cores=1.0, memory_gb=1.0),
            expected_run_s=run_s,
            payload=json.dumps({"run_s": run_s}).encode(),
        )
        owner = self.entries[entry_id] if entry_id else self._owner_of(job_id)
        if owner is not None:
            owner.clock.run(lambda: self._submit(owner, job))
        return job_id

    def _submit(self, owner: entry.Entry, job: entities.Job) -> None:
        owner.submit(job).addCallback(self._record_submission, job.job_id)

    def cancel(self, job_id: str) -> None:
        """Cancels a job at the entry that owns its home cell."""
        owner = self._owner_of(job_id)
        if owner is not None:
            self.run.add(history.JobCancelled(at=self.now, job_id=job_id))
            owner.cancel(job_id)

    def configure(self, entry_id: str, *, weight: int) -> None:
        """Writes a new configuration at an entry, as an operator does."""
        tenant = {"kind": "tenant", "name": "t", "schema_version": 1, "weight": float(weight)}
        written = self.entries[entry_id].configuration.write(
            records=json.dumps([tenant]).encode(), expect=None
        )
        written.addCallback(self._record_acceptance)

    def finish(self, *, quiet_s: float) -> history.History:
        """Ends all faults, waits for `quiet_s` so that all work can end, and returns the history."""
        self.clear_faults()
        for member in self.entries.values():
            member.clock.thaw()
        for entry_id, member in list(self.entries.items()):
            if member.clock.dead:
                self.start(entry_id)
        self.advance(quiet_s)
        for watched in self._observers.values():
            watched.record_highest_use(now=self.now)
        self.run.add(history.RunEnded(at=self.now))
        return self.run

    def _clear_entry_faults(self, member: entry.Entry) -> None:
        member.store.faults.replace(type(member.store.faults)())
        for network in (member.to_store, member.to_workers):
            network.delay_s = network.jitter_s = network.repeat_fraction = 0.0
        member.store_port.write_response_delay_s = 0.0
        member.store_port.lose_write_responses = member.store_port.watch_silent = False
        member.workers_port.exchange_responses = False
        for worker_id in self.engines:
            faults = member.workers.faults(worker_id)
            faults.replace(type(faults)())

    def _add_worker(self, worker_id: str, domain: str) -> None:
        engine = worker_engine.WorkerEngine(
            clock=self.clock, worker_id=worker_id, capacity=CAPACITY, fenced=self.fenced
        )
        self.engines[worker_id] = engine
        self._observers[worker_id] = observer.WorkerObserver(
            engine=engine, capacity=CAPACITY, run=self.run
        )
        self._listed[worker_id] = instances.Instance(
            instance_id=worker_id,
            role=instances.Role.WORKER,
            state=instances.InstanceState.LIVE,
            host="127.0.0.1",
            port=1,
            region="r",
            failure_domain=domain,
            rack="k",
        )

    def _send_heartbeats(self) -> None:
        for sender in self.running:
            for receiver in self.entries.values():
                if receiver is not sender and not self.callers.is_cut(sender, receiver):
                    receiver.receive_heartbeat(sender)

    def _record_acceptance(self, outcome: Any) -> None:
        if isinstance(outcome, result.Success):
            generation = outcome.unwrap().generation
            self.run.add(history.ConfigurationAccepted(at=self.now, generation=generation))

    def _record_configurations(self) -> None:
        for member in self.entries.values():
            reachable_s = member.reachable_for()
            generation = member.configuration.in_force.generation
            if member.clock.running and (generation or reachable_s > checker.CONFIGURATION_LIMIT_S):
                self.run.add(
                    history.ConfigurationObserved(
                        at=self.now,
                        entry_id=member.entry_id,
                        generation=generation,
                        reachable_s=reachable_s,
                    )
                )

    def _cell_for(self, member: entry.Entry, key: str, idempotent: bool) -> str:
        if key and not idempotent:
            return member.home_cell(key)
        cells = sorted(member.ownership.owners)
        return self.random.choice(cells) if cells else ""

    def _owner_of(self, job_id: str) -> entry.Entry | None:
        for member in self.running:
            name = member.home_cell(job_id)
            if name in member.cells:
                return member
        return None

    def _record_submission(self, reply: messages.JobReply, job_id: str) -> None:
        accepted = reply.view is not None
        outcome = (
            history.CallerOutcome.ANSWERED
            if accepted
            else history.CallerOutcome(reply.outcome.value)
        )
        self.run.add(
            history.SubmissionOutcome(at=self.now, job_id=job_id, accepted=accepted, told=outcome)
        )
        if accepted:
            self._jobs.setdefault(job_id, None)

    def _record_job(self, job_id: str) -> None:
        homes = [member.home_cell(job_id) for member in self.running if member.home_cell(job_id)]
        view = self._view(job_id, homes[0]) if homes else None
        if view is None or self._jobs[job_id] == (view.state, view.attempts):
            return
        self._jobs[job_id] = (view.state, view.attempts)
        self.run.add(
            history.JobObserved(
                at=self.now,
                job_id=job_id,
                cell=homes[0],
                state=view.state,
                attempts=view.attempts,
            )
        )

    def _view(self, job_id: str, name: str, *, moves: int = 0) -> messages.JobView | None:
        """Returns a job's state at the newest acting owner of its cell, or of the cell it moved to.

        A job moves at most once, so only one move is followed.
        """
        acting = [owned for member in self.running if (owned := member.acting(name)) is not None]
        if not acting:
            return None
        newest = max(acting, key=lambda owned: owned.epoch)
        self._epochs[name] = max(newest.epoch, self._epochs.get(name, 0))
        if newest.epoch < self._epochs[name]:
            return None
        reply = newest.show(job_id=job_id)
        if reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            return None
        if reply.moved_to and not moves:
            return self._view(job_id, reply.moved_to, moves=1)
        return reply.view or messages.JobView(job_id=job_id, state="")

    def _next(self, prefix: str) -> str:
        self._numbers += 1
        return f"{prefix}{self._numbers}"
