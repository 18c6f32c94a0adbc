"""Finds the cell for a request or a job, here or at one peer, and keeps the outcome honest."""

from __future__ import annotations

import abc
from collections.abc import Collection, Mapping, Sequence

import msgspec
from ebonyhatch.core import commands, entities, rendezvous
from ebonyhatch.node import cell, forwarding, messages, peers
from ebonyhatch.ports import timing
from returns import result
from twisted.internet import defer

TRIES_LIMIT = 2
"""Cells that are asked for one request; a second one only after a certain `not run`."""

REPLY_MARGIN_S = 0.25
"""Time that a peer's reply may take beyond the request's own timeout."""

JOB_TIMEOUT_S = 10.0
"""Longest wait for a peer's answer to a call about a job."""

RETRY_AFTER_S = 1.0


class Placements(abc.ABC):
    """Who owns which cell, as far as this entry knows."""

    @abc.abstractmethod
    def owner_of(self, *, name: str) -> str:
        """Name the entry that owns a cell; empty when nobody is known to."""

    @abc.abstractmethod
    def cells(self) -> Sequence[str]:
        """Name all cells."""

    @abc.abstractmethod
    def serving(self, *, service: str) -> Sequence[str]:
        """Name the cells whose workers host a service."""


class Chooser(abc.ABC):
    """Chooses cells for requests and learns from how they went."""

    @abc.abstractmethod
    def choose(self, *, service: str, tried: Collection[str]) -> forwarding.Target | None:
        """Choose a cell that hosts a service and was not tried, or None."""

    @abc.abstractmethod
    def sent(self, *, target: forwarding.Target) -> None:
        """Count a request as sent to a cell."""

    @abc.abstractmethod
    def ended(self, *, target: forwarding.Target, sent_at: float) -> None:
        """Count a request as ended at a cell."""

    @abc.abstractmethod
    def learn(self, *, entry_id: str, room: messages.CellRoom) -> None:
        """Take in the room of a cell as it is now."""


