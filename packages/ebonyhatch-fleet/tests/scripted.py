"""Ports whose calls a test records and fails as it likes, for components that run alone on a clock."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

import eliot
import msgspec
from ebonyhatch.fleet import memory_store, store, targets
from returns import result
from twisted.internet import defer, task

STEP_S = 0.005


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call to the store: its time, its name and its arguments."""

    at: float
    name: str
    arguments: dict[str, Any]


class ScriptedStore(memory_store.MemoryStore):
    """A store that records its calls; those that `fails` or `rejects` selects have no effect."""

    def __init__(
        self, *, engine: memory_store.StoreEngine, page_items: int = memory_store.PAGE_ITEMS
    ) -> None:
        super().__init__(engine=engine, page_items=page_items)
        self.calls: list[Call] = []
        self.fails: Callable[[Call], bool] = lambda call: False
        self.rejects: Callable[[Call], bool] = lambda call: False

    def of(self, name: str) -> list[Call]:
        return [call for call in self.calls if call.name == name]

    async def get(self, **arguments):
        return self._refusal("get", arguments) or await super().get(**arguments)

    async def list_page(self, **arguments):
        return self._refusal("list_page", arguments) or await super().list_page(**arguments)

    async def watch(self, **arguments):
        return self._refusal("watch", arguments) or await super().watch(**arguments)

    async def commit(self, **arguments):
        return self._refusal("commit", arguments) or await super().commit(**arguments)

    def _refusal(self, name: str, arguments: dict[str, Any]):
        call = Call(at=self._engine.clock.seconds(), name=name, arguments=arguments)
        self.calls.append(call)
        if self.fails(call):
            return result.Failure(store.NotDoneError(call=name, reason="refused"))
        if self.rejects(call):
            return result.Failure(store.RejectedError(call=name, reason="rejected"))
        return None


class Poll(msgspec.Struct, frozen=True, kw_only=True):
    """A poll of a target, which a test answers by `answer`."""

    at: float
    acknowledged: int
    deadline_s: float
    wait_s: float
    answer: defer.Deferred


class ScriptedTarget(targets.Targets):
    """A port to one target whose polls are answered by a test, at once by `respond` if it is set."""

    def __init__(self, *, clock: task.Clock) -> None:
        self._clock = clock
        self.polls: list[Poll] = []
        self.respond: Callable[[Poll], Any] | None = None

    async def renew_and_poll(self, *, target, fence, acknowledged, deadline_s, wait_s):
        poll = Poll(
            at=self._clock.seconds(),
            acknowledged=acknowledged,
            deadline_s=deadline_s,
            wait_s=wait_s,
            answer=defer.Deferred(),
        )
        self.polls.append(poll)
        if self.respond is not None:
            await task.deferLater(self._clock, STEP_S)
            return self.respond(poll)
        return await poll.answer

    async def start_run(self, *, target, fence, order):
        raise NotImplementedError

    async def stop_run(self, *, target, fence, key):
        raise NotImplementedError

    async def pace_run(self, *, target, fence, key, percent):
        raise NotImplementedError


def advance(clock: Any, seconds: float) -> None:
    """Advances a clock in small steps."""
    until = clock.seconds() + seconds
    while clock.seconds() < until - 1e-9:
        clock.advance(STEP_S)


def finish(clock: Any, coroutine: Any, *, limit_s: float = 20.0) -> Any:
    """Runs a coroutine to its end and returns its result."""
    outcome: list[Any] = []
    defer.Deferred.fromCoroutine(coroutine).addBoth(outcome.append)
    until = clock.seconds() + limit_s
    while not outcome:
        assert clock.seconds() < until, "the coroutine did not end in time"
        clock.advance(STEP_S)
    if hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0]


@contextlib.contextmanager
def logged():
    """Yields the list of the messages that are logged meanwhile."""
    lines: list[dict[str, Any]] = []
    note = lines.append
    eliot.add_destinations(note)
    try:
        yield lines
    finally:
        eliot.remove_destination(note)
