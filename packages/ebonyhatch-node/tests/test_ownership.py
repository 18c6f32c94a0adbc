"""Entries that share one store: joining, takeover, hand-over, restarts."""

from __future__ import annotations

from ebonyhatch.node import ownership
from ebonyhatch.ports import memory_store, store_engine
from returns import result
from twisted.internet import defer, task

DOMAINS = ("a", "b", "c")


class Fleet:
    """Entries by id over one store engine; killed ones count as unresponsive."""

    def __init__(self):
        self.clock = task.Clock()
        self.engine = store_engine.StoreEngine(clock=self.clock)
        self.entries = {}
        self.stores = {}
        self.dead = set()
        self.acting = {}

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)

    def add(self, entry_id, domain="a"):
        self.dead.discard(entry_id)
        own = memory_store.MemoryStore(clock=self.clock, engine=self.engine)
        acting = self.acting[entry_id] = {}

        def lose(cell):
            del acting[cell]
            return defer.succeed(None)

        entry = ownership.Ownership(
            member=ownership.Member(
                entry_id=entry_id, host="127.0.0.1", port=1, region="r", failure_domain=domain
            ),
            store=own,
            clock=self.clock,
            seed=1,
            domains=lambda: DOMAINS,
            cells_per_domain=1,
            is_unresponsive=lambda other: other in self.dead,
            on_gain=acting.__setitem__,
            on_loss=lose,
        )
        self.entries[entry_id] = entry
        self.stores[entry_id] = own
        return entry.start()

    def kill(self, entry_id):
        self.dead.add(entry_id)
        self.stores[entry_id].faults.down = True
        self.stores[entry_id].faults.lose_answers = True
        self.acting.pop(entry_id)

    def owners(self):
        return {cell: entry_id for entry_id, cells in self.acting.items() for cell in cells}


def fleet_of(*names):
    fleet = Fleet()
    started = [fleet.add(name, domain) for name, domain in names]
    fleet.run(15)
    assert all(isinstance(one.result, result.Success) for one in started)
    return fleet


THREE = (("e1", "a"), ("e2", "b"), ("e3", "c"))


def test_cells_go_to_entries_of_their_failure_domain():
    fleet = fleet_of(*THREE)
    assert fleet.owners() == {"a.0": "e1", "b.0": "e2", "c.0": "e3"}
    assert all(entry.lease_valid() for entry in fleet.entries.values())


def test_cells_of_a_killed_entry_are_taken_over_within_ten_seconds():
    fleet = fleet_of(*THREE)
    epoch = fleet.acting["e1"]["a.0"]
    fleet.kill("e1")
    fleet.run(9)
    taker = fleet.owners()["a.0"]
    assert taker != "e1"
    assert fleet.acting[taker]["a.0"] > epoch


def test_cells_are_handed_over_on_close_without_waiting_for_the_lease():
    fleet = fleet_of(*THREE)
    closed = fleet.entries["e1"].close()
    fleet.run(1)
    assert closed.called
    assert set(fleet.owners()) == {"a.0", "b.0", "c.0"}
    assert "e1" not in fleet.owners().values()


def test_restarted_entry_gets_its_cells_under_a_new_epoch():
    fleet = fleet_of(*THREE)
    epoch = fleet.acting["e1"]["a.0"]
    fleet.kill("e1")
    fleet.add("e1", "a")
    fleet.run(3)
    assert fleet.acting["e1"]["a.0"] == epoch + 1


def test_flapping_entry_moves_no_cell():
    fleet = fleet_of(*THREE)
    before = fleet.owners()
    for _ in range(3):
        fleet.add("e4", "a")
        fleet.run(3)
        fleet.kill("e4")
        fleet.run(2)
    assert fleet.owners() == before


def test_lease_is_invalid_before_the_store_ends_it():
    fleet = fleet_of(*THREE)
    fleet.stores["e1"].faults.down = True
    while fleet.entries["e1"].lease_valid():
        fleet.run(0.1)
    assert fleet.engine.get(key="entries/e1").version != 0


def test_idle_entries_make_less_than_one_call_a_second():
    fleet = fleet_of(*THREE)
    before = sum(fleet.engine.counts.values())
    fleet.run(100)
    calls = sum(fleet.engine.counts.values()) - before
    assert calls / 100 / 3 < 1.0


def test_outage_moves_no_cell_and_leases_are_obtained_again():
    fleet = fleet_of(*THREE)
    before = fleet.owners()
    for own in fleet.stores.values():
        own.faults.down = True
    fleet.run(60)
    assert not any(entry.lease_valid() for entry in fleet.entries.values())
    for own in fleet.stores.values():
        own.faults.down = False
    fleet.run(15)
    assert fleet.owners() == before
    assert all(entry.lease_valid() for entry in fleet.entries.values())


def test_newer_record_of_a_peer_stops_an_entry_that_cannot_reach_the_store():
    fleet = fleet_of(*THREE)
    fleet.stores["e1"].faults.down = True
    fleet.stores["e1"].faults.lose_answers = True
    fleet.dead.add("e1")
    fleet.run(10)
    peer = fleet.entries["e2"]
    assert "a.0" in fleet.acting["e1"]
    fleet.entries["e1"].offer(version=peer.version, record=peer.record)
    assert "a.0" not in fleet.acting["e1"]
    assert fleet.entries["e1"].owners == peer.owners
