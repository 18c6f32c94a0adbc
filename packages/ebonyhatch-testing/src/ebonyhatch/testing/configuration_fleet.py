"""Six configurations on one fake clock and one store, which exchange their heads."""

from __future__ import annotations

import json
from typing import Any

from ebonyhatch.core import configuration as core_configuration
from ebonyhatch.node import configuration, configuration_head
from ebonyhatch.ports import fault_switches, memory_store, store, store_engine, timing
from ebonyhatch.testing import history
from returns import result
from twisted.internet import task

ENTRIES = 6
STEP_S = 0.1
GOSSIP_S = 1.0

IN_FORCE_S = 5.0
"""Time within which accepted records must be in force everywhere."""

CLEAN_S = 40.0
"""Time after the last fault of an entry's store calls by which none hangs any longer, seconds."""

START_S = 6.0
STABILIZE_S = 20.0


def encoded(rank: object) -> bytes:
    """Encodes a set of one record."""
    record = {"kind": "priority", "name": "top", "schema_version": 1, "rank": rank}
    return json.dumps([record]).encode()


class RecordingEngine(store_engine.StoreEngine):
    """A store that records every value that was written.

    Attributes:
        written: The values, in order.
    """

    def __init__(self, *, clock: timing.Clock) -> None:
        super().__init__(clock=clock)
        self.written: list[bytes] = []

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.Stored:
        """Writes a key that is at the expected version."""
        stored = super().swap(
            key=key, expected_version=expected_version, value=value, lease_id=lease_id
        )
        self.written.append(value)
        return stored


class ConfigurationFleet:
    """Entries, each with its own faults.

    Attributes:
        clock: The clock of all entries.
        engine: The store's state.
        entries: The configuration of each entry.
        faults: Faults of each entry's calls to the store.
        gossiping: Whether each entry exchanges heads with its peers.
        seen: Generations that came into force on each entry, across its restarts.
        runs: Generations that came into force in each run of an entry, in order of starts.
        history: Accepted generations, and the generations in force on reachable entries.
    """

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.engine = RecordingEngine(clock=self.clock)
        self.seen: list[list[int]] = [[] for _ in range(ENTRIES)]
        self.runs: list[list[int]] = []
        self.faults = [fault_switches.Faults() for _ in range(ENTRIES)]
        self.gossiping = [True] * ENTRIES
        self.history = history.History()
        self._faulty_at = [-CLEAN_S] * ENTRIES
        self._cut_off_at = [-CLEAN_S] * ENTRIES
        self.entries = [self._start_entry(index) for index in range(ENTRIES)]
        self.advance(START_S)

    @property
    def in_force(self) -> list[int]:
        """Generation in force on each entry."""
        return [entry.in_force.generation for entry in self.entries]

    @property
    def reverted(self) -> list[list[int]]:
        """Generations of the entries on which an older generation followed a newer one."""
        return [seen for seen in self.seen if seen != sorted(seen)]

    def was_written(self, rank: object) -> bool:
        """Returns whether a set was ever written to the store."""
        part = encoded(rank).replace(b" ", b"")
        fields = sorted(part.strip(b"[{}]").split(b","))
        return any(all(field in value for field in fields) for value in self.engine.written)

    def restart(self, index: int) -> None:
        """Replaces an entry with one that has empty memory."""
        self.entries[index].close()
        self.entries[index] = self._start_entry(index)

    def advance(self, seconds: float) -> None:
        """Advances the clock in steps, with gossip."""
        for step in range(round(seconds / STEP_S)):
            self._update_reachability()
            self.clock.advance(STEP_S)
            if step % round(GOSSIP_S / STEP_S) == 0:
                self._gossip()
                self._record_all_in_force()

    def write(
        self, index: int, rank: object, *, expect: int | None = None, wait_s: float = STABILIZE_S
    ) -> Any:
        """Writes a set through an entry and returns the outcome after `wait_s`."""
        outcomes = self.begin(index, rank, expect=expect)
        self.advance(wait_s)
        return outcomes[0]

    def begin(self, index: int, rank: object, *, expect: int | None = None) -> list[Any]:
        """Starts to write a set through an entry; the outcome is appended to the returned list."""
        outcomes: list[Any] = []
        write = self.entries[index].write(records=encoded(rank), expect=expect)
        write.addCallback(self._record_acceptance)
        write.addCallback(outcomes.append)
        return outcomes

    def head(self, *, age_s: float) -> bytes:
        """Reads the head as it was in the store `age_s` ago."""
        return self.engine.get(key=configuration_head.KEY, age_s=age_s).value

    def put_head(self, value: bytes) -> None:
        """Overwrites the head directly in the store, bypassing the protocol."""
        version = self.engine.get(key=configuration_head.KEY).version
        self.engine.swap(key=configuration_head.KEY, expected_version=version, value=value)

    def heal(self) -> None:
        """Ends all faults and waits 30 s for the entries to stabilize."""
        for faults in self.faults:
            faults.replace(fault_switches.Faults())
        self.gossiping = [True] * ENTRIES
        self.advance(30)

    def _start_entry(self, index: int) -> configuration.Configuration:
        port = memory_store.MemoryStore(
            clock=self.clock, engine=self.engine, faults=self.faults[index]
        )
        port.start()
        run: list[int] = []
        self.runs.append(run)

        def on_change(new: core_configuration.InForce) -> None:
            run.append(new.generation)
            self.seen[index].append(new.generation)
            self._record_in_force(index, new.generation)

        entry = configuration.Configuration(
            store=port, clock=self.clock, seed=len(self.runs), on_change=on_change
        )
        entry.start()
        return entry

    def _gossip(self) -> None:
        participants = [e for e, on in zip(self.entries, self.gossiping, strict=True) if on]
        for entry in participants:
            for peer in participants:
                entry.offer(generation=peer.generation, head=peer.head)

    def _record_acceptance(self, outcome: Any) -> Any:
        if isinstance(outcome, result.Success):
            generation = outcome.unwrap().generation
            accepted = history.ConfigurationAccepted(at=self.clock.seconds(), generation=generation)
            self.history.add(accepted)
        return outcome

    def _record_in_force(self, index: int, generation: int) -> None:
        """Records the generation in force, except on an entry that could not learn a newer one."""
        reachable_s = self.clock.seconds() - self._cut_off_at[index]
        if reachable_s <= 2 * GOSSIP_S:
            return
        seen = history.ConfigurationObserved(
            at=self.clock.seconds(),
            entry_id=f"entry-{index}",
            generation=generation,
            reachable_s=reachable_s,
        )
        self.history.add(seen)

    def _record_all_in_force(self) -> None:
        for index, generation in enumerate(self.in_force):
            if generation:
                self._record_in_force(index, generation)

    def _update_reachability(self) -> None:
        """Updates the times at which entries reached neither the store nor a peer that does."""
        now = self.clock.seconds()
        for index, faults in enumerate(self.faults):
            if faults != fault_switches.Faults():
                self._faulty_at[index] = now
        clean = [now - at >= CLEAN_S for at in self._faulty_at]
        by_peers = any(ok and talks for ok, talks in zip(clean, self.gossiping, strict=True))
        for index in range(ENTRIES):
            if not clean[index] and not (by_peers and self.gossiping[index]):
                self._cut_off_at[index] = now
