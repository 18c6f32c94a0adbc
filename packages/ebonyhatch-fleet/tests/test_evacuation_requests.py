from __future__ import annotations

import scripted
import world as world_module
from ebonyhatch.fleet import clocks, memory_store, store
from ebonyhatch.fleet.evacuation import requests
from ebonyhatch.node import coroutines
from twisted.internet import task


class RequestsCase:
    """A follower of the requests alone with a store, whose changes are recorded."""

    def __init__(self, *, codec: requests.Codec | None = None) -> None:
        self.clock = task.Clock()
        self.engine = memory_store.StoreEngine(clock=self.clock)
        self.port = scripted.ScriptedStore(engine=self.engine)
        self.changes: list[list[str]] = []
        self.fails = 0
        self.subject = requests.EvacuationRequests(
            store_port=self.port,
            codec=codec or world_module.EvacuationCodec(),
            all_clocks=clocks.MemoryClocks(clock=self.clock),
            group=coroutines.CoroutineGroup(clock=self.clock),
            is_owner=lambda: True,
            on_change=self._record,
        )

    def _record(self) -> None:
        if self.fails:
            self.fails -= 1
            raise RuntimeError("the owner failed")
        self.changes.append(sorted(self.subject.domains.requested))

    def start(self) -> None:
        self.subject.start()
        self.run(0.5)

    def run(self, seconds: float) -> None:
        scripted.advance(self.clock, seconds)

    def put(self, domain: str, value: bytes = b"{}") -> None:
        put = store.Put(key=world_module.EVACUATIONS_PREFIX + domain, value=value)
        self.engine.commit((), (put,), ())

    def remove(self, *names: str) -> None:
        keys = tuple(world_module.EVACUATIONS_PREFIX + domain for domain in names)
        self.engine.commit((), (), keys)

    @property
    def names(self) -> list[str]:
        return sorted(self.subject.domains.requested)


def test_requests_from_before_the_start_and_later_ones_are_known_until_they_are_removed():
    case = RequestsCase()
    case.put("a")
    case.start()
    assert case.subject.listed and case.names == ["a"]
    case.put("b", b'{"reason": "power"}')
    case.run(0.05)
    assert case.names == ["a", "b"]
    case.remove("a")
    case.run(0.05)
    assert case.changes == [["a"], ["a", "b"], ["b"]]
    assert len(case.port.of("list_page")) == 1


def test_no_change_is_announced_without_requests():
    case = RequestsCase()
    case.start()
    case.run(5.0)
    assert case.subject.listed and case.changes == []


def test_nothing_counts_as_listed_before_the_store_answers():
    case = RequestsCase()
    case.port.fails = lambda call: True
    case.start()
    case.run(3.0)
    assert not case.subject.listed
    case.port.fails = lambda call: False
    case.run(1.0)
    assert case.subject.listed


def test_no_request_ends_because_the_store_is_silent():
    """Guards against a domain that returns to service in an outage of the store."""
    case = RequestsCase()
    case.put("a")
    case.start()
    case.port.fails = lambda call: True
    case.run(30.0)
    assert case.names == ["a"] and case.changes == [["a"]]


def test_requests_are_listed_again_after_a_lost_watch():
    case = RequestsCase()
    case.put("a")
    case.start()
    case.port.fails = lambda call: True
    case.run(3.0)
    case.put("b")
    case.remove("a")
    case.port.fails = lambda call: False
    case.run(1.0)
    assert case.names == ["b"]
    assert case.changes == [["a"], ["b"]]


def test_requests_are_listed_again_after_the_history_was_compacted():
    case = RequestsCase()
    case.put("a")
    case.start()
    case.port.fails = lambda call: call.name == "watch"
    case.run(2.0)
    case.remove("a")
    case.put("b")
    case.engine.compact()
    case.put("c")
    case.engine.compact()
    case.port.fails = lambda call: False
    case.run(1.0)
    assert case.names == ["b", "c"]


