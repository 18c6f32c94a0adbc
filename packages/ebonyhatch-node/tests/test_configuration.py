import pytest
from ebonyhatch.node import (
    configuration,
    configuration_current,
    configuration_errors,
    configuration_head,
)
from ebonyhatch.ports import fault_switches
from ebonyhatch.testing import checker, configuration_fleet
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from returns import result


@pytest.fixture
def fleet():
    return configuration_fleet.ConfigurationFleet()


def test_accepted_records_are_in_force_everywhere_within_five_seconds(fleet):
    assert fleet.write(0, 1, wait_s=0.1) == result.Success(
        configuration.Written(generation=1, changed=True)
    )
    fleet.advance(configuration_fleet.IN_FORCE_S)
    assert fleet.in_force == [1] * configuration_fleet.ENTRIES


def make_one_watch_unresponsive(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.faults[3].silent = True
    fleet.advance(40)
    fleet.write(0, 2, wait_s=configuration_fleet.IN_FORCE_S)
    in_force = fleet.in_force
    fleet.advance(5)
    return in_force


def test_peers_compensate_for_an_unresponsive_watch(fleet):
    assert make_one_watch_unresponsive(fleet) == [2] * configuration_fleet.ENTRIES
    assert checker.check(fleet.history) == []


def test_without_heads_from_peers_an_unresponsive_watch_misses_the_change(fleet, monkeypatch):
    monkeypatch.setattr(configuration.Configuration, "offer", lambda self, **known: None)
    assert make_one_watch_unresponsive(fleet) == [2, 2, 2, 1, 2, 2]
    assert {found.line for found in checker.check(fleet.history)} == {"configuration"}


def test_generation_reported_without_head_is_read_again(fleet):
    fleet.gossiping[3] = False
    fleet.faults[3].silent = True
    fleet.advance(1)
    fleet.write(0, 1, wait_s=2)
    fleet.faults[3].silent = False
    fleet.entries[3].offer(generation=1, head=b"")
    fleet.advance(0.1)
    assert fleet.in_force == [1] * configuration_fleet.ENTRIES


def read_outdated_versions(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.write(0, 2, wait_s=10)
    older = fleet.head(age_s=15)
    fleet.gossiping[2] = False
    fleet.faults[2].stale_s = 15
    fleet.entries[2].history()
    fleet.entries[2].offer(generation=9, head=older)
    fleet.advance(3)
    return fleet.reverted


def test_outdated_reads_and_older_peers_revert_nothing(fleet):
    assert read_outdated_versions(fleet) == []
    assert checker.check(fleet.history) == []
    fleet.advance(10)
    assert fleet.in_force == [2] * configuration_fleet.ENTRIES


def test_without_the_generation_check_an_outdated_read_reverts(fleet, monkeypatch):
    monkeypatch.setattr(configuration_current.Current, "_is_newer", lambda self, head: True)
    assert read_outdated_versions(fleet) != []
    assert {found.line for found in checker.check(fleet.history)} == {"configuration"}


def restart_on_a_stale_store(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.write(0, 2, wait_s=10)
    fleet.faults[4].stale_s = 15
    fleet.restart(4)
    fleet.advance(6)
    return fleet.reverted


def test_restart_on_a_stale_store_receives_the_newest_from_peers(fleet):
    assert restart_on_a_stale_store(fleet) == []
    assert checker.check(fleet.history) == []
    assert fleet.in_force == [2] * configuration_fleet.ENTRIES


def test_without_waiting_for_peers_a_restart_reverts(fleet, monkeypatch):
    monkeypatch.setattr(configuration, "PEER_WAIT_S", 0.0)
    assert restart_on_a_stale_store(fleet) != []
    assert {found.line for found in checker.check(fleet.history)} == {"configuration"}


def test_newly_started_entry_receives_configuration_from_peers_during_an_outage(fleet):
    fleet.write(0, 1, wait_s=10)
    for faults in fleet.faults:
        faults.down = True
    fleet.restart(5)
    fleet.advance(3)
    assert fleet.in_force == [1] * configuration_fleet.ENTRIES
    assert "does not answer" in fleet.entries[5].faults[0].problem
    error = fleet.write(5, 2, wait_s=60).failure()
    assert isinstance(error, configuration_errors.StoreUnavailableError)


def test_store_that_returns_an_outdated_version_is_reported(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.faults[0].stale_s = 40
    fleet.advance(35)
    assert "older than" in fleet.entries[0].faults[0].problem
    assert fleet.entries[0].age_s > 5


@pytest.mark.parametrize(
    ("damage", "kind"),
    [
        (lambda head: head[:-9], configuration_errors.CorruptHeadError),
        (
            lambda head: head.replace(b'"rank":1', b'"rank":7'),
            configuration_errors.CorruptHeadError,
        ),
        (lambda head: b"", configuration_errors.CorruptHeadError),
        (
            lambda head: head.replace(b'"format":1', b'"format":2'),
            configuration_errors.NewerFormatError,
        ),
    ],
)
def test_head_that_cannot_be_read_changes_nothing_and_is_not_overwritten(fleet, damage, kind):
    fleet.write(0, 1, wait_s=10)
    good = fleet.head(age_s=0)
    fleet.put_head(damage(good))
    fleet.advance(40)
    fleet.restart(3)
    fleet.advance(10)
    assert fleet.in_force == [1] * configuration_fleet.ENTRIES
    assert "configuration" in fleet.entries[3].faults[0].problem
    assert isinstance(fleet.write(0, 2, wait_s=60).failure(), kind)
    fleet.put_head(good)
    assert fleet.write(3, 2).unwrap().generation == 2
    assert fleet.in_force == [2] * configuration_fleet.ENTRIES


def test_idle_entries_cost_two_store_calls_a_minute_each(fleet):
    before = fleet.engine.counts.total()
    fleet.advance(600)
    assert fleet.engine.counts.total() - before <= configuration_fleet.ENTRIES * 20


def test_close_ends_everything(fleet):
    outcomes = fleet.begin(0, 1)
    fleet.faults[1].silent = True
    open_write = fleet.begin(1, 2)
    for entry in fleet.entries:
        entry.close()
    assert outcomes[0].unwrap().generation == 1
    assert isinstance(open_write[0].failure(), configuration_errors.UnsettledError)
    assert fleet.entries[0].in_force.generation in (0, 1)


ENTRY = st.integers(0, configuration_fleet.ENTRIES - 1)
FAULTS = st.sampled_from(
    [
        {},
        {"down": True},
        {"silent": True},
        {"lose_answers": True},
        {"cut_answers": True},
        {"slow_s": 0.5},
        {"stale_s": 8.0},
        {"stale_s": 45.0},
    ]
)
ROUNDS = st.lists(
    st.fixed_dictionaries(
        {
            "faults": st.dictionaries(ENTRY, FAULTS, max_size=4),
            "silent_peers": st.sets(ENTRY, max_size=2),
            "restart": st.none() | ENTRY,
            "look": st.none() | ENTRY,
            "write": ENTRY,
            "loses_answer": st.booleans(),
            "wait_s": st.sampled_from([0.3, 3, 8, 8, 40]),
        }
    ),
    min_size=2,
    max_size=6,
)


def begin(fleet, number, generated):
    """Starts a write; if its answer is lost, the read is answered but not the swap."""
    if not generated["loses_answer"]:
        return fleet.begin(generated["write"], number)
    faults = fleet.faults[generated["write"]]
    faults.slow_s = 0.5
    outcomes = fleet.begin(generated["write"], number)
    fleet.advance(0.7)
    faults.lose_answers = True
    return outcomes


def carry_out(fleet, rounds):
    """Starts one write per round under the faults generated for it; returns the outcomes."""
    outcomes = []
    for number, generated in enumerate(rounds):
        for index, faults in enumerate(fleet.faults):
            chosen = fault_switches.Faults(**generated["faults"].get(index, {}))
            faults.replace(chosen)
            fleet.gossiping[index] = index not in generated["silent_peers"]
        if generated["restart"] is not None:
            fleet.restart(generated["restart"])
        outcomes.append(begin(fleet, number, generated))
        fleet.advance(generated["wait_s"])
        if generated["look"] is not None:
            fleet.entries[generated["look"]].history()
    fleet.heal()
    return outcomes


def judge_drawn(rounds):
    fleet = configuration_fleet.ConfigurationFleet()
    outcomes = carry_out(fleet, rounds)
    assert len(set(fleet.in_force)) == 1
    changes = [o[0].unwrap() for o in outcomes if isinstance(o[0], result.Success)]
    made = [change.generation for change in changes if change.changed]
    assert len(made) == len(set(made))
    assert max(made, default=0) <= fleet.in_force[0]
    assert all(run == sorted(set(run)) for run in fleet.runs)
    for number, (told,) in enumerate(outcomes):
        if not isinstance(told, result.Success) and told.failure().outcome == "not-run":
            assert not fleet.was_written(number)
    assert checker.check(fleet.history) == []


@settings(derandomize=True, deadline=None, max_examples=60)
@given(rounds=ROUNDS)
def test_drawn_faults_lose_no_accepted_generation(rounds):
    judge_drawn(rounds)


@pytest.mark.parametrize(
    ("owner", "name", "removed"),
    [
        (configuration_current.Current, "_is_newer", lambda self, head: True),
        (configuration, "PEER_WAIT_S", 0.0),
        (configuration.Configuration, "offer", lambda self, **known: None),
        (configuration_head.Head, "generation_of_nonce", lambda self, nonce: None),
    ],
    ids=["generation", "wait-for-peers", "heads-from-peers", "nonce"],
)
def test_randomized_faults_detect_each_removed_protection(monkeypatch, owner, name, removed):
    monkeypatch.setattr(owner, name, removed)
    randomized = settings(
        derandomize=True, deadline=None, max_examples=300, phases=[Phase.generate]
    )
    with pytest.raises(AssertionError):
        randomized(given(rounds=ROUNDS)(judge_drawn))()
