"""Callers of a run: their requests pass one step between entries, and what they are told."""

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
"""Time of a message between two entries, seconds."""


class Callers:
    """Sends requests to entries and records the outcomes.

    Attributes:
        entries: Entries by id.
        cuts: Pairs of entries that don't hear each other.
        repeat_messages: Messages between entries arrive a second time, up to a second later.
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
        """Tell whether two entries don't hear each other."""
        return frozenset((origin.entry_id, other.entry_id)) in self.cuts

    def send(self, origin: entry.Entry, call: messages.RequestCall) -> None:
        """Send a request to an entry."""
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
        """Serve a call at its owner, in one step between entries at most."""
        owner = self.entries.get(origin.owner_of(call.cell))
        told = functools.partial(self._record_outcome, origin, call)
        if owner is origin:
            origin.handle(call).addCallback(told)
        elif owner is None or owner.clock.dead or self.is_cut(origin, owner):
            told(entry.refusal(call, "peer-unreachable", commands.Outcome.NOT_RUN))
        else:
            self._ask_peer(origin, owner, call).addCallback(told)

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
        told = (
            history.CallerOutcome.ANSWERED if answer else history.CallerOutcome(reply.outcome.value)
        )
        self._run.add(
            history.RequestOutcome(
                at=self._clock.seconds(),
                request_id=call.request.request_id,
                told=told,
                answered_id=answer.request_id if answer else "",
                body=answer.body if answer else b"",
                reason=reply.reason,
            )
        )
