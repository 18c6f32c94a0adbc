import pytest
from ebonyhatch.core import commands
from ebonyhatch.node import (
    configuration,
    configuration_errors,
    configuration_head,
    configuration_writes,
)
from ebonyhatch.testing import configuration_fleet
from returns import result


@pytest.fixture
def fleet():
    return configuration_fleet.ConfigurationFleet()


def race(fleet):
    fleet.write(0, 1, wait_s=10)
    for faults in fleet.faults[:2]:
        faults.slow_s = 0.5
    outcomes = [fleet.begin(0, 7, expect=1), fleet.begin(1, 8, expect=1)]
    fleet.advance(30)
    return [outcome[0] for outcome in outcomes]


def test_concurrent_writes_end_in_a_conflict_that_names_the_newer_generation(fleet):
    first, second = race(fleet)
    assert first.unwrap().generation == 2
    error = second.failure()
    assert (error.expected, error.generation, error.outcome) == (1, 2, commands.Outcome.NOT_RUN)
    assert "changed priority/top@1" in str(error)


def test_without_the_expectation_a_race_overwrites_silently(fleet, monkeypatch):
    monkeypatch.setattr(configuration_writes.Write, "_meets_expectation", lambda self, _: True)
    assert [outcome.unwrap().generation for outcome in race(fleet)] == [2, 3]


def lose_answer_and_be_superseded(fleet):
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


def test_lost_answer_is_resolved_even_when_the_write_was_superseded(fleet):
    assert lose_answer_and_be_superseded(fleet).unwrap().generation == 2
    assert fleet.in_force == [3] * configuration_fleet.ENTRIES


def test_without_the_nonce_an_accepted_write_is_reported_as_not_run(fleet, monkeypatch):
    monkeypatch.setattr(configuration_head.Head, "generation_of_nonce", lambda self, nonce: None)
    error = lose_answer_and_be_superseded(fleet).failure()
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
    assert fleet.in_force == [1] * configuration_fleet.ENTRIES


def apply_old_records_on_a_stale_store(fleet):
    fleet.write(0, 1, wait_s=10)
    fleet.write(0, 2, wait_s=10)
    fleet.gossiping[4] = False
    fleet.faults[4].stale_s = 15
    fleet.restart(4)
    return fleet.write(4, 1, wait_s=30)


def test_records_of_an_older_generation_are_not_treated_as_in_force(fleet):
    outcome = apply_old_records_on_a_stale_store(fleet)
    assert outcome == result.Success(configuration.Written(generation=3, changed=True))


def test_without_the_unchanged_swap_a_stale_read_is_treated_as_newest(fleet, monkeypatch):
    swap = configuration_writes.Write._swap

    async def unconfirmed(self, *, version, raw, written):
        if not written.changed:
            return result.Success(written)
        return await swap(self, version=version, raw=raw, written=written)

    monkeypatch.setattr(configuration_writes.Write, "_swap", unconfirmed)
    outcome = apply_old_records_on_a_stale_store(fleet)
    assert outcome == result.Success(configuration.Written(generation=1, changed=False))


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
