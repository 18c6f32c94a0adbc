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

    def cut(self, one: entry.Entry, other: entry.Entry) -> bool:
        """Tell whether two entries don't hear each other."""
        return frozenset((one.entry_id, other.entry_id)) in self.cuts

    def send(self, one: entry.Entry, call: messages.RequestCall) -> None:
        """Send a request to an entry."""
        request = call.request
        self._run.add(
            history.RequestMade(
                at=self._clock.seconds(),
                request_id=request.request_id,
                entry_id=one.entry_id,
                idempotent=call.idempotent,
                key=call.idempotency_key,
                body=request.body,
            )
        )
        one.calls.add(request.request_id)
        one.clock.run(lambda: self._route(one, call))

    def _route(self, one: entry.Entry, call: messages.RequestCall) -> None:
        """Serve a call at its owner, in one step between entries at most."""
        owner = self.entries.get(one.owner_of(call.cell))
        told = functools.partial(self._told, one, call)
        if owner is one:
            one.handle(call).addCallback(told)
        elif owner is None or owner.clock.dead or self.cut(one, owner):
            told(entry.refusal(call, "peer-unreachable", commands.Outcome.NOT_RUN))
        else:
            self._ask_peer(one, owner, call).addCallback(told)

    def _ask_peer(
        self, one: entry.Entry, owner: entry.Entry, call: messages.RequestCall
    ) -> defer.Deferred[Any]:
        reply: defer.Deferred[Any] = defer.Deferred()
        lost = entry.refusal(call, "peer-lost", commands.Outcome.UNKNOWN)

        def settle(value: messages.RequestReply) -> None:
            if not reply.called:
                reply.callback(value)

        def back(value: messages.RequestReply) -> None:
            if not self.cut(one, owner):
                one.clock.run(lambda: settle(value))

        def arrive() -> None:
            owner.handle(call).addCallback(back)

        one.clock.callLater(call.request.timeout_s + entry.REPLY_MARGIN_S, settle, lost)
        self._clock.callLater(HOP_S, owner.clock.run, arrive)
        if self.repeat_messages:
            self._clock.callLater(self._random.random(), owner.clock.run, arrive)
        return reply

    def _told(
        self, one: entry.Entry, call: messages.RequestCall, reply: messages.RequestReply
    ) -> None:
        one.calls.discard(call.request.request_id)
        answer = reply.answer
        told = history.Told.ANSWERED if answer else history.Told(reply.outcome.value)
        self._run.add(
            history.RequestTold(
                at=self._clock.seconds(),
                request_id=call.request.request_id,
                told=told,
                answered_id=answer.request_id if answer else "",
                body=answer.body if answer else b"",
                reason=reply.reason,
            )
        )
