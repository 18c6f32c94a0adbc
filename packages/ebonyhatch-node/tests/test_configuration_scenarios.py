import pytest
from ebonyhatch.core import commands
from ebonyhatch.testing import configuration_fleet
from pytest_bdd import given, parsers, scenarios, then, when
from returns import result

SLOW_CALL_S = 0.5

scenarios("features/configuration.feature")


@pytest.fixture
def outcomes():
    return []


@given("six entries with generation 2 in force", target_fixture="fleet")
def two_generations():
    fleet = configuration_fleet.ConfigurationFleet()
    fleet.write(0, 1, wait_s=10)
    fleet.write(0, 2, wait_s=10)
    assert fleet.in_force == [2] * configuration_fleet.ENTRIES
    return fleet


@given(parsers.parse("the store never answers entry {index:d}"))
def unresponsive(fleet, index):
    fleet.faults[index].silent = True
    fleet.advance(40)


@given(parsers.parse("the store answers entry {index:d} with what it held {age_s:d} seconds ago"))
def stale(fleet, index, age_s):
    fleet.faults[index].stale_s = age_s


@given("the store is down")
def down(fleet):
    for faults in fleet.faults:
        faults.down = True


@given("the store takes half a second for each call")
def slow(fleet):
    for faults in fleet.faults:
        faults.slow_s = SLOW_CALL_S


@given("the answer to a write through entry 0 is lost")
def lost(fleet, outcomes):
    fleet.faults[0].slow_s = 0.1
    outcomes.append(fleet.begin(0, 3))
    fleet.clock.advance(0.1)
    fleet.faults[0].lose_answers = True
    fleet.advance(1)


@when(parsers.parse("an operator applies records through entry {index:d}"))
@when(parsers.parse("another operator applies records through entry {index:d}"))
def apply(fleet, index):
    fleet.begin(index, 9)


@when(parsers.parse("entry {index:d} is replaced by a fresh one"))
def replace(fleet, index):
    fleet.restart(index)


@when("two operators apply different records on top of generation 2")
def race(fleet, outcomes):
    outcomes.extend([fleet.begin(0, 7, expect=2), fleet.begin(1, 8, expect=2)])
    fleet.advance(4 * SLOW_CALL_S)


@then(parsers.parse("generation {generation:d} is in force on every entry within 5 seconds"))
def in_force(fleet, generation):
    fleet.advance(configuration_fleet.IN_FORCE_S)
    assert fleet.in_force == [generation] * configuration_fleet.ENTRIES


@then("no entry has reverted")
def not_reverted(fleet):
    fleet.heal()
    assert fleet.reverted == []


@then("one of them is told that generation 3 was accepted")
def one_accepted(outcomes):
    accepted = [outcome for (outcome,) in outcomes if isinstance(outcome, result.Success)]
    assert [outcome.unwrap().generation for outcome in accepted] == [3]


@then("the other is told that generation 3 is in force and nothing of theirs was run")
def other_refused(outcomes):
    (error,) = (
        outcome.failure() for (outcome,) in outcomes if not isinstance(outcome, result.Success)
    )
    assert (error.generation, error.outcome) == (3, commands.Outcome.NOT_RUN)


@then("the first operator is told that generation 3 was accepted")
def first_accepted(fleet, outcomes):
    fleet.faults[0].lose_answers = False
    fleet.advance(configuration_fleet.STABILIZE_S)
    assert outcomes[0][0].unwrap().generation == 3
