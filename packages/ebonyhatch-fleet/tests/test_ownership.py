from __future__ import annotations

import itertools

import msgspec
import pytest
import scripted
import world as world_module
from ebonyhatch.fleet import clocks, keys, memory_store, node, ownership, store
from twisted.internet import task

SETTLED_S = 3.0


class Candidate:
    """An entry's part in the election, with the terms that it gained and lost."""

    def __init__(self, fleet: Fleet, name: str, capacity: float) -> None:
        self.gained: list[tuple[float, int]] = []
        self.lost: list[str] = []
        self.store = scripted.ScriptedStore(engine=fleet.engine)
        self.record = ownership.EntryRecord(
            name=name, incarnation=f"of {name}", host=name, port=1, capacity=capacity
        )
        self.members = ownership.Ownership(
            entry=self.record,
            store_port=self.store,
            all_clocks=clocks.MemoryClocks(clock=fleet.clock),
            on_gained=lambda head, _: self.gained.append((fleet.clock.seconds(), head.term)),
            on_lost=self.lost.append,
            on_entries=lambda entries: None,
        )
        self.members.start()

    def owner_writes(self) -> int:
        """Returns the number of commits of this entry that write the owner's key."""
        return sum(
            put.key == keys.OWNER
            for call in self.store.of("commit")
            for put in call.arguments.get("puts", ())
        )


