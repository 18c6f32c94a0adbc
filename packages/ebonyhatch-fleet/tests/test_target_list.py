from __future__ import annotations

from collections.abc import Callable

import msgspec
import scripted
import world as world_module
from ebonyhatch.fleet import clocks, memory_store, store, target_list, targets
from ebonyhatch.node import coroutines
from twisted.internet import task


class FailingCodec(world_module.JsonTargetCodec):
    """Fails with an error that no decoder documents on one registration."""

    def decode(self, item: store.Item) -> targets.Target | None:
        if item.key.endswith("odd"):
            raise RecursionError("maximum recursion depth exceeded")
        return super().decode(item)


class ListCase:
    """A list of two targets, and the names that it reported."""

    def __init__(
        self, *, odd_from_start: bool = False, on_change: Callable[[int], None] = lambda count: None
    ) -> None:
        self.clock = task.Clock()
        self.engine = memory_store.StoreEngine(clock=self.clock)
        self.store = scripted.ScriptedStore(engine=self.engine)
        self.reported: list[set[str]] = []
        self.put("t0")
        self.put("t1")
        if odd_from_start:
            self.put("odd")
        self.on_change = on_change
        self.group = coroutines.CoroutineGroup(clock=self.clock)
        self.list = target_list.TargetList(
            store_port=self.store,
            target_codec=FailingCodec(),
            all_clocks=clocks.MemoryClocks(clock=self.clock),
            group=self.group,
            on_change=self._report,
        )
        self.list.start()
        self.advance(1.0)
        assert self.reported == [{"t0", "t1"}]

    def _report(self, listed: dict[str, targets.Target]) -> None:
        self.reported.append(set(listed))
        self.on_change(len(self.reported))

    def put(self, name: str) -> None:
        target = targets.Target(
            target_id=name, address=f"{name}:1", pool="p", failure_domain="a", born=1
        )
        key = world_module.TARGETS_PREFIX + name
        self.engine.commit((), (store.Put(key=key, value=msgspec.json.encode(target)),), ())

    def remove(self, name: str) -> None:
        self.engine.commit((), (), (world_module.TARGETS_PREFIX + name,))

    def fail_for(self, seconds: float) -> None:
        self.store.fails = lambda call: True
        self.advance(seconds)
        self.store.fails = lambda call: False

    def advance(self, seconds: float) -> None:
        scripted.advance(self.clock, seconds)


def test_one_registration_that_fails_the_decoder_does_not_hide_the_others():
    case = ListCase(odd_from_start=True)
    assert case.list.loaded
    case.put("t2")
    case.advance(1.0)
    assert case.reported[-1] == {"t0", "t1", "t2"}


def test_registration_that_fails_the_decoder_later_does_not_end_the_watch():
    case = ListCase()
    case.put("odd")
    case.advance(1.0)
    case.put("t2")
    case.advance(1.0)
    assert case.reported[-1] == {"t0", "t1", "t2"}


def test_targets_are_still_followed_after_an_unexpected_error_of_the_owner():
    def fail_once(count: int) -> None:
        if count == 2:
            raise RuntimeError("the owner failed")

    case = ListCase(on_change=fail_once)
    case.put("t2")
    case.advance(1.0)
    case.put("t3")
    case.advance(1.0)
    assert case.reported[-1] == {"t0", "t1", "t2", "t3"}


def test_silent_connection_hides_a_change_of_a_target_for_less_than_the_bounds():
    case = ListCase()
    case.store.faults.silent_watches = world_module.TARGETS_PREFIX
    case.advance(4.0)
    case.put("t2")
    case.store.faults.silent_watches = ""
    case.advance(2.5)
    assert case.reported[-1] == {"t0", "t1", "t2"}


def test_failed_watches_do_not_make_the_targets_be_listed_anew():
    case = ListCase()
    case.fail_for(5.0)
    case.put("t2")
    case.advance(1.0)
    assert case.reported[-1] == {"t0", "t1", "t2"}
    assert len(case.store.of("list_page")) == 1


def test_target_whose_registration_expires_in_an_outage_is_retained_for_a_while():
    case = ListCase()
    case.store.fails = lambda call: True
    case.advance(5.0)
    case.remove("t0")
    case.store.fails = lambda call: False
    case.advance(target_list.REREGISTRATION_S - 0.2)
    assert case.reported[-1] == {"t0", "t1"}
    case.advance(1.0)
    assert case.reported[-1] == {"t1"}


def test_target_that_registers_again_after_an_outage_stays():
    case = ListCase()
    case.store.fails = lambda call: True
    case.advance(5.0)
    case.remove("t0")
    case.store.fails = lambda call: False
    case.advance(1.0)
    case.put("t0")
    case.advance(5.0)
    assert all(names == {"t0", "t1"} for names in case.reported)


def test_target_that_leaves_without_an_outage_is_removed_at_once():
    case = ListCase()
    case.fail_for(1.0)
    case.put("t2")
    case.advance(1.0)
    case.remove("t0")
    case.advance(0.5)
    assert case.reported[-1] == {"t1", "t2"}


def test_compacted_history_makes_the_targets_be_listed_anew():
    case = ListCase()
    case.fail_for(1.0)
    for number in range(5):
        case.put(f"n{number}")
    case.engine.compact()
    case.advance(1.0)
    assert len(case.store.of("list_page")) == 2
    assert len(case.reported[-1]) == 7


def test_registrations_that_hold_nothing_new_are_not_reported():
    case = ListCase()
    for _ in range(20):
        case.put("t0")
        case.put("t1")
        case.advance(0.1)
    assert len(case.reported) == 1
    case.put("t2")
    case.remove("t0")
    case.advance(1.0)
    assert case.reported[-1] == {"t1", "t2"}
