from __future__ import annotations

import itertools

import pytest
import scripted
from ebonyhatch.fleet import clocks, listing, memory_store, store
from ebonyhatch.node import coroutines
from twisted.internet import defer, task

ITEMS = 12
PAGE_ITEMS = 5
SECOND_PAGE = "p/04"
LAST_PAGE = "p/09"


class ListingCase:
    """A reader of a listing of three pages."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.engine = memory_store.StoreEngine(clock=self.clock)
        for number in range(ITEMS):
            self.put(f"p/{number:02}")
        self.store = scripted.ScriptedStore(engine=self.engine, page_items=PAGE_ITEMS)
        self.group = coroutines.CoroutineGroup(clock=self.clock)
        self.reader = listing.ListingReader(
            store_port=self.store,
            all_clocks=clocks.MemoryClocks(clock=self.clock),
            group=self.group,
        )

    def put(self, key: str) -> None:
        self.engine.commit((), (store.Put(key=key, value=b"v"),), ())

    def fail(self, *, after: str, times: int) -> None:
        remaining = itertools.chain((True,) * times, itertools.repeat(False))
        self.store.fails = lambda call: call.arguments["after"] == after and next(remaining)

    def read(self) -> listing.Listed:
        return scripted.finish(self.clock, self.reader.read("p/"))

    def pages(self) -> list[str]:
        return [call.arguments["after"] for call in self.store.of("list_page")]


@pytest.mark.parametrize("times", [1, 4])
@pytest.mark.parametrize("after", ["", SECOND_PAGE, LAST_PAGE])
def test_only_a_page_that_failed_is_read_again(after, times):
    case = ListingCase()
    case.fail(after=after, times=times)
    listed = case.read()
    assert [item.key for item in listed.items] == [f"p/{number:02}" for number in range(ITEMS)]
    assert listed.failures == times
    pages = case.pages()
    assert {page: pages.count(page) for page in ("", SECOND_PAGE, LAST_PAGE)} == {
        page: 1 + times * (page == after) for page in ("", SECOND_PAGE, LAST_PAGE)
    }


def test_delay_before_a_retry_doubles_up_to_its_limit_and_starts_again_with_each_page():
    case = ListingCase()
    failing = {"": 5, SECOND_PAGE: 2}
    counts = dict.fromkeys(failing, 0)

    def fails(call: scripted.Call) -> bool:
        after = call.arguments["after"]
        counts[after] = counts.get(after, 0) + 1
        return counts[after] <= failing.get(after, 0)

    case.store.fails = fails
    case.read()
    for after, expected in (("", [0.15, 0.3, 0.6, 0.6, 0.6]), (SECOND_PAGE, [0.15, 0.3])):
        times = [c.at for c in case.store.of("list_page") if c.arguments["after"] == after]
        delays = [later - earlier for earlier, later in itertools.pairwise(times)]
        assert delays == pytest.approx(expected, abs=2 * scripted.STEP_S)


def test_revision_of_a_listing_is_that_of_its_first_page():
    case = ListingCase()
    before = case.engine.revision

    def change_later(call: scripted.Call) -> bool:
        if call.arguments["after"] == SECOND_PAGE:
            case.put("p/11")
        return False

    case.store.fails = change_later
    listed = case.read()
    assert case.engine.revision > before
    assert listed.as_of == before


def test_progress_is_the_time_of_the_last_page_and_failures_make_none():
    case = ListingCase()
    created_at = case.reader.progressed_at
    case.store.fails = lambda call: call.arguments["after"] == SECOND_PAGE
    defer.Deferred.fromCoroutine(case.reader.read("p/")).addErrback(lambda _: None)
    scripted.advance(case.clock, 3.0)
    assert created_at < case.reader.progressed_at < 0.1
    case.store.fails = lambda call: False
    scripted.advance(case.clock, 1.0)
    assert case.reader.progressed_at > 3.0


def test_no_page_is_read_after_the_group_was_closed():
    case = ListingCase()
    case.store.fails = lambda call: True
    case.group.spawn(case.reader.read("p/"))
    scripted.advance(case.clock, 1.0)
    case.group.close()
    before = len(case.pages())
    scripted.advance(case.clock, 2.0)
    assert len(case.pages()) == before


def test_empty_listing_has_the_revision_of_the_store():
    case = ListingCase()
    listed = scripted.finish(case.clock, case.reader.read("none/"))
    assert (listed.items, listed.as_of, listed.failures) == ((), case.engine.revision, 0)
