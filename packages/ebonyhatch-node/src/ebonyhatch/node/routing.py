"""Routes requests and jobs to a cell of this entry or of a peer.

A call is reported as not run only if that is certain; otherwise its outcome is unknown.
"""

from __future__ import annotations

import abc
from collections.abc import Collection, Mapping, Sequence

import msgspec
from ebonyhatch.core import commands, entities, rendezvous
from ebonyhatch.node import cell, forwarding, messages, peers
from ebonyhatch.ports import timing
from returns import result
from twisted.internet import defer

MAX_ATTEMPTS = 2
"""Maximum cells tried for one request; a second one only if the first certainly did not run it."""

REPLY_MARGIN_S = 0.25
"""Additional time, beyond the request's own timeout, to wait for the peer's reply, seconds."""

JOB_TIMEOUT_S = 10.0
"""Timeout of a peer call about a job, seconds."""

RETRY_AFTER_S = 1.0


class Placements(abc.ABC):
    """Ownership of cells as known to this entry."""

    @abc.abstractmethod
    def owner_of(self, *, name: str) -> str:
        """Returns the id of the entry that owns a cell, or an empty string if unknown."""

    @abc.abstractmethod
    def cells(self) -> Sequence[str]:
        """Returns the names of all cells."""

    @abc.abstractmethod
    def serving(self, *, service: str) -> Sequence[str]:
        """Returns the names of the cells whose workers host a service."""


class Chooser(abc.ABC):
    """Chooses cells for requests and tracks the requests sent to each."""

    @abc.abstractmethod
    def choose(self, *, service: str, tried: Collection[str]) -> forwarding.Target | None:
        """Returns an untried cell that hosts a service, or None."""

    @abc.abstractmethod
    def record_sent(self, *, target: forwarding.Target) -> None:
        """Records that a request was sent to a cell."""

    @abc.abstractmethod
    def record_ended(self, *, target: forwarding.Target, sent_at: float) -> None:
        """Records that a request sent to a cell has ended."""

    @abc.abstractmethod
    def update_capacity(self, *, entry_id: str, room: messages.CellRoom) -> None:
        """Applies a newly received capacity summary of a cell."""


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
        """Routes a request to a cell with free capacity.

        Args:
            call: The call; this method chooses its cell.

        Returns:
            The answer, or the reason for its absence and an outcome that covers every cell tried.
        """
        tried: list[str] = []
        reply = _refusal(call, "no-owner")
        while len(tried) < MAX_ATTEMPTS:
            target = self._choose(call, tried)
            if target is None:
                break
            tried.append(target.cell)
            reply = await self._dispatch(msgspec.structs.replace(call, cell=target.cell), target)
            if not _may_retry(reply):
                break
        return reply

    def handle_request(
        self, *, call: messages.RequestCall
    ) -> defer.Deferred[messages.RequestReply]:
        """Serves a call that a peer forwarded, without forwarding it again."""
        own_cell = self._own_cells.get(call.cell)
        if own_cell is None:
            return defer.succeed(_refusal(call, "not-owner"))
        return own_cell.request(call=call)

    async def submit(self, *, job: entities.Job) -> messages.JobReply:
        """Submits a job to its home cell, which rendezvous hashing of its id selects."""
        name = self._home_cell(job.job_id)
        raw = msgspec.msgpack.encode(job)
        reply = await self._job_call(messages.JobSubmitCall(cell=name, job=raw))
        if reply.moved_to:
            return await self._follow_transfer(
                messages.JobShowCall(cell="", job_id=job.job_id), reply
            )
        return reply

    async def show(self, *, job_id: str) -> messages.JobReply:
        """Reads a job's state from its home cell."""
        call = messages.JobShowCall(cell=self._home_cell(job_id), job_id=job_id)
        return await self._follow_transfer(call, await self._job_call(call))

    async def cancel(self, *, job_id: str) -> messages.JobReply:
        """Cancels a job at its home cell."""
        call = messages.JobCancelCall(cell=self._home_cell(job_id), job_id=job_id)
        return await self._follow_transfer(call, await self._job_call(call))

    def handle_job(self, *, call: messages.Message) -> defer.Deferred[messages.JobReply]:
        """Handles a call about a job in a cell of this entry."""
        own_cell = self._own_cells.get(getattr(call, "cell", ""))
        if own_cell is None:
            return defer.succeed(messages.JobReply(status=503, reason="not-owner"))
        match call:
            case messages.JobSubmitCall(job=raw):
                return own_cell.submit(job=msgspec.msgpack.decode(raw, type=entities.Job))
            case messages.JobShowCall(job_id=job_id):
                return defer.succeed(own_cell.show(job_id=job_id))
            case messages.JobCancelCall(job_id=job_id):
                return own_cell.cancel(job_id=job_id)
        return defer.succeed(messages.JobReply(status=400, reason="unknown-call"))

    def _choose(self, call: messages.RequestCall, tried: Sequence[str]) -> forwarding.Target | None:
        if not call.idempotency_key or call.idempotent:
            return self._chooser.choose(service=call.request.service, tried=tried)
        if tried:
            return None
        name = self._home_cell(call.idempotency_key)
        owner = self._placements.owner_of(name=name)
        return forwarding.Target(entry_id=owner, cell=name) if owner else None

    def _home_cell(self, key: str) -> str:
        return rendezvous.home_cell(key, self._placements.cells())

    async def _dispatch(
        self, call: messages.RequestCall, target: forwarding.Target
    ) -> messages.RequestReply:
        if target.entry_id == self._entry_id:
            return await self.handle_request(call=call)
        sent_at = self._clock.seconds()
        self._chooser.record_sent(target=target)
        reply = await self._send_to_peer(target.entry_id, call)
        self._chooser.record_ended(target=target, sent_at=sent_at)
        if reply.room is not None:
            self._chooser.update_capacity(entry_id=target.entry_id, room=reply.room)
        return reply

    async def _send_to_peer(self, owner: str, call: messages.RequestCall) -> messages.RequestReply:
        timeout_s = call.request.timeout_s + REPLY_MARGIN_S
        outcome = await self._network.call(entry_id=owner, message=call, timeout_s=timeout_s)
        match outcome:
            case result.Success(messages.RequestReply() as reply):
                if reply.request_id == call.request.request_id:
                    return reply
            case result.Failure(peers.PeerNotSentError()):
                return _refusal(call, "peer-unreachable")
        return _refusal(call, "peer-lost", commands.Outcome.UNKNOWN)

    async def _follow_transfer(
        self, call: messages.JobShowCall | messages.JobCancelCall, reply: messages.JobReply
    ) -> messages.JobReply:
        """Repeats a call at the cell to which the job was transferred; a job moves at most once."""
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


def _may_retry(reply: messages.RequestReply) -> bool:
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
