"""Serves requests: one id from end to end, one reply for each, and the truth without an answer."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from collections.abc import Callable

import msgspec
from ebonyhatch.core import commands, entities, events
from ebonyhatch.node import coroutines, messages, worker_link
from ebonyhatch.ports import timing, workers
from returns import result
from twisted.internet import defer

DEADLINE_GRACE_S = 0.25
"""Time past its deadline after which a request is ended without the scheduler, seconds."""

RECENT_KEPT = 2000
"""Replies that are kept for repeated messages."""

RECENT_BODY_BYTES = 4_096
"""Largest body that is kept with them; a repeated message gets `unknown` after a larger one."""

RETRY_AFTER_S = 1.0
"""Advice to callers who are refused, seconds."""

FIRST_ERROR_STATUS = 500
"""First status by which a service says that it failed."""

ReplyOutcome = defer.Deferred[messages.RequestReply]


@dataclasses.dataclass(slots=True, kw_only=True)
class InFlight:
    """A request that has no reply yet.

    Attributes:
        call: The call.
        deadline_at: When its answer is due.
        waiting: Who waits for the reply; repeated messages join.
        sends: Sends without an outcome.
        maybe_ran: An earlier send may have run.
    """

    call: messages.RequestCall
    deadline_at: float
    waiting: list[ReplyOutcome] = dataclasses.field(default_factory=list)
    sends: int = 0
    maybe_ran: bool = False

    @property
    def truth(self) -> commands.Outcome:
        """What is known of it without an answer."""
        if self.sends or self.maybe_ran:
            return commands.Outcome.UNKNOWN
        return commands.Outcome.NOT_RUN


class RequestDriver:
    """Feeds requests to the scheduler and carries out what it decides on them."""

    def __init__(
        self,
        *,
        epoch: int,
        workers_port: workers.Workers,
        clock: timing.Clock,
        group: coroutines.CoroutineGroup,
        links: dict[str, worker_link.WorkerLink],
        may_act: Callable[[], bool],
        emit: Callable[[events.Event], None],
        room: Callable[[], messages.CellRoom],
        on_stale: Callable[[workers.StaleEpochError], None],
    ) -> None:
        self._epoch = epoch
        self._port = workers_port
        self._clock = clock
        self._group = group
        self._links = links
        self._may_act = may_act
        self._emit = emit
        self._room = room
        self._on_stale = on_stale
        self._in_flight: dict[str, InFlight] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._recent: collections.OrderedDict[str, messages.RequestReply] = (
            collections.OrderedDict()
        )

    @property
    def in_flight(self) -> int:
        """Requests that have no reply yet."""
        return len(self._in_flight)

    def serve(self, call: messages.RequestCall, *, work_class: entities.WorkClass) -> ReplyOutcome:
        """Have a request served."""
        request_id = call.request.request_id
        waiting: ReplyOutcome = defer.Deferred()
        now = self._clock.seconds()
        entry = InFlight(call=call, deadline_at=now + call.request.timeout_s, waiting=[waiting])
        self._in_flight[request_id] = entry
        heapq.heappush(self._deadlines, (entry.deadline_at, request_id))
        self._emit(events.RequestArrived(request=_described(entry, work_class, now)))
        return waiting

    def recall(self, call: messages.RequestCall) -> ReplyOutcome | None:
        """Give a repeated message the reply of the first; None for a new request."""
        request_id = call.request.request_id
        if request_id in self._recent:
            return defer.succeed(self._recent[request_id])
        known = self._in_flight.get(request_id)
        if known is None:
            return None
        waiting: ReplyOutcome = defer.Deferred()
        known.waiting.append(waiting)
        return waiting

    def remember(self, reply: messages.RequestReply) -> messages.RequestReply:
        """Keep a reply for repeated messages, so that none is told or done anything else."""
        kept = reply
        if reply.answer is not None and len(reply.answer.body) > RECENT_BODY_BYTES:
            unknown = commands.Outcome.UNKNOWN
            kept = messages.RequestReply(
                request_id=reply.request_id, outcome=unknown, reason="repeated"
            )
        self._recent[reply.request_id] = kept
        if len(self._recent) > RECENT_KEPT:
            self._recent.popitem(last=False)
        return reply

    def refusal(self, call: messages.RequestCall, *, reason: str) -> messages.RequestReply:
        """Reply to a request that certainly was not sent."""
        return messages.RequestReply(
            request_id=call.request.request_id,
            reason=reason,
            retry_after_s=RETRY_AFTER_S,
            room=self._room(),
        )

    def send(self, command: commands.SendRequest) -> None:
        """Send a request to a worker, unless that might run it twice."""
        entry = self._in_flight.get(command.request_id)
        link = self._links.get(command.worker_id)
        sent = {"request_id": command.request_id, "worker_id": command.worker_id}
        if entry is None or link is None or not link.accepts_work or not self._may_act():
            self._emit(events.RequestNotRun(**sent))
        elif not entry.call.idempotent and entry.truth is commands.Outcome.UNKNOWN:
            self._emit(events.RequestLost(**sent))
        elif entry.deadline_at <= self._clock.seconds():
            self._emit(events.RequestNotRun(**sent))
        else:
            entry.sends += 1
            self._group.spawn(self._forward(entry, link))

    def refuse(self, command: commands.RefuseRequest) -> None:
        """Reply without an answer; what was sent decides about the outcome."""
        entry = self._in_flight.get(command.request_id)
        if entry is not None:
            self._refuse(entry, command.reason, command.retry_after_s)

    def sweep(self) -> None:
        """End requests that are past their deadline."""
        limit = self._clock.seconds() - DEADLINE_GRACE_S
        while self._deadlines and self._deadlines[0][0] <= limit:
            _, request_id = heapq.heappop(self._deadlines)
            entry = self._in_flight.get(request_id)
            if entry is not None and entry.deadline_at <= limit:
                self._emit(events.RequestWithdrawn(request_id=request_id))
                self._refuse(entry, "deadline", RETRY_AFTER_S)

    def refuse_unsent(self, *, reason: str) -> None:
        """Reply to every request that was not sent; the others await their outcome."""
        for entry in list(self._in_flight.values()):
            if entry.truth is commands.Outcome.NOT_RUN:
                self._refuse(entry, reason, RETRY_AFTER_S)

    def refuse_all(self, *, reason: str) -> None:
        """Reply to every request."""
        for entry in list(self._in_flight.values()):
            self._refuse(entry, reason, RETRY_AFTER_S)

    async def _forward(self, entry: InFlight, link: worker_link.WorkerLink) -> None:
        sent_at = self._clock.seconds()
        request = msgspec.structs.replace(entry.call.request, timeout_s=entry.deadline_at - sent_at)
        outcome = await self._port.forward(address=link.address, epoch=self._epoch, request=request)
        entry.sends -= 1
        sent = {"request_id": request.request_id, "worker_id": link.worker_id}
        if isinstance(outcome, result.Success):
            self._take_answer(entry, outcome.unwrap(), link, sent_at)
            return
        error = outcome.failure()
        if isinstance(error, workers.OutcomeUnknownError):
            entry.maybe_ran = True
            self._emit(events.RequestLost(**sent))
            return
        self._emit(events.RequestNotRun(**sent))
        if isinstance(error, workers.StaleEpochError):
            self._on_stale(error)

    def _take_answer(
        self,
        entry: InFlight,
        answer: workers.ServiceResponse,
        link: worker_link.WorkerLink,
        sent_at: float,
    ) -> None:
        request_id = entry.call.request.request_id
        if answer.request_id != request_id:
            entry.maybe_ran = True
            self._emit(events.RequestLost(request_id=request_id, worker_id=link.worker_id))
            return
        self._emit(
            events.RequestAnswered(
                request_id=request_id,
                worker_id=link.worker_id,
                service_s=self._clock.seconds() - sent_at,
                failed=answer.status >= FIRST_ERROR_STATUS,
            )
        )
        reply = messages.RequestReply(request_id=request_id, answer=answer, room=self._room())
        self._reply(entry, reply)

    def _refuse(self, entry: InFlight, reason: str, retry_after_s: float) -> None:
        reply = messages.RequestReply(
            request_id=entry.call.request.request_id,
            outcome=entry.truth,
            reason=reason,
            retry_after_s=retry_after_s,
            room=self._room(),
        )
        self._reply(entry, reply)

    def _reply(self, entry: InFlight, reply: messages.RequestReply) -> None:
        if self._in_flight.get(reply.request_id) is not entry:
            return
        del self._in_flight[reply.request_id]
        waiting, entry.waiting = entry.waiting, []
        for outcome in waiting:
            outcome.callback(reply)


def _described(
    entry: InFlight, work_class: entities.WorkClass, arrived_at: float
) -> entities.Request:
    call = entry.call
    return entities.Request(
        request_id=call.request.request_id,
        service=call.request.service,
        work_class=call.work_class,
        tenant=call.tenant,
        arrived_at=arrived_at,
        deadline_at=entry.deadline_at,
        idempotent=call.idempotent,
        demand=work_class.demand,
    )