class Router:
    """Routes calls to cells of this entry and of its peers."""

    def __init__(
        self,
        *,
        entry_id: str,
        placements: Placements,
        own_cells: Mapping[str, cell.Cell],
        chooser: Chooser,
        network: peers.PeerNetwork,
        clock: timing.Clock,
    ) -> None:
        self._entry_id = entry_id
        self._placements = placements
        self._own_cells = own_cells
        self._chooser = chooser
        self._network = network
        self._clock = clock

    async def request(self, *, call: messages.RequestCall) -> messages.RequestReply:
        """Have a request served by a cell with room.

        Args:
            call: The call; its cell is chosen here.

        Returns:
            The answer, or the outcome and reason that hold for the whole system.
        """
        tried: list[str] = []
        reply = _refusal(call, "no-owner")
        while len(tried) < TRIES_LIMIT:
            target = self._choose(call, tried)
            if target is None:
                break
            tried.append(target.cell)
            reply = await self._ask(msgspec.structs.replace(call, cell=target.cell), target)
            if not _may_go_on(reply):
                break
        return reply

    def handle_request(
        self, *, call: messages.RequestCall
    ) -> defer.Deferred[messages.RequestReply]:
        """Serve a call that a peer forwarded; it is never forwarded again."""
        owned = self._own_cells.get(call.cell)
        if owned is None:
            return defer.succeed(_refusal(call, "not-owner"))
        return owned.request(call=call)

    async def submit(self, *, job: entities.Job) -> messages.JobReply:
        """Submit a job to its home cell."""
        name = self._home(job.job_id)
        raw = msgspec.msgpack.encode(job)
        reply = await self._job_call(messages.JobSubmitCall(cell=name, job=raw))
        if reply.moved_to:
            return await self._follow(messages.JobShowCall(cell="", job_id=job.job_id), reply)
        return reply

    async def show(self, *, job_id: str) -> messages.JobReply:
        """Read a job's state at its home cell."""
        call = messages.JobShowCall(cell=self._home(job_id), job_id=job_id)
        return await self._follow(call, await self._job_call(call))

    async def cancel(self, *, job_id: str) -> messages.JobReply:
        """Cancel a job at its home cell."""
        call = messages.JobCancelCall(cell=self._home(job_id), job_id=job_id)
        return await self._follow(call, await self._job_call(call))

    def handle_job(self, *, call: messages.Message) -> defer.Deferred[messages.JobReply]:
        """Carry out a call about a job in a cell of this entry."""
        owned = self._own_cells.get(getattr(call, "cell", ""))
        if owned is None:
            return defer.succeed(messages.JobReply(status=503, reason="not-owner"))
        match call:
            case messages.JobSubmitCall(job=raw):
                return owned.submit(job=msgspec.msgpack.decode(raw, type=entities.Job))
            case messages.JobShowCall(job_id=job_id):
                return defer.succeed(owned.show(job_id=job_id))
            case messages.JobCancelCall(job_id=job_id):
                return owned.cancel(job_id=job_id)
        return defer.succeed(messages.JobReply(status=400, reason="unknown-call"))

    def _choose(self, call: messages.RequestCall, tried: Sequence[str]) -> forwarding.Target | None:
        if not call.idempotency_key or call.idempotent:
            return self._chooser.choose(service=call.request.service, tried=tried)
        if tried:
            return None
        name = self._home(call.idempotency_key)
        owner = self._placements.owner_of(name=name)
        return forwarding.Target(entry_id=owner, cell=name) if owner else None

    def _home(self, key: str) -> str:
        return rendezvous.home_cell(key, self._placements.cells())

    async def _ask(
        self, call: messages.RequestCall, target: forwarding.Target
    ) -> messages.RequestReply:
        if target.entry_id == self._entry_id:
            return await self.handle_request(call=call)
        sent_at = self._clock.seconds()
        self._chooser.sent(target=target)
        reply = await self._ask_peer(target.entry_id, call)
        self._chooser.ended(target=target, sent_at=sent_at)
        if reply.room is not None:
            self._chooser.learn(entry_id=target.entry_id, room=reply.room)
        return reply

    async def _ask_peer(self, owner: str, call: messages.RequestCall) -> messages.RequestReply:
        timeout_s = call.request.timeout_s + REPLY_MARGIN_S
        outcome = await self._network.call(entry_id=owner, message=call, timeout_s=timeout_s)
        match outcome:
            case result.Success(messages.RequestReply() as reply):
                if reply.request_id == call.request.request_id:
                    return reply
            case result.Failure(peers.PeerNotSentError()):
                return _refusal(call, "peer-unreachable")
        return _refusal(call, "peer-lost", commands.Outcome.UNKNOWN)

    async def _follow(
        self, call: messages.JobShowCall | messages.JobCancelCall, reply: messages.JobReply
    ) -> messages.JobReply:
        """Make a call again at the cell that has taken the job; a job moves once at most."""
        if not reply.moved_to:
            return reply
        return await self._job_call(msgspec.structs.replace(call, cell=reply.moved_to))

    async def _job_call(
        self, call: messages.JobSubmitCall | messages.JobShowCall | messages.JobCancelCall
    ) -> messages.JobReply:
        owner = self._placements.owner_of(name=call.cell)
        if owner == self._entry_id:
            return await self.handle_job(call=call)
        if not owner:
            return messages.JobReply(status=503, reason="no-owner")
        outcome = await self._network.call(entry_id=owner, message=call, timeout_s=JOB_TIMEOUT_S)
        match outcome:
            case result.Success(messages.JobReply() as reply):
                return reply
            case result.Failure(peers.PeerNotSentError()):
                return messages.JobReply(status=503, reason="peer-unreachable")
        return messages.JobReply(status=504, reason="peer-lost", outcome=commands.Outcome.UNKNOWN)


def _may_go_on(reply: messages.RequestReply) -> bool:
    return reply.answer is None and reply.outcome is commands.Outcome.NOT_RUN


def _refusal(
    call: messages.RequestCall,
    reason: str,
    outcome: commands.Outcome = commands.Outcome.NOT_RUN,
) -> messages.RequestReply:
    return messages.RequestReply(
        request_id=call.request.request_id,
        outcome=outcome,
        reason=reason,
        retry_after_s=RETRY_AFTER_S,
    )
