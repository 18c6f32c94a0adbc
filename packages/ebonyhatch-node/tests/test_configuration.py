import json

import pytest
from ebonyhatch.core import commands
from ebonyhatch.core import configuration as in_force
from ebonyhatch.node import (
    configuration,
    configuration_current,
    configuration_errors,
    configuration_head,
    configuration_writes,
)
from ebonyhatch.platform import fault_switches, memory_store, store_engine
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result
from twisted.internet import task

ENTRIES = 6
STEP_S = 0.1
GOSSIP_S = 1.0
IN_FORCE_S = 5.0


def encoded(rank, **fields):
    record = {"kind": "priority", "name": "top", "schema_version": 1, "rank": rank, **fields}
    return json.dumps([record]).encode()


class Fleet:
    """Entries on one clock and one store, which tell each other their heads."""

    def __init__(self):
        self.clock = task.Clock()
        self.engine = store_engine.StoreEngine(clock=self.clock)
        self.seen = [[] for _ in range(ENTRIES)]
        self.runs = []
        self.faults = [fault_switches.Faults() for _ in range(ENTRIES)]
        self.gossiping = [True] * ENTRIES
        self.entries = [self.fresh(index) for index in range(ENTRIES)]
        self.advance(6)

    def fresh(self, index):
        """Start an entry with empty memory."""
        store = memory_store.MemoryStore(
            clock=self.clock, engine=self.engine, faults=self.faults[index]
        )
        store.start()
        run = []
        self.runs.append(run)

        def on_change(new):
            run.append(new.generation)
            self.seen[index].append(new.generation)

        entry = configuration.Configuration(
            store=store, clock=self.clock, seed=len(self.runs), on_change=on_change
        )
        entry.start()
        return entry

    def restart(self, index):
        self.entries[index].close()
        self.entries[index] = self.fresh(index)

    def advance(self, seconds):
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            if step % round(GOSSIP_S / STEP_S) == 0:
                self.gossip()

    def gossip(self):
        talking = [e for e, on in zip(self.entries, self.gossiping, strict=True) if on]
        for entry in talking:
            for peer in talking:
                entry.offer(generation=peer.generation, head=peer.head)

    def write(self, index, rank, *, expect=None, wait_s=20):
        outcomes = self.begin(index, rank, expect=expect)
        self.advance(wait_s)
        return outcomes[0]

    def begin(self, index, rank, *, expect=None):
        outcomes = []
        write = self.entries[index].write(records=encoded(rank), expect=expect)
        write.addCallback(outcomes.append)
        return outcomes

    @property
    def in_force(self):
        return [entry.in_force.generation for entry in self.entries]

    @property
    def reverted(self):
        return [seen for seen in self.seen if seen != sorted(seen)]


@pytest.fixture
def fleet():
    return Fleet()


def test_accepted_records_are_in_force_everywhere_within_five_seconds(fleet):
    assert fleet.write(0, 1, wait_s=0.1) == result.Success(
        configuration.Written(generation=1, changed=True)
    )
    fleet.advance(IN_FORCE_S)
    assert fleet.in_force == [1] * ENTRIES


def silence_one_watch(fleet):
    fleet.faults[3].silent = True
    fleet.advance(40)
    fleet.write(0, 1, wait_s=IN_FORCE_S)
    return fleet.in_force


def test_silent_watch_is_made_up_for_by_peers(fleet):
    assert silence_one_watch(fleet) == [1] * ENTRIES


def test_without_peers_a_silent_watch_misses_the_change(fleet):
    fleet.gossiping[3] = False
    assert silence_one_watch(fleet) == [1, 1, 1, 0, 1, 1]


def test_generation_told_without_head_is_read_again(fleet):
    fleet.gossiping[3] = False
    fleet.faults[3].silent = True
    fleet.advance(1)
    fleet.write(0, 1, wait_s=2)
    fleet.faults[3].silent = False
    fleet.entries[3].offer(generation=1, head=b"")
    fleet.advance(0.1)
    assert fleet.in_force == [1] * ENTRIES


