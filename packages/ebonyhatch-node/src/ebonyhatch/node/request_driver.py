"""Serves requests: each keeps one id from end to end and gets one reply.

The reply to a request without an answer states correctly whether the request may have run.
"""

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
"""Time past its deadline after which a request ends without the scheduler's decision, seconds."""

MAX_RECENT_REPLIES = 2000
"""Maximum replies cached for repeated messages."""

MAX_RECENT_BODY_BYTES = 4_096
"""Maximum size of a cached response body, bytes.

A repeat of a message whose response has a larger one gets `unknown`.
"""

RETRY_AFTER_S = 1.0
"""Retry delay recommended to refused callers, seconds."""

FIRST_ERROR_STATUS = 500
"""Lowest HTTP status that counts as a failure of the service."""

ReplyOutcome = defer.Deferred[messages.RequestReply]


@dataclasses.dataclass(slots=True, kw_only=True)
class InFlight:
    """A request without a reply.

    Attributes:
        call: The call.
        deadline_at: Time by which the answer is due, seconds.
        waiting: Deferreds that fire with the reply; repeated messages add theirs.
        sends: Sends whose outcome is pending.
        may_have_run: Whether an earlier send may have run.
    """

    call: messages.RequestCall
    deadline_at: float
    waiting: list[ReplyOutcome] = dataclasses.field(default_factory=list)
    sends: int = 0
    may_have_run: bool = False

    @property
    def truth(self) -> commands.Outcome:
        """Outcome to report if the request gets no answer."""
        if self.sends or self.may_have_run:
            return commands.Outcome.UNKNOWN
        return commands.Outcome.NOT_RUN


