"""Finds the cell for a request or a job, here or at one peer, and keeps the outcome honest."""

from __future__ import annotations

import abc
from collections.abc import Mapping, Sequence

import msgspec
from ebonyhatch.core import commands, entities, rendezvous
from ebonyhatch.node import cell, forwarding, messages, peers
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


class Router:
    """Routes calls to cells of this entry and of its peers."""

    def __init__(
        self,
        *,
        entry_id: str,
        placements: Placements,
        own_cells: Mapping[str, cell.Cell],
        chooser: forwarding.Chooser,
        network: peers.PeerNetwork,
    ) -> None:
        self._entry_id = entry_id
        self._placements = placements
        self._own_cells = own_cells
        self._chooser = chooser
        self._network = network

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
            name = self._choose(call, tried)
            if not name:
                break
            tried.append(name)
            reply = await self._ask(msgspec.structs.replace(call, cell=name))
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
        return await self._job_call(messages.JobSubmitCall(cell=name, job=raw))

    async def show(self, *, job_id: str) -> messages.JobReply:
        """Read a job's state at its home cell."""
        return await self._job_call(messages.JobShowCall(cell=self._home(job_id), job_id=job_id))

    async def cancel(self, *, job_id: str) -> messages.JobReply:
        """Cancel a job at its home cell."""
        return await self._job_call(messages.JobCancelCall(cell=self._home(job_id), job_id=job_id))

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

    def _choose(self, call: messages.RequestCall, tried: Sequence[str]) -> str:
        if call.idempotency_key and not call.idempotent:
            return "" if tried else self._home(call.idempotency_key)
        names = self._placements.serving(service=call.request.service)
        return self._chooser.choose(names=[name for name in names if name not in tried])

    def _home(self, key: str) -> str:
        return rendezvous.home_cell(key, self._placements.cells())

    async def _ask(self, call: messages.RequestCall) -> messages.RequestReply:
        owner = self._placements.owner_of(name=call.cell)
        if owner == self._entry_id:
            reply = await self.handle_request(call=call)
        elif owner:
            reply = await self._ask_peer(owner, call)
        else:
            reply = _refusal(call, "no-owner")
        if reply.room is not None:
            self._chooser.learn(room=reply.room)
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
