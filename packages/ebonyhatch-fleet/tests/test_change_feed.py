from __future__ import annotations

import pytest
import scripted
from ebonyhatch.fleet import change_feed, memory_store, store
from ebonyhatch.node import coroutines
from twisted.internet import defer, task


class FeedCase:
    """A feed of the changes under `p/`."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.engine = memory_store.StoreEngine(clock=self.clock)
        self.store = scripted.ScriptedStore(engine=self.engine)
        self.group = coroutines.CoroutineGroup(clock=self.clock)
        self.feed = change_feed.ChangeFeed(store_port=self.store, group=self.group, prefix="p/")
        self.feed.start(self.engine.revision)

    def put(self, key: str) -> None:
        self.engine.commit((), (store.Put(key=key, value=b"v"),), ())

    def take(self) -> list[str]:
        return [change.key for change in scripted.finish(self.clock, self.feed.take())]


def test_changes_are_held_in_order_until_they_are_taken_although_their_history_is_gone():
    case = FeedCase()
    for number in range(5):
        case.put(f"p/{number}")
        scripted.advance(case.clock, 0.1)
        case.engine.compact()
        scripted.advance(case.clock, 4.0)
    assert case.take() == [f"p/{number}" for number in range(5)]


def test_silent_connection_hides_a_change_for_less_than_the_bounds():
    case = FeedCase()
    case.store.faults.silent_watches = "p/"
    scripted.advance(case.clock, 4.0)
    case.put("p/1")
    case.store.faults.silent_watches = ""
    scripted.advance(case.clock, 2.5)
    assert [change.key for change in case.feed.take_held()] == ["p/1"]


def test_waiting_consumer_gets_a_change_that_arrives():
    case = FeedCase()
    taken: list = []
    defer.Deferred.fromCoroutine(case.feed.take()).addCallback(taken.append)
    scripted.advance(case.clock, 7.0)
    assert not taken
    case.put("p/1")
    scripted.advance(case.clock, 0.1)
    assert [change.key for change in taken[0]] == ["p/1"]


@pytest.mark.parametrize("failures", [1, 4])
def test_failed_watches_lose_no_change(failures):
    case = FeedCase()
    case.store.fails = lambda call: len(case.store.of("watch")) <= failures + 1
    scripted.advance(case.clock, 3.1)
    case.put("p/1")
    assert case.take() == ["p/1"]
    assert len({call.arguments["after"] for call in case.store.of("watch")[:failures]}) == 1


def test_compacted_history_ends_the_feed_after_the_changes_before_it():
    case = FeedCase()
    case.put("p/1")
    scripted.advance(case.clock, 0.1)
    case.store.fails = lambda call: True
    scripted.advance(case.clock, 4.0)
    case.put("p/2")
    case.engine.compact()
    case.store.fails = lambda call: False
    scripted.advance(case.clock, 1.0)
    assert case.take() == ["p/1"]
    assert case.take() == [] and case.take() == []
    calls = len(case.store.calls)
    scripted.advance(case.clock, 4.0)
    assert len(case.store.calls) == calls


def test_no_watch_is_made_after_the_group_was_closed():
    case = FeedCase()
    case.group.close()
    calls = len(case.store.calls)
    scripted.advance(case.clock, 5.0)
    assert len(case.store.calls) == calls