class RequestDriver:
    """Submits requests to the scheduler and carries out its decisions on them."""

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
        self._capacity = room
        self._on_stale = on_stale
        self._in_flight: dict[str, InFlight] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._recent: collections.OrderedDict[str, messages.RequestReply] = (
            collections.OrderedDict()
        )

    @property
    def in_flight(self) -> int:
        """Number of requests without a reply."""
        return len(self._in_flight)

    def serve(self, call: messages.RequestCall, *, work_class: entities.WorkClass) -> ReplyOutcome:
        """Submits a request to the scheduler; the result fires with its reply."""
        request_id = call.request.request_id
        waiting: ReplyOutcome = defer.Deferred()
        now = self._clock.seconds()
        flight = InFlight(call=call, deadline_at=now + call.request.timeout_s, waiting=[waiting])
        self._in_flight[request_id] = flight
        heapq.heappush(self._deadlines, (flight.deadline_at, request_id))
        self._emit(events.RequestArrived(request=_scheduler_request(flight, work_class, now)))
        return waiting

    def find_reply(self, call: messages.RequestCall) -> ReplyOutcome | None:
        """Returns the reply to a request that has arrived before; None for a new request."""
        request_id = call.request.request_id
        if request_id in self._recent:
            return defer.succeed(self._recent[request_id])
        flight = self._in_flight.get(request_id)
        if flight is None:
            return None
        waiting: ReplyOutcome = defer.Deferred()
        flight.waiting.append(waiting)
        return waiting

    def cache_reply(self, reply: messages.RequestReply) -> messages.RequestReply:
        """Caches a reply so that repeated messages get the same one and run nothing again."""
        cached = reply
        if reply.answer is not None and len(reply.answer.body) > MAX_RECENT_BODY_BYTES:
            unknown = commands.Outcome.UNKNOWN
            cached = messages.RequestReply(
                request_id=reply.request_id, outcome=unknown, reason="repeated"
            )
        self._recent[reply.request_id] = cached
        if len(self._recent) > MAX_RECENT_REPLIES:
            self._recent.popitem(last=False)
        return reply

    def refusal(self, call: messages.RequestCall, *, reason: str) -> messages.RequestReply:
        """Returns the reply to a request that certainly was not sent."""
        return messages.RequestReply(
            request_id=call.request.request_id,
            reason=reason,
            retry_after_s=RETRY_AFTER_S,
            room=self._capacity(),
        )

    def send(self, command: commands.SendRequest) -> None:
        """Sends a request to a worker, unless that might run it twice."""
        flight = self._in_flight.get(command.request_id)
        link = self._links.get(command.worker_id)
        sent = {"request_id": command.request_id, "worker_id": command.worker_id}
        if flight is None or link is None or not link.accepts_work or not self._may_act():
            self._emit(events.RequestNotRun(**sent))
        elif not flight.call.idempotent and flight.truth is commands.Outcome.UNKNOWN:
            self._emit(events.RequestLost(**sent))
        elif flight.deadline_at <= self._clock.seconds():
            self._emit(events.RequestNotRun(**sent))
        else:
            flight.sends += 1
            self._group.spawn(self._forward(flight, link))

    def refuse(self, command: commands.RefuseRequest) -> None:
        """Replies without an answer; the outcome depends on whether the request was sent."""
        flight = self._in_flight.get(command.request_id)
        if flight is not None:
            self._refuse(flight, command.reason, command.retry_after_s)

    def sweep(self) -> None:
        """Ends requests whose deadline and grace time have passed."""
        limit = self._clock.seconds() - DEADLINE_GRACE_S
        while self._deadlines and self._deadlines[0][0] <= limit:
            _, request_id = heapq.heappop(self._deadlines)
            flight = self._in_flight.get(request_id)
            if flight is not None and flight.deadline_at <= limit:
                self._emit(events.RequestWithdrawn(request_id=request_id))
                self._refuse(flight, "deadline", RETRY_AFTER_S)

    def refuse_unsent(self, *, reason: str) -> None:
        """Refuses every request that was not sent; the others await their outcome."""
        for flight in list(self._in_flight.values()):
            if flight.truth is commands.Outcome.NOT_RUN:
                self._refuse(flight, reason, RETRY_AFTER_S)

    def refuse_all(self, *, reason: str) -> None:
        """Refuses every request in flight."""
        for flight in list(self._in_flight.values()):
            self._refuse(flight, reason, RETRY_AFTER_S)

    async def _forward(self, flight: InFlight, link: worker_link.WorkerLink) -> None:
        sent_at = self._clock.seconds()
        request = msgspec.structs.replace(
            flight.call.request, timeout_s=flight.deadline_at - sent_at
        )
        outcome = await self._port.forward(address=link.address, epoch=self._epoch, request=request)
        flight.sends -= 1
        sent = {"request_id": request.request_id, "worker_id": link.worker_id}
        if isinstance(outcome, result.Success):
            self._take_answer(flight, outcome.unwrap(), link, sent_at)
            return
        error = outcome.failure()
        if isinstance(error, workers.OutcomeUnknownError):
            flight.may_have_run = True
            self._emit(events.RequestLost(**sent))
            return
        self._emit(events.RequestNotRun(**sent))
        if isinstance(error, workers.StaleEpochError):
            self._on_stale(error)

    def _take_answer(
        self,
        flight: InFlight,
        answer: workers.ServiceResponse,
        link: worker_link.WorkerLink,
        sent_at: float,
    ) -> None:
        request_id = flight.call.request.request_id
        if answer.request_id != request_id:
            flight.may_have_run = True
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
        reply = messages.RequestReply(request_id=request_id, answer=answer, room=self._capacity())
        self._reply(flight, reply)

    def _refuse(self, flight: InFlight, reason: str, retry_after_s: float) -> None:
        reply = messages.RequestReply(
            request_id=flight.call.request.request_id,
            outcome=flight.truth,
            reason=reason,
            retry_after_s=retry_after_s,
            room=self._capacity(),
        )
        self._reply(flight, reply)

    def _reply(self, flight: InFlight, reply: messages.RequestReply) -> None:
        if self._in_flight.get(reply.request_id) is not flight:
            return
        del self._in_flight[reply.request_id]
        waiting, flight.waiting = flight.waiting, []
        for outcome in waiting:
            outcome.callback(reply)


def _scheduler_request(
    flight: InFlight, work_class: entities.WorkClass, arrived_at: float
) -> entities.Request:
    call = flight.call
    return entities.Request(
        request_id=call.request.request_id,
        service=call.request.service,
        work_class=call.work_class,
        tenant=call.tenant,
        arrived_at=arrived_at,
        deadline_at=flight.deadline_at,
        idempotent=call.idempotent,
        demand=work_class.demand,
    )