def test_request_that_a_hanging_watch_hides_is_found_within_the_bound():
    """Guards against starts in a domain for as long as one connection to the store hangs."""
    case = RequestsCase()
    case.start()
    case.port.faults.silent_watches = world_module.EVACUATIONS_PREFIX
    case.run(2.0)
    case.put("a")
    case.run(3.0)
    assert case.names == ["a"]


def test_new_owner_lists_the_requests_anew_and_waits_for_that():
    """Guards against starts by a new owner whose entry has a watch that hangs."""
    case = RequestsCase()
    case.start()
    case.port.faults.silent_watches = world_module.EVACUATIONS_PREFIX
    case.run(2.0)
    case.put("a")
    case.subject.read_again()
    assert not case.subject.listed
    case.run(0.05)
    assert case.subject.listed and case.names == ["a"]


def test_listing_that_began_before_the_term_does_not_count():
    case = RequestsCase()
    case.port.faults.latency_s = 0.3
    case.subject.start()
    case.run(0.2)
    case.subject.read_again()
    case.run(0.2)
    assert not case.subject.listed
    case.run(0.3)
    assert case.subject.listed


def test_request_that_is_taken_back_at_once_leaves_nothing():
    case = RequestsCase()
    case.start()
    case.put("a")
    case.remove("a")
    case.run(0.5)
    assert case.names == [] and case.changes == []


def test_unreadable_values_are_logged_once_and_hide_no_other_request():
    case = RequestsCase()
    with scripted.logged() as lines:
        case.put("a", b"{")
        case.put("b", b"[1]")
        case.put("c")
        case.start()
        case.port.fails = lambda call: True
        case.run(3.0)
        case.port.fails = lambda call: False
        case.put("a", b"\xff")
        case.run(1.0)
    assert case.names == ["c"]
    unreadable = [line for line in lines if line["message_type"] == "evacuation.unreadable"]
    assert sorted(line["domain"] for line in unreadable) == ["a", "b"]
    case.put("a")
    case.run(0.5)
    assert case.names == ["a", "c"]


def test_value_that_became_unreadable_does_not_end_the_request():
    """Guards against a return to service while the key of the request is still there."""
    case = RequestsCase()
    case.put("a")
    case.start()
    case.put("a", b"nothing")
    case.run(0.5)
    assert case.names == ["a"]
    case.remove("a")
    case.run(0.5)
    assert case.names == []


def test_number_of_logged_unreadable_keys_has_a_limit():
    case = RequestsCase()
    with scripted.logged() as lines:
        for number in range(2 * requests.MAX_REPORTED):
            case.put(f"odd-{number}", b"-")
        case.start()
    unreadable = [line for line in lines if line["message_type"] == "evacuation.unreadable"]
    assert len(unreadable) == requests.MAX_REPORTED


class FailingCodec(world_module.EvacuationCodec):
    """Fails with an error that no decoder documents on one domain."""

    def problem(self, domain: str, value: bytes) -> str:
        if domain == "odd":
            raise RecursionError("maximum recursion depth exceeded")
        return super().problem(domain, value)


def test_unexpected_error_of_the_decoder_hides_no_other_request():
    case = RequestsCase(codec=FailingCodec())
    case.put("odd")
    case.put("z")
    case.start()
    assert case.names == ["z"]


def test_change_whose_announcement_failed_is_announced_again():
    case = RequestsCase()
    case.start()
    case.fails = 1
    case.put("a")
    case.run(2.0)
    assert case.changes == [["a"]]


def test_deployment_without_requests_calls_the_store_for_none():
    """Guards against calls of every entry that a deployment without evacuations would pay for."""
    clock = task.Clock()
    port = scripted.ScriptedStore(engine=memory_store.StoreEngine(clock=clock))
    subject = requests.EvacuationRequests(
        store_port=port,
        codec=None,
        all_clocks=clocks.MemoryClocks(clock=clock),
        group=coroutines.CoroutineGroup(clock=clock),
        is_owner=lambda: True,
        on_change=lambda: None,
    )
    subject.start()
    subject.read_again()
    scripted.advance(clock, 1.0)
    assert subject.listed and not subject.domains.requested
    assert port.calls == []
