"""Calls that any entry serves: submit, show, cancel and count jobs.

An entry is an instance that runs the daemon; the owner is the one entry that places tasks.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import msgspec
from ebonyhatch.fleet import (
    admission,
    cancellations,
    clocks,
    decision_log,
    jobs,
    keys,
    messages,
    ownership,
    progress,
    queues,
    rows,
    store,
)
from ebonyhatch.fleet import network as network_module
from ebonyhatch.fleet import owner as owner_module
from ebonyhatch.fleet.budget import gate, ledger, price
from ebonyhatch.node import coroutines, peers
from returns import result
from twisted.internet import defer

OWNER_CALL_TIMEOUT_S = 0.4
"""Timeout of a call to the owner, seconds; the store is read after it."""

RELAY_CALL_TIMEOUT_S = 1.0
"""Timeout of a call to a peer that makes a job or a cancellation durable, seconds."""

RETRY_DELAY_S = 0.08
"""Delay before a write with an unknown outcome is retried, seconds."""

STORE_UNRESPONSIVE_S = 1.0
"""Time without an answer to lease renewals after which submissions are refused at once instead of
being sent to the store, seconds: two renewals and their timeouts."""

MIN_RETRY_AFTER_S = 1.0
"""Minimum Retry-After, seconds; the header holds whole seconds."""

MAX_RETRY_AFTER_S = 4.0
"""Maximum Retry-After during an outage, seconds. Callers retry only a few times, and none should
still be waiting long after the end of an outage."""

JITTER_FRACTION = 0.5
"""Maximum fraction by which a Retry-After is lengthened at random, so that the retries of callers
don't coincide."""


T = TypeVar("T")