class Fleet:
    """Candidates that share a store and a clock."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.engine = memory_store.StoreEngine(clock=self.clock)
        self.candidates: dict[str, Candidate] = {}

    def join(self, name: str, capacity: float = 0.0) -> Candidate:
        self.candidates[name] = Candidate(self, name, capacity)
        return self.candidates[name]

    def leave(self, name: str) -> None:
        self.candidates.pop(name).members.close()

    def advance(self, seconds: float) -> None:
        scripted.advance(self.clock, seconds)

    def owners(self) -> list[str]:
        return [name for name, one in self.candidates.items() if one.members.is_owner]

    def write_owner(self, name: str, *, term: int) -> None:
        record = ownership.OwnerRecord(name=name, incarnation=f"of {name}", term=term)
        put = store.Put(key=keys.OWNER, value=msgspec.json.encode(record))
        self.engine.commit((), (put,), ())


@pytest.mark.parametrize("order", list(itertools.permutations((0.5, 1.0, 4.0))))
def test_larger_candidates_take_over_first(order):
    fleet = Fleet()
    for capacity in order:
        fleet.join(f"e{capacity}", capacity)
    fleet.advance(SETTLED_S)
    for capacity in (4.0, 1.0, 0.5):
        assert fleet.owners() == [f"e{capacity}"]
        fleet.leave(f"e{capacity}")
        fleet.advance(SETTLED_S)


def test_candidates_of_equal_capacity_make_one_owner():
    fleet = Fleet()
    for number in range(8):
        fleet.join(f"e{number}", 1.0)
    fleet.advance(SETTLED_S)
    assert len(fleet.owners()) == 1
    assert sum(len(one.gained) for one in fleet.candidates.values()) == 1


def test_entry_that_has_just_joined_attempts_no_takeover():
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    fleet.advance(ownership.OWNER_RETURN_S - 2 * scripted.STEP_S)
    assert one.owner_writes() == 0
    fleet.advance(SETTLED_S)
    assert one.owner_writes() == 1 and one.members.is_owner


def test_entry_whose_registration_is_refused_registers_again():
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    until = 2.0
    one.store.fails = lambda call: call.name == "commit" and call.at < until
    fleet.advance(until)
    assert keys.entry("a") not in fleet.engine.items
    fleet.advance(1.0)
    assert keys.entry("a") in fleet.engine.items


def test_registered_entry_does_not_write_its_key_again():
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    fleet.advance(5 * SETTLED_S)
    written = [put.key for call in one.store.of("commit") for put in call.arguments["puts"]]
    assert written.count(keys.entry("a")) == 1


def test_owner_that_a_read_before_the_takeover_finds_is_not_written_over():
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    fleet.advance(0.1)
    written: list[float] = []

    def let_other_win(call: scripted.Call) -> bool:
        if call.name == "get" and call.arguments["key"] == keys.OWNER and not written:
            written.append(call.at)
            fleet.write_owner("b", term=4)
        return False

    one.store.fails = let_other_win
    fleet.advance(SETTLED_S)
    assert written and one.owner_writes() == 0
    assert one.members.owner.name == "b" and one.gained == []


def test_late_record_of_an_owner_of_a_lower_term_does_not_end_the_term():
    fleet = Fleet()
    head = ownership.Head(term=6, number=9, nonce="n")
    fleet.engine.commit((), (store.Put(key=keys.HEAD, value=msgspec.json.encode(head)),), ())
    one = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    assert [term for _, term in one.gained] == [7]
    fleet.write_owner("b", term=6)
    fleet.advance(0.1)
    assert one.lost == [] and one.members.is_owner
    fleet.write_owner("b", term=8)
    fleet.advance(0.1)
    assert len(one.lost) == 1 and not one.members.is_owner


def test_owner_should_yield_to_an_entry_of_twice_its_capacity_after_two_seconds():
    fleet = Fleet()
    small = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    fleet.join("b", 1.9)
    fleet.advance(3 * ownership.YIELD_AFTER_S)
    assert not small.members.should_yield()
    fleet.join("c", 2.0)
    fleet.advance(ownership.YIELD_AFTER_S - 0.1)
    assert not small.members.should_yield()
    fleet.advance(0.3)
    assert small.members.should_yield()


def test_entry_that_joins_again_counts_as_present_only_since_then():
    fleet = Fleet()
    small = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    for _ in range(4):
        fleet.join("b", 4.0)
        fleet.advance(1.0)
        fleet.leave("b")
        fleet.advance(2.0)
        assert not small.members.should_yield()


def test_entry_of_unknown_capacity_is_no_reason_to_yield():
    fleet = Fleet()
    one = fleet.join("a", 0.0)
    fleet.advance(SETTLED_S)
    fleet.join("b", 0.0)
    fleet.advance(5.0)
    assert not one.members.should_yield()


def _yield(fleet: Fleet, one: Candidate, *, gives_up: bool = False) -> None:
    scripted.finish(fleet.clock, one.members.yield_ownership("a reason", gives_up=gives_up))


def test_owner_that_has_yielded_may_do_so_again_only_after_twenty_seconds():
    fleet = Fleet()
    small = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    fleet.join("b", 4.0)
    fleet.advance(SETTLED_S)
    yielded_at = fleet.clock.seconds()
    _yield(fleet, small)
    fleet.advance(1.0)
    assert fleet.owners() == ["b"]
    fleet.leave("b")
    fleet.advance(SETTLED_S)
    assert fleet.owners() == ["a"]
    fleet.join("c", 4.0)
    while fleet.clock.seconds() < yielded_at + ownership.MIN_YIELD_INTERVAL_S - 0.1:
        assert not small.members.may_yield
        fleet.advance(0.1)
    fleet.advance(0.5)
    assert small.members.may_yield and small.members.should_yield()


def test_only_entry_may_not_yield():
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    assert not one.members.may_yield


def test_yielding_removes_only_the_own_key():
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    fleet.write_owner("b", term=9)
    _yield(fleet, one)
    assert b'"b"' in fleet.engine.items[keys.OWNER].value


@pytest.mark.parametrize("latency_s", [0.004, 0.3])
def test_owner_that_yields_does_not_resume_its_term_when_the_membership_changes_meanwhile(
    latency_s,
):
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    fleet.join("b", 4.0)
    fleet.advance(SETTLED_S)
    one.store.faults.latency_s = latency_s
    fleet.advance(4 * latency_s)
    third = ownership.EntryRecord(name="c", incarnation="of c", host="c", port=1)
    put = store.Put(key=keys.entry("c"), value=msgspec.json.encode(third))
    fleet.engine.commit((), (put,), ())
    _yield(fleet, one)
    fleet.advance(SETTLED_S)
    assert [term for _, term in one.gained] == [1]
    assert fleet.owners() == ["b"]


@pytest.mark.parametrize("other", [0.25, 1.0, 4.0])
def test_entry_that_gave_up_lets_the_others_go_first(other):
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    fleet.join("b", other)
    fleet.advance(1.0)
    _yield(fleet, one, gives_up=True)
    assert keys.OWNER not in fleet.engine.items
    fleet.advance(ownership.MAX_TAKEOVER_DELAY_S)
    assert fleet.owners() == ["b"] and len(one.gained) == 1


def test_entry_that_gave_up_takes_over_again_if_it_is_the_only_one_left():
    fleet = Fleet()
    one = fleet.join("a", 1.0)
    fleet.advance(SETTLED_S)
    fleet.join("b", 1.0)
    fleet.advance(1.0)
    _yield(fleet, one, gives_up=True)
    fleet.leave("b")
    fleet.advance(2 * SETTLED_S)
    assert fleet.owners() == ["a"]


def _small_owner() -> world_module.World:
    world = world_module.World(entries=0)
    world.start("small", capacity=1.0)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    return world


def test_owner_of_a_fleet_yields_to_a_larger_entry_and_no_work_is_done_twice():
    world = _small_owner()
    job = world.job(work_s=6.0)
    world.submit(job)
    world.start("large", capacity=2.0)
    took_s = world.run_until(lambda: world.owner is not None and world.owner.name == "large")
    assert took_s >= ownership.YIELD_AFTER_S
    assert took_s < ownership.YIELD_AFTER_S + 2 * node.OWNER_REVIEW_INTERVAL_S + 1.0
    world.run_until(lambda: world.state(job.job_id) == "completed")
    assert len(world.starts(job.job_id)) == 2
    world_module.check_all(world)


def test_owner_whose_recovery_stalls_gives_up_and_a_smaller_entry_takes_over():
    world = world_module.World(entries=0)
    stalled = world.start("large", capacity=4.0)
    stalled.store.faults.silent_prefix = keys.INTAKE
    world.run_until(lambda: world.owner is not None)
    world.start("small", capacity=1.0)
    took_s = world.run_until(lambda: world.owner is not None and world.owner.name == "small")
    assert took_s > node.NO_PROGRESS_S - 1.0
    world.run(1.0)
    assert world.owner.name == "small" and world.owner.node.owner.recovered


def test_owner_whose_recovery_stalls_keeps_its_role_if_it_is_the_only_entry():
    world = world_module.World(entries=0)
    only = world.start("only", capacity=1.0)
    only.store.faults.silent_prefix = keys.INTAKE
    world.run_until(lambda: world.owner is not None)
    world.run(3 * node.NO_PROGRESS_S)
    assert world.owner is only and only.node.owner.term == 1
    only.store.faults.silent_prefix = ""
    world.run_until(lambda: only.node.owner.recovered, 3.0)


def _owner_for(world: world_module.World, seconds: float) -> world_module.Member:
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(seconds)
    return world.owner


def test_owner_that_reaches_no_targets_gives_up_and_work_goes_on():
    world = world_module.World(entries=3)
    cut_off = _owner_for(world, ownership.MIN_YIELD_INTERVAL_S)
    job = world.job(work_s=3.0)
    cut_off.targets.partitioned = True
    world.submit(job, at=cut_off.name)
    world.run_until(lambda: world.owner is not None and world.owner is not cut_off)
    world.run_until(lambda: world.state(job.job_id) == "completed", limit_s=15.0)
    assert len(world.starts(job.job_id)) == 2
    world_module.check_all(world)


def test_owner_that_reaches_no_targets_for_a_short_time_keeps_its_role():
    world = world_module.World(entries=3)
    cut_off = _owner_for(world, ownership.MIN_YIELD_INTERVAL_S)
    cut_off.targets.partitioned = True
    world.run(node.FEW_TARGETS_S - 1.0)
    cut_off.targets.partitioned = False
    world.run(3 * node.FEW_TARGETS_S)
    assert world.owner is cut_off


def test_ownership_does_not_pass_through_all_entries_when_no_target_answers():
    world = world_module.World(entries=6)
    _owner_for(world, ownership.MIN_YIELD_INTERVAL_S)
    for engine in world.engines.values():
        engine.faults.partitioned = True
    gained = set()

    def note_owner() -> bool:
        if world.owner is not None:
            gained.add(world.owner.node.owner.term)
        return False

    until = world.clock.seconds() + ownership.MIN_YIELD_INTERVAL_S
    world.run_until(lambda: note_owner() or world.clock.seconds() > until, limit_s=60.0)
    assert len(gained) <= 3


def test_only_entry_that_reaches_no_targets_keeps_its_role():
    world = world_module.World(entries=1)
    only = _owner_for(world, ownership.MIN_YIELD_INTERVAL_S)
    only.targets.partitioned = True
    term = only.node.owner.term
    world.run(3 * node.FEW_TARGETS_S)
    assert only.node.owner is not None and only.node.owner.term == term


def test_term_is_not_valid_once_the_owner_s_key_is_seen_to_vanish():
    world = world_module.World(entries=1)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.run(1.0)
    members = world.owner.node._members
    assert members.term_valid
    world.owner.store.faults.lose_answers = True
    world.store.commit((), (), (keys.OWNER,))
    world.run_until(lambda: members.owner is None, 1.0)
    assert not members.term_valid
