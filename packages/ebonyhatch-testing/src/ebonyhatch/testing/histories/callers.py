"""Simulated callers: they send requests to entries and record the outcomes.

A request is forwarded at most once, from the entry that received it to the cell's owner.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Mapping
from typing import Any

from ebonyhatch.core import commands
from ebonyhatch.node import messages
from ebonyhatch.testing import history
from ebonyhatch.testing.histories import entry
from twisted.internet import defer, task

HOP_S = 0.002
"""Latency of a message between two entries, seconds."""


class Callers:
    """Sends requests to entries and records the outcomes.

    Attributes:
        entries: Entries by id.
        cuts: Pairs of entries that cannot reach each other.
        repeat_messages: Whether messages between entries arrive a second time, up to 1 s later.
    """

    def __init__(
        self,
        *,
        clock: task.Clock,
        entries: Mapping[str, entry.Entry],
        run: history.History,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self.entries = entries
        self._run = run
        self._random = generator
        self.cuts: set[frozenset[str]] = set()
        self.repeat_messages = False

    def is_cut(self, origin: entry.Entry, other: entry.Entry) -> bool:
        """Returns whether two entries cannot reach each other."""
        return frozenset((origin.entry_id, other.entry_id)) in self.cuts

    def send(self, origin: entry.Entry, call: messages.RequestCall) -> None:
        """Sends a request to an entry and records it."""
        request = call.request
        self._run.add(
            history.RequestMade(
                at=self._clock.seconds(),
                request_id=request.request_id,
                entry_id=origin.entry_id,
                idempotent=call.idempotent,
                key=call.idempotency_key,
                body=request.body,
            )
        )
        origin.calls.add(request.request_id)
        origin.clock.run(lambda: self._route(origin, call))

    def _route(self, origin: entry.Entry, call: messages.RequestCall) -> None:
        """Serves a call at the owner of its cell, with at most one hop between entries."""
        owner = self.entries.get(origin.owner_of(call.cell))
        conclude = functools.partial(self._record_outcome, origin, call)
        if owner is origin:
            origin.handle(call).addCallback(conclude)
        elif owner is None or owner.clock.dead or self.is_cut(origin, owner):
            conclude(entry.refusal(call, "peer-unreachable", commands.Outcome.NOT_RUN))
        else:
            self._ask_peer(origin, owner, call).addCallback(conclude)

    def _ask_peer(
        self, origin: entry.Entry, owner: entry.Entry, call: messages.RequestCall
    ) -> defer.Deferred[Any]:
        reply: defer.Deferred[Any] = defer.Deferred()
        lost = entry.refusal(call, "peer-lost", commands.Outcome.UNKNOWN)

        def resolve(value: messages.RequestReply) -> None:
            if not reply.called:
                reply.callback(value)

        def deliver_reply(value: messages.RequestReply) -> None:
            if not self.is_cut(origin, owner):
                origin.clock.run(lambda: resolve(value))

        def arrive() -> None:
            owner.handle(call).addCallback(deliver_reply)

        origin.clock.callLater(call.request.timeout_s + entry.REPLY_MARGIN_S, resolve, lost)
        self._clock.callLater(HOP_S, owner.clock.run, arrive)
        if self.repeat_messages:
            self._clock.callLater(self._random.random(), owner.clock.run, arrive)
        return reply

    def _record_outcome(
        self, origin: entry.Entry, call: messages.RequestCall, reply: messages.RequestReply
    ) -> None:
        origin.calls.discard(call.request.request_id)
        answer = reply.answer
        outcome = (
            history.CallerOutcome.ANSWERED if answer else history.CallerOutcome(reply.outcome.value)
        )
        self._run.add(
            history.RequestOutcome(
                at=self._clock.seconds(),
                request_id=call.request.request_id,
                told=outcome,
                answered_id=answer.request_id if answer else "",
                body=answer.body if answer else b"",
                reason=reply.reason,
            )
        )