class Verdict(enum.StrEnum):
    """Outcome of a call."""

    DONE = "done"
    NOT_DONE = "not-done"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"
    TOO_LARGE = "too-large"
    NO_SUCH_JOB = "no-such-job"


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a caller.

    Attributes:
        verdict: Outcome of the call.
        state: State of the job, if requested.
        count: Number of jobs, if requested.
        retry_after_s: Time after which to retry a refused call, seconds.
        reason: Reason of a refusal.
    """

    verdict: Verdict
    state: str = ""
    count: int = 0
    retry_after_s: float = 0.0
    reason: str = ""


class Entry:
    """Serves callers: writes submissions to the store, and forwards all other calls to the owner.

    If the owner can't be reached, jobs are shown and cancelled through the store.
    """

    def __init__(
        self,
        *,
        name: str,
        store_port: store.Store,
        network: network_module.Network,
        members: ownership.Ownership,
        all_clocks: clocks.Clocks,
        local_owner: Callable[[], owner_module.Owner | None],
        neighbours: Callable[[], tuple[str, ...]],
        load: admission.QueueLoad,
        job_budget_bytes: int,
        seed: int,
    ) -> None:
        self._name = name
        self._store = store_port
        self._network = network
        self._members = members
        self._clocks = all_clocks
        self._local_owner = local_owner
        self._neighbours = neighbours
        self._load = load
        self._random = random.Random(seed)
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._gate = gate.Gate(
            budget=job_budget_bytes,
            ask_owner=lambda call: self._ask_owner(call, OWNER_CALL_TIMEOUT_S),
            entry_count=lambda: len(members.entries),
            now=all_clocks.now,
        )

    @property
    def gate(self) -> gate.Gate:
        """Admission of new jobs within the memory of the instances."""
        return self._gate

    def start(self) -> None:
        """Registers the handlers of calls from peers."""
        self._network.handle(messages.ShowCall, self._on_show)
        self._network.handle(messages.PendingCall, self._on_pending)
        self._network.handle(messages.CancelCall, self._on_cancel)
        self._network.handle(messages.SubmitCall, self._on_submit)
        self._network.handle(messages.ReserveCall, self._on_reserve)

    def close(self) -> None:
        """Cancels all calls in progress."""
        self._group.close()

    async def submit(
        self, job: jobs.Job, *, queue: queues.Queue, version: int, until: float
    ) -> Answer:
        """Accepts a job once it is durable.

        Returns whether it was accepted, refused (it then never runs), or has an unknown outcome.

        Args:
            job: The validated job.
            queue: Queue of the job.
            version: Version of the configuration that the queue is from.
            until: Monotonic time by which the caller has to be answered, seconds.
        """
        started_at = self._clocks.now()
        refusal = self._load.refusal(queue=queue, job=job, now=started_at)
        is_refused = refusal is not None and await self._is_surely_new(job.job_id)
        self._load.record(refused=is_refused, now=started_at)
        if refusal is not None and is_refused:
            retry_after_s = self._with_jitter(refusal.retry_after_s)
            self._log_submit(job, Verdict.OVERLOADED, refusal.reason, started_at=started_at)
            return Answer(
                verdict=Verdict.OVERLOADED, retry_after_s=retry_after_s, reason=refusal.reason
            )
        record = progress.encode_accepted(job=job, queue=queue, version=version)
        price_bytes = price.price(job, record_bytes=len(record))
        decision = await self._gate.decide(job.job_id, price_bytes)
        if not decision.granted:
            answer = await self._answer_refused(job.job_id, decision)
            self._log_submit(job, answer.verdict, answer.reason, started_at=started_at)
            return answer
        verdict, reason = await self._make_durable(job, record, until=until)
        if verdict == Verdict.UNKNOWN:
            self._group.spawn(self._gate.note_sent(job.job_id, price_bytes))
        self._log_submit(job, verdict, reason, started_at=started_at)
        return Answer(verdict=verdict, retry_after_s=self.outage_retry_after_s(), reason=reason)

    async def show(self, job_id: str) -> Answer:
        """Returns a job's state, from the owner if it can be reached, else from the store."""
        state = await self._owner_state(job_id)
        if state:
            return Answer(verdict=Verdict.DONE, state=state)
        return await self._stored_state(job_id)

    async def cancel(self, job_id: str) -> Answer:
        """Cancels a job; done once the cancellation is durable."""
        reply = await self._ask_owner(messages.CancelCall(job_id=job_id), RELAY_CALL_TIMEOUT_S)
        if isinstance(reply, messages.CancelAnswer) and reply.acting and reply.durable:
            return Answer(verdict=Verdict.DONE)
        return await self._cancel_in_store(job_id)

    async def pending(self, queue: str) -> Answer:
        """Returns the number of jobs of a queue that have not started."""
        reply = await self._ask_owner(messages.PendingCall(queue=queue), OWNER_CALL_TIMEOUT_S)
        if isinstance(reply, messages.PendingAnswer) and reply.acting:
            return Answer(verdict=Verdict.DONE, count=reply.count)
        return Answer(
            verdict=Verdict.NOT_DONE,
            retry_after_s=self.outage_retry_after_s(),
            reason="the owner could not be reached",
        )

    def outage_retry_after_s(self) -> float:
        """Returns a Retry-After, on the estimate that an outage lasts as long again as so far."""
        outage_s = self._members.store_unresponsive_s
        return self._with_jitter(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, outage_s)))

    def _with_jitter(self, seconds: float) -> float:
        return seconds * self._random.uniform(1.0, 1.0 + JITTER_FRACTION)

    async def _is_surely_new(self, job_id: str) -> bool:
        """Returns whether a job was surely not accepted before, so that a refusal is true.

        The owner may have read less than the store holds, and without its answer nothing is known.
        """
        reply = await self._ask_owner(messages.ShowCall(job_id=job_id), OWNER_CALL_TIMEOUT_S)
        if not isinstance(reply, messages.ShowAnswer) or not reply.acting:
            return False
        if reply.state or reply.expected:
            return False
        stored = await self._store.get(key=keys.job(job_id))
        return isinstance(stored, result.Success) and stored.unwrap() is None

    async def _answer_refused(self, job_id: str, decision: ledger.Decision) -> Answer:
        """Returns the answer to a job for which there is no memory; it may be an accepted one."""
        stored = await self._store.get(key=keys.job(job_id))
        if isinstance(stored, result.Failure):
            reason = f"{decision.reason}; the store can't be asked whether it was accepted before"
            return Answer(
                verdict=Verdict.UNKNOWN, retry_after_s=self.outage_retry_after_s(), reason=reason
            )
        if stored.unwrap() is not None:
            return Answer(verdict=Verdict.DONE, reason="record existed")
        if decision.uncertain:
            return Answer(
                verdict=Verdict.UNKNOWN,
                retry_after_s=self._with_jitter(decision.retry_after_s),
                reason=decision.reason,
            )
        if decision.permanent:
            return Answer(verdict=Verdict.TOO_LARGE, reason=decision.reason)
        return Answer(
            verdict=Verdict.OVERLOADED,
            retry_after_s=self._with_jitter(decision.retry_after_s),
            reason=decision.reason,
        )

    async def _make_durable(
        self, job: jobs.Job, record: bytes, *, until: float
    ) -> tuple[Verdict, str]:
        verdict, reason = Verdict.NOT_DONE, "the store is not responding"
        if not self._store_unresponsive:
            verdict, reason = await self._create(job.job_id, record, until=until)
        if verdict != Verdict.NOT_DONE:
            return verdict, reason
        relayed = await self._relay(job.job_id, record)
        if relayed != Verdict.NOT_DONE:
            return relayed, "sent through a peer"
        if await self._owner_state(job.job_id):
            return Verdict.DONE, "known to the owner"
        return verdict, reason

    async def _create(self, job_id: str, record: bytes, *, until: float) -> tuple[Verdict, str]:
        """Creates the job's record unless the job was cancelled; an existing one stays unchanged.

        A write without an answer may take effect seconds later, after the caller has cancelled the
        job at another entry. Its condition doesn't hold then.
        """
        key, cancel_key = keys.job(job_id), keys.cancel(job_id)
        conditions = tuple(
            store.Condition(key=one, revision=store.ABSENT) for one in (key, cancel_key)
        )
        put = store.Put(key=key, value=record)
        uncertain = ""
        while True:
            try:
                outcome = await self._with_timeout(
                    self._store.commit(conditions=conditions, puts=(put,)), until=until
                )
            except defer.TimeoutError:
                return Verdict.UNKNOWN, "the store did not answer in time"
            if isinstance(outcome, result.Success):
                return Verdict.DONE, "created"
            error = outcome.failure()
            if isinstance(error, store.ConflictError):
                existing = {item.key for item in error.items if item.revision != store.ABSENT}
                if key in existing:
                    return Verdict.DONE, "record existed"
                if cancel_key in existing:
                    return Verdict.NO_SUCH_JOB, "cancelled before it was accepted"
            if isinstance(error, store.RejectedError) and not uncertain:
                return Verdict.TOO_LARGE, str(error)
            if not isinstance(error, store.UnknownOutcomeError) and not uncertain:
                return Verdict.NOT_DONE, str(error)
            # An earlier try may still take effect, so a refusal doesn't determine the outcome.
            uncertain = str(error)
            if self._clocks.now() + RETRY_DELAY_S >= until:
                return Verdict.UNKNOWN, uncertain
            await self._group.sleep(RETRY_DELAY_S)

    @property
    def _store_unresponsive(self) -> bool:
        """Whether a call to the store would most likely time out."""
        return self._members.store_unresponsive_s > STORE_UNRESPONSIVE_S

    def _with_timeout(
        self, coroutine: Coroutine[Any, Any, T], *, until: float
    ) -> defer.Deferred[T]:
        """Runs a coroutine until the given time; fails with `defer.TimeoutError` after it."""
        running = defer.Deferred.fromCoroutine(coroutine)
        remaining_s = max(0.0, until - self._clocks.now())
        running.addTimeout(remaining_s, self._clocks.loop)  # type: ignore[arg-type]
        return running

    async def _relay(self, job_id: str, record: bytes) -> Verdict:
        """Asks up to two peers in turn, the owner first, to create the record.

        Only a connection that is kept open tells that nothing was sent, so neighbours come next.
        """
        owner = self._members.owner
        names = list(self._neighbours())
        self._random.shuffle(names)
        if owner is not None and owner.name in names:
            names.remove(owner.name)
            names.insert(0, owner.name)
        call = messages.SubmitCall(job_id=job_id, record=record)
        for name in names[:2]:
            outcome = await self._network.call(
                entry_id=name, message=call, timeout_s=RELAY_CALL_TIMEOUT_S
            )
            if isinstance(outcome, result.Failure):
                if isinstance(outcome.failure(), peers.PeerNotSentError):
                    continue
                return Verdict.UNKNOWN
            reply = outcome.unwrap()
            verdict = Verdict(reply.verdict) if isinstance(reply, messages.SubmitAnswer) else None
            if verdict in (Verdict.DONE, Verdict.UNKNOWN, Verdict.NO_SUCH_JOB):
                return verdict
        return Verdict.NOT_DONE

    async def _owner_state(self, job_id: str) -> str:
        reply = await self._ask_owner(messages.ShowCall(job_id=job_id), OWNER_CALL_TIMEOUT_S)
        if isinstance(reply, messages.ShowAnswer) and reply.acting:
            return reply.state
        return ""

    async def _ask_owner(self, message: object, timeout_s: float) -> object | None:
        """Returns the owner's answer, where the owner may be this entry; None without an answer."""
        local_owner = self._local_owner()
        if local_owner is not None:
            return await self._answer_locally(message)
        owner = self._members.owner
        if owner is None or owner.name == self._name:
            return None
        outcome = await self._network.call(
            entry_id=owner.name, message=message, timeout_s=timeout_s  # type: ignore[arg-type]
        )
        if isinstance(outcome, result.Failure):
            decision_log.write("owner.unheard", owner=owner.name, reason=str(outcome.failure()))
            return None
        return outcome.unwrap()

    async def _answer_locally(self, message: object) -> object | None:
        if isinstance(message, messages.ShowCall):
            return self._on_show(self._name, message)
        if isinstance(message, messages.PendingCall):
            return self._on_pending(self._name, message)
        if isinstance(message, messages.CancelCall):
            # An unresponsive store may delay the owner for a long time.
            until = self._clocks.now() + RELAY_CALL_TIMEOUT_S
            return await self._with_timeout(self._cancel_locally(message.job_id), until=until)
        if isinstance(message, messages.ReserveCall):
            return self._on_reserve(self._name, message)
        return None

    async def _stored_state(self, job_id: str) -> Answer:
        """Returns a job's state from the store, if the owner can't be reached or doesn't know it."""
        progress_read = await self._store.get(key=keys.progress(job_id))
        job_read = await self._store.get(key=keys.job(job_id))
        if isinstance(job_read, result.Failure) or isinstance(progress_read, result.Failure):
            return Answer(
                verdict=Verdict.NOT_DONE,
                retry_after_s=self.outage_retry_after_s(),
                reason="neither the owner nor the store could be reached",
            )
        if job_read.unwrap() is None:
            return Answer(verdict=Verdict.NO_SUCH_JOB)
        item = progress_read.unwrap()
        if item is None:
            return Answer(verdict=Verdict.DONE, state=rows.JobState.QUEUED)
        return Answer(verdict=Verdict.DONE, state=progress.decode(item.value).state)

    async def _cancel_in_store(self, job_id: str) -> Answer:
        """Stores a cancellation, also of an unknown job.

        A write that creates the job may still be on its way. Once the cancellation is stored, it never
        takes effect; if it did before, the owner reads both.
        """
        value = cancellations.encode(at=self._clocks.wall())
        put = store.Put(key=keys.cancel(job_id), value=value)
        written = await self._store.commit(puts=(put,))
        if isinstance(written, result.Failure):
            unknown = isinstance(written.failure(), store.UnknownOutcomeError)
            return Answer(
                verdict=Verdict.UNKNOWN if unknown else Verdict.NOT_DONE,
                retry_after_s=self.outage_retry_after_s(),
                reason=str(written.failure()),
            )
        job_read = await self._store.get(key=keys.job(job_id))
        exists = isinstance(job_read, result.Failure) or job_read.unwrap() is not None
        decision_log.write("cancel.stored", job_id=job_id, job_exists=exists)
        return Answer(verdict=Verdict.DONE if exists else Verdict.NO_SUCH_JOB)

    def _on_show(self, sender: str, call: messages.ShowCall) -> messages.ShowAnswer:
        local_owner = self._local_owner()
        if local_owner is None or not local_owner.recovered:
            return messages.ShowAnswer(acting=False)
        row = local_owner.job(call.job_id)
        if row is None:
            expected = local_owner.accounts.ledger.is_promised(call.job_id)
            return messages.ShowAnswer(acting=True, expected=expected)
        return messages.ShowAnswer(acting=True, state=row.visible_state)

    def _on_pending(self, sender: str, call: messages.PendingCall) -> messages.PendingAnswer:
        local_owner = self._local_owner()
        if local_owner is None or not local_owner.recovered:
            return messages.PendingAnswer(acting=False)
        return messages.PendingAnswer(acting=True, count=local_owner.pending(call.queue))

    def _on_reserve(self, sender: str, call: messages.ReserveCall) -> messages.ReserveAnswer:
        local_owner = self._local_owner()
        if local_owner is None or not local_owner.recovered:
            return messages.ReserveAnswer(acting=False)
        memory = local_owner.accounts.ledger
        if call.sent:
            memory.note_sent(call.job_id, call.price_bytes)
        decision = memory.promise(call.job_id, call.price_bytes)
        decision_log.write(
            "job.memory",
            job_id=call.job_id,
            sender=sender,
            price_bytes=call.price_bytes,
            granted=decision.granted,
            reason=decision.reason,
            sent=call.sent,
            used_bytes=memory.used_bytes,
        )
        return messages.ReserveAnswer(acting=True, decision=decision)

    def _on_cancel(
        self, sender: str, call: messages.CancelCall
    ) -> defer.Deferred[messages.CancelAnswer]:
        return defer.Deferred.fromCoroutine(self._cancel_locally(call.job_id))

    async def _cancel_locally(self, job_id: str) -> messages.CancelAnswer:
        local_owner = self._local_owner()
        if local_owner is None or not local_owner.recovered:
            return messages.CancelAnswer(acting=False)
        if local_owner.job(job_id) is None:
            return messages.CancelAnswer(acting=True)
        try:
            await local_owner.cancel(job_id)
        except defer.CancelledError:
            return messages.CancelAnswer(acting=False)
        return messages.CancelAnswer(acting=True, durable=True)

    def _on_submit(
        self, sender: str, call: messages.SubmitCall
    ) -> defer.Deferred[messages.SubmitAnswer]:
        return defer.Deferred.fromCoroutine(self._create_for_peer(sender, call))

    async def _create_for_peer(
        self, sender: str, call: messages.SubmitCall
    ) -> messages.SubmitAnswer:
        if self._store_unresponsive:
            return messages.SubmitAnswer(verdict=Verdict.NOT_DONE)
        verdict, reason = await self._create(
            call.job_id, call.record, until=self._clocks.now() + RELAY_CALL_TIMEOUT_S / 2
        )
        decision_log.write(
            "submit.relayed", job_id=call.job_id, sender=sender, verdict=verdict, reason=reason
        )
        return messages.SubmitAnswer(verdict=verdict)

    def _log_submit(
        self, job: jobs.Job, verdict: Verdict, reason: str, *, started_at: float
    ) -> None:
        now = self._clocks.now()
        decision_log.write(
            "job.submitted",
            job_id=job.job_id,
            queue=job.queue,
            verdict=verdict,
            reason=reason,
            took_s=round(now - started_at, 4),
            load_age_s=self._load.age_s(now=now),
        )