def read_from_the_past(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.write(0, 2, wait_s=10)
    older = store_engine_head(fleet, age_s=15)
    fleet.gossiping[2] = False
    fleet.faults[2].stale_s = 15
    fleet.entries[2].history()
    fleet.entries[2].offer(generation=9, head=older)
    fleet.advance(3)
    return fleet.reverted


def store_engine_head(fleet, *, age_s):
    return fleet.engine.get(key=configuration_head.KEY, age_s=age_s).value


def test_late_reads_and_older_peers_revert_nothing(fleet):
    assert read_from_the_past(fleet) == []
    fleet.advance(10)
    assert fleet.in_force == [2] * ENTRIES


def test_without_the_generation_check_a_late_read_reverts(fleet, monkeypatch):
    monkeypatch.setattr(configuration_current.Current, "_is_newer", lambda self, head: True)
    assert read_from_the_past(fleet) != []


def restart_on_a_stale_store(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.write(0, 2, wait_s=10)
    fleet.faults[4].stale_s = 15
    fleet.restart(4)
    fleet.advance(6)
    return fleet.reverted


def test_restart_on_a_stale_store_takes_the_newest_from_peers(fleet):
    assert restart_on_a_stale_store(fleet) == []
    assert fleet.in_force == [2] * ENTRIES


def test_without_waiting_for_peers_a_restart_reverts(fleet, monkeypatch):
    monkeypatch.setattr(configuration, "PEERS_SETTLE_S", 0.0)
    assert restart_on_a_stale_store(fleet) != []


def test_fresh_entry_takes_configuration_from_peers_during_an_outage(fleet):
    fleet.write(0, 1, wait_s=10)
    for faults in fleet.faults:
        faults.down = True
    fleet.restart(5)
    fleet.advance(3)
    assert fleet.in_force == [1] * ENTRIES
    assert "doesn't answer" in fleet.entries[5].faults[0].problem
    error = fleet.write(5, 2, wait_s=60).failure()
    assert isinstance(error, configuration_errors.StoreUnavailableError)


def race(fleet):
    fleet.write(0, 1, wait_s=10)
    for faults in fleet.faults[:2]:
        faults.slow_s = 0.5
    outcomes = [fleet.begin(0, 7, expect=1), fleet.begin(1, 8, expect=1)]
    fleet.advance(30)
    return [outcome[0] for outcome in outcomes]


def test_operators_that_race_get_a_conflict_that_names_the_newer_generation(fleet):
    first, second = race(fleet)
    assert first.unwrap().generation == 2
    error = second.failure()
    assert (error.expected, error.generation, error.outcome) == (1, 2, commands.Outcome.NOT_RUN)
    assert "changed priority/top@1" in str(error)


def test_without_the_expectation_a_race_overwrites_silently(fleet, monkeypatch):
    monkeypatch.setattr(configuration_writes.Write, "_meets_expectation", lambda self, _: True)
    assert [outcome.unwrap().generation for outcome in race(fleet)] == [2, 3]


def lose_an_answer_and_be_overtaken(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.faults[0].slow_s = 0.1
    outcomes = fleet.begin(0, 2)
    fleet.clock.advance(0.1)
    fleet.faults[0].lose_answers = True
    fleet.advance(1)
    fleet.write(1, 3, wait_s=10)
    fleet.faults[0].lose_answers = False
    fleet.advance(20)
    return outcomes[0]


def test_lost_answer_is_settled_even_when_the_write_was_overtaken(fleet):
    assert lose_an_answer_and_be_overtaken(fleet).unwrap().generation == 2
    assert fleet.in_force == [3] * ENTRIES


def test_without_the_nonce_an_accepted_write_is_reported_as_not_run(fleet, monkeypatch):
    monkeypatch.setattr(configuration_head.Head, "remembers", lambda self, nonce: None)
    error = lose_an_answer_and_be_overtaken(fleet).failure()
    assert error.outcome is commands.Outcome.NOT_RUN


def test_write_whose_answer_stays_lost_is_unknown(fleet):
    fleet.faults[0].cut_answers = True
    assert isinstance(
        fleet.write(0, 1, wait_s=60).failure(), configuration_errors.StoreUnavailableError
    )
    fleet.faults[0].cut_answers = False
    fleet.faults[0].slow_s = 0.1
    outcomes = fleet.begin(0, 1)
    fleet.clock.advance(0.1)
    fleet.faults[0].cut_answers = True
    fleet.advance(60)
    error = outcomes[0].failure()
    assert isinstance(error, configuration_errors.UnsettledError)
    assert error.outcome is commands.Outcome.UNKNOWN


def test_same_records_twice_change_nothing(fleet):
    fleet.write(0, 1, expect=0)
    again = fleet.write(1, 1, expect=0)
    assert again.unwrap() == configuration.Written(generation=1, changed=False)
    assert fleet.in_force == [1] * ENTRIES


def apply_old_records_on_a_stale_store(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.write(0, 2, wait_s=10)
    fleet.gossiping[4] = False
    fleet.faults[4].stale_s = 15
    fleet.restart(4)
    return fleet.write(4, 1, wait_s=30)


def test_records_of_an_older_generation_are_not_taken_for_those_in_force(fleet):
    outcome = apply_old_records_on_a_stale_store(fleet)
    assert outcome == result.Success(configuration.Written(generation=3, changed=True))


def test_without_the_unchanged_swap_a_stale_read_passes_for_the_newest(fleet, monkeypatch):
    swap = configuration_writes.Write._swap

    async def unconfirmed(self, *, version, raw, written):
        if not written.changed:
            return result.Success(written)
        return await swap(self, version=version, raw=raw, written=written)

    monkeypatch.setattr(configuration_writes.Write, "_swap", unconfirmed)
    outcome = apply_old_records_on_a_stale_store(fleet)
    assert outcome == result.Success(configuration.Written(generation=1, changed=False))


def test_store_that_answers_from_its_past_is_shown(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.faults[0].stale_s = 40
    fleet.advance(35)
    assert "older than" in fleet.entries[0].faults[0].problem
    assert fleet.entries[0].age_s > 5


def test_invalid_records_are_not_written(fleet):
    swaps = fleet.engine.counts["swap"]
    outcome = fleet.write(0, "high")
    assert isinstance(outcome.failure(), configuration_errors.InvalidRecordsError)
    assert fleet.engine.counts["swap"] == swaps


def test_history_is_bounded_and_newest_first(fleet):
    for rank in range(configuration_head.HISTORY_LENGTH + 3):
        fleet.write(0, rank, wait_s=2)
    seen = []
    fleet.entries[1].history().addCallback(seen.append)
    generations = [past.generation for past in seen[0].unwrap()]
    assert len(generations) == configuration_head.HISTORY_LENGTH
    assert generations == sorted(generations, reverse=True)


def test_idle_entries_cost_two_store_calls_a_minute_each(fleet):
    before = fleet.engine.counts.total()
    fleet.advance(600)
    assert fleet.engine.counts.total() - before <= ENTRIES * 20


def test_close_ends_everything(fleet):
    outcomes = fleet.begin(0, 1)
    fleet.faults[1].silent = True
    open_write = fleet.begin(1, 2)
    for entry in fleet.entries:
        entry.close()
    assert outcomes[0].unwrap().generation == 1
    assert isinstance(open_write[0].failure(), configuration_errors.UnsettledError)
    assert fleet.entries[0].in_force.generation in (0, 1)


def heads():
    raw = configuration_head.encode(
        configuration_head.successor(
            former=None, records=b"[]", nonce="n", written_at_s=0.0, generation=3
        )
    )
    cut = st.integers(0, len(raw)).map(lambda size: raw[:size])
    flipped = st.tuples(st.integers(0, len(raw) - 1), st.binary(min_size=1, max_size=2)).map(
        lambda edit: raw[: edit[0]] + edit[1] + raw[edit[0] + len(edit[1]) :]
    )
    other = st.sampled_from([raw.replace(b'"format":1', b'"format":2'), b"[" * 99_999, b"\xff"])
    return cut | flipped | other | st.binary(max_size=60)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(raw=heads())
def test_any_head_is_taken_or_noted(raw):
    seen = []
    current = configuration_current.Current(clock=task.Clock(), on_change=seen.append)
    taken = current.take(raw, source="a peer")
    if isinstance(taken, result.Success):
        assert current.raw == raw
        assert seen == [in_force.InForce(generation=current.generation)]
    else:
        assert current.faults[0].remedy
        assert seen == []


FAULTS = ("down", "silent", "lose_answers", "cut_answers")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.integers(0, 5), st.integers(0, 9)),
        st.tuples(st.just("restart"), st.integers(0, 5), st.none()),
        st.tuples(st.just("stale"), st.integers(0, 5), st.sampled_from([0, 3, 30])),
        st.tuples(st.just("gossip"), st.integers(0, 5), st.booleans()),
        st.tuples(st.just("wait"), st.just(0), st.sampled_from([0.2, 1, 4, 40])),
        *(st.tuples(st.just(name), st.integers(0, 5), st.booleans()) for name in FAULTS),
    ),
    max_size=15,
)


def carry_out(fleet, step):
    name, index, value = step
    if name == "write":
        return [fleet.begin(index, value)]
    if name == "restart":
        fleet.restart(index)
    elif name == "gossip":
        fleet.gossiping[index] = value
    elif name == "stale":
        fleet.faults[index].stale_s = value
    elif name == "wait":
        fleet.advance(value)
    else:
        setattr(fleet.faults[index], name, value)
    return []


def heal(fleet):
    for faults in fleet.faults:
        faults.replace(fault_switches.Faults())
    fleet.gossiping = [True] * ENTRIES
    fleet.advance(30)


@settings(derandomize=True, deadline=None, max_examples=40)
@given(steps=STEPS)
def test_drawn_faults_lose_no_accepted_generation(steps):
    fleet = Fleet()
    outcomes = [outcome for step in steps for outcome in carry_out(fleet, step)]
    heal(fleet)
    assert len(set(fleet.in_force)) == 1
    changes = [o[0].unwrap() for o in outcomes if isinstance(o[0], result.Success)]
    made = [change.generation for change in changes if change.changed]
    assert len(made) == len(set(made))
    assert max(made, default=0) <= fleet.in_force[0]
    assert all(run == sorted(set(run)) for run in fleet.runs)
