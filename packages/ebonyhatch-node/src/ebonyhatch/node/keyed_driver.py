"""Serves requests with an idempotency key; the intent is durable before the request is sent."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import msgspec
from ebonyhatch.core import commands, journal_entries
from ebonyhatch.node import coroutines, journal, keyed_requests, messages, request_driver
from ebonyhatch.ports import timing
from returns import result
from twisted.internet import defer

Serve = Callable[[messages.RequestCall], request_driver.ReplyOutcome]
Refusal = Callable[[messages.RequestCall, str], messages.RequestReply]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Running:
    """A key whose request is in progress at this cell."""

    call: messages.RequestCall
    digest: str
    waiting: list[tuple[str, request_driver.ReplyOutcome]]
    reply: messages.RequestReply | None = None


class KeyedDriver:
    """Answers repeats of a key with the first answer or `unknown`, and never runs them again."""

    def __init__(
        self,
        *,
        journal_of_cell: journal.Journal,
        clock: timing.Clock,
        group: coroutines.CoroutineGroup,
        serve: Serve,
        refusal: Refusal,
    ) -> None:
        self._journal = journal_of_cell
        self._keys = journal_of_cell.state.keys
        self._clock = clock
        self._group = group
        self._serve = serve
        self._refusal = refusal
        self._running: dict[str, _Running] = {}

    @property
    def in_flight(self) -> int:
        """Number of keys whose request has no reply."""
        return sum(running.reply is None for running in self._running.values())

    def refuse_all(self, *, reason: str) -> None:
        """Refuses every request without a reply.

        Requests that were sent must have got their replies before, so that none of these was sent.
        """
        for running in self._running.values():
            if running.reply is None:
                self._deliver(running, self._refusal(running.call, reason))

    def resolve_inherited(self) -> None:
        """Records the requests that an older owner sent as ended without a known answer."""
        for row in self._keys.rows():
            if row.state == keyed_requests.KeyState.INTENDED:
                self._journal.append(
                    journal_entries.KeyAnswered(key=row.key, request_id=row.request_id, answer=b"")
                )

    def is_running(self, call: messages.RequestCall) -> bool:
        """Returns whether the first request of a call's key is in progress."""
        return keyed_requests.scoped_key(call) in self._running

    def request(self, call: messages.RequestCall) -> request_driver.ReplyOutcome:
        """Serves a call, or repeats the recorded reply of its key."""
        key = keyed_requests.scoped_key(call)
        digest = keyed_requests.digest_of(call)
        running = self._running.get(key)
        row = self._keys.get(key)
        first_digest = running.digest if running else row.digest if row else digest
        if first_digest != digest:
            return defer.succeed(self._refusal(call, "key-reused"))
        if running is not None:
            return self._join(running, call)
        if row is not None:
            return defer.succeed(self._repeat(row, call))
        running = _Running(call=call, digest=digest, waiting=[])
        self._running[key] = running
        joined = self._join(running, call)
        self._group.spawn(self._run(key, running, call))
        return joined

    def _join(self, running: _Running, call: messages.RequestCall) -> request_driver.ReplyOutcome:
        outcome: request_driver.ReplyOutcome = defer.Deferred()
        running.waiting.append((call.request.request_id, outcome))
        if running.reply is not None:
            self._deliver(running, running.reply)
        return outcome

    def _repeat(
        self, row: keyed_requests.KeyRow, call: messages.RequestCall
    ) -> messages.RequestReply:
        request_id = call.request.request_id
        answer = keyed_requests.decode_answer(row, request_id=request_id)
        if answer is not None:
            return messages.RequestReply(request_id=request_id, answer=answer)
        return messages.RequestReply(
            request_id=request_id, outcome=commands.Outcome.UNKNOWN, reason="key-used"
        )

    async def _run(self, key: str, running: _Running, call: messages.RequestCall) -> None:
        """Writes the intent, then sends the request and writes its outcome.

        If the intent isn't durable within the request's timeout, or can't be written, the request
        is refused without being sent. If the intent becomes durable after such a timeout, the
        refusal is recorded.
        """
        deadline_at = self._clock.seconds() + call.request.timeout_s
        timeout_call = self._clock.callLater(
            call.request.timeout_s, self._deliver, running, self._refusal(call, "journal-slow")
        )
        request_id = call.request.request_id
        intended = await self._journal.append(
            journal_entries.KeyIntended(key=key, request_id=request_id, digest=running.digest),
            droppable=True,
        )
        if timeout_call.active():
            timeout_call.cancel()
        if isinstance(intended, result.Success):
            if running.reply is None:
                remaining_s = deadline_at - self._clock.seconds()
                self._deliver(running, await self._serve(_with_timeout(call, remaining_s)))
            assert running.reply is not None
            await self._journal.append(_closing_entry(key, request_id, running.reply))
        elif running.reply is None:
            self._deliver(running, self._refusal(call, "journal-unavailable"))
        del self._running[key]

    def _deliver(self, running: _Running, reply: messages.RequestReply) -> None:
        running.reply = reply
        waiting, running.waiting = running.waiting, []
        for request_id, outcome in waiting:
            outcome.callback(_with_request_id(reply, request_id))


def _with_timeout(call: messages.RequestCall, timeout_s: float) -> messages.RequestCall:
    request = msgspec.structs.replace(call.request, timeout_s=timeout_s)
    return msgspec.structs.replace(call, request=request)


def _with_request_id(reply: messages.RequestReply, request_id: str) -> messages.RequestReply:
    """Returns the reply of a key's first request, addressed to a repeated request."""
    answer = reply.answer
    if answer is not None:
        answer = msgspec.structs.replace(answer, request_id=request_id)
    return msgspec.structs.replace(reply, request_id=request_id, answer=answer)


def _closing_entry(
    key: str, request_id: str, reply: messages.RequestReply
) -> journal_entries.AnyEntry:
    if reply.answer is not None:
        answer = keyed_requests.encode_answer(reply.answer)
        return journal_entries.KeyAnswered(key=key, request_id=request_id, answer=answer)
    if reply.outcome is commands.Outcome.NOT_RUN:
        return journal_entries.KeyReleased(key=key, request_id=request_id)
    return journal_entries.KeyAnswered(key=key, request_id=request_id, answer=b"")
