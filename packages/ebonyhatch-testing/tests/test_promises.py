"""One scenario for each line, a property that always holds."""

from __future__ import annotations

import functools
from typing import Any

import pytest
from ebonyhatch.ports import fault_switches, reservations
from ebonyhatch.testing import checker, history
from ebonyhatch.testing.histories import fleet
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("features/promises.feature")

QUIET_S = 70.0


@pytest.fixture(name="run")
def joined_fleet() -> fleet.Fleet:
    run = fleet.Fleet(seed=1)
    run.advance(12.0)
    return run


@pytest.fixture(name="ended")
def ended_run(run: fleet.Fleet) -> functools.partial[history.History]:
    """Returns a function that ends the run once and returns its history on every call."""

    @functools.cache
    def end() -> history.History:
        return run.finish(quiet_s=QUIET_S)

    return functools.partial(end)


def accept_anything(held: Any, *, holder: str, amount: Any, now: float) -> bool:
    held._amounts[holder] = amount
    held._highest = reservations._elementwise_max(held._highest, held.total)
    return True


@given("three entries and six workers")
def three_entries(run: fleet.Fleet) -> None:
    assert (len(run.entries), len(run.engines)) == (3, 6)


@given("workers that take whatever they are given")
def trusting_workers(run: fleet.Fleet) -> None:
    for engine in run.engines.values():
        engine._reservations.reserve = functools.partial(accept_anything, engine._reservations)


@given("messages that travel late, out of order and twice")
def unordered_messages(run: fleet.Fleet) -> None:
    run.callers.repeat_messages = True
    for member in run.entries.values():
        member.to_workers.jitter_s = 0.5
        member.to_workers.repeat_fraction = 0.5


@given("a worker whose answers break off")
def broken_answers(run: fleet.Fleet) -> None:
    for member in run.entries.values():
        member.workers.faults("w-a0").cut_answers = True


@given("a store that is down")
def store_down(run: fleet.Fleet) -> None:
    for member in run.entries.values():
        member.store.faults.down = True
    run.advance(10.0)


@given("the watch of one entry is silent")
def silent_watch(run: fleet.Fleet) -> None:
    run.entries["e2"].store_port.watch_silent = True


@when(parsers.parse("{count:d} jobs of {seconds:g} seconds are submitted"))
def submit_jobs(run: fleet.Fleet, count: int, seconds: float) -> None:
    for _ in range(count):
        run.submit(run_s=seconds)
    run.advance(3.0)


@when(parsers.re(r"(?P<count>\d+) requests of (?P<seconds>[\d.]+) seconds? arrive$"))
def send_requests(run: fleet.Fleet, count: str, seconds: str) -> None:
    for number in range(int(count)):
        run.request(f"e{number % 3}", work_s=float(seconds), timeout_s=3.0)
        run.advance(0.05)


@when(parsers.parse("{count:d} requests of {seconds:g} seconds arrive over {span:g} seconds"))
def send_requests_over(run: fleet.Fleet, count: int, seconds: float, span: float) -> None:
    for number in range(count):
        run.request(f"e{number % 3}", work_s=seconds)
        run.advance(span / count)


@when(parsers.parse("{count:d} charges with a key arrive"))
def send_charges(run: fleet.Fleet, count: int) -> None:
    for number in range(count):
        run.request(f"e{number % 3}", idempotent=False, key=f"k{number}")
        run.advance(0.1)
    run.advance(3.0)


@when("an entry is frozen past its lease and goes on")
def freeze_one(run: fleet.Fleet) -> None:
    run.entries["e1"].clock.freeze()
    run.advance(12.0)
    run.entries["e1"].clock.thaw()


@when("running work is evicted")
def evict(run: fleet.Fleet) -> None:
    for evicting_scheduler in run.entries["e0"].schedulers.values():
        evicting_scheduler.evict(count=3)
    run.advance(0.4)


@when("the entry that evicted it dies")
def kill_evictor(run: fleet.Fleet) -> None:
    run.kill("e0")
    run.advance(10.0)


@when("the store comes back")
def store_back(run: fleet.Fleet) -> None:
    run.clear_faults()
    run.advance(10.0)


@when("a charge with a key is answered")
def charge(run: fleet.Fleet) -> None:
    run.request("e0", idempotent=False, key="k")
    run.advance(2.0)


@when("the owner of the key's cell dies")
def kill_owner(run: fleet.Fleet) -> None:
    member = run.entries["e0"]
    run.kill(member.owner_of(member.home_cell("k")))
    run.advance(10.0)


@when("the same charge is repeated at every entry")
def repeat_charge(run: fleet.Fleet) -> None:
    for member in run.running:
        run.request(member.entry_id, idempotent=False, key="k")
        run.advance(2.0)


@when(parsers.parse('a worker gives the sign "{sign}"'))
def leave(run: fleet.Fleet, sign: str) -> None:
    run.leave("w-a0", sign=sign)


@when("an entry is stopped as planned")
def stop(run: fleet.Fleet) -> None:
    run.close("e0")
    run.advance(8.0)


@when("an operator writes a configuration")
def configure(run: fleet.Fleet) -> None:
    for weight in (1, 2):
        run.configure("e0", weight=weight)
        run.advance(8.0)


@when("an entry restarts with a store that answers from its past")
def restart_in_the_past(run: fleet.Fleet) -> None:
    run.kill("e1")
    past = fault_switches.Faults(slow_s=1.9, stale_s=run.now - 15.0)
    run.start("e1", store_faults=past)
    run.advance(8.0)


@then(parsers.parse('the line "{line}" holds'))
def line_holds(ended: functools.partial[history.History], line: str) -> None:
    assert line in checker.lines()
    assert [found for found in checker.check(ended()) if found.line == line] == []


@then("every accepted job has ended")
def jobs_ended(ended: functools.partial[history.History]) -> None:
    outcomes = ended().of(history.SubmissionOutcome)
    assert outcomes and all(record.accepted for record in outcomes)
    last = {record.job_id: record.state for record in ended().of(history.JobObserved)}
    assert set(last.values()) <= checker.ENDED_STATES


@then(parsers.parse('every caller was told "{told}"'))
def all_told(ended: functools.partial[history.History], told: str) -> None:
    records = ended().of(history.RequestOutcome) + ended().of(history.SubmissionOutcome)
    assert {record.told.value for record in records} == {told}


@then("the charge ran once")
def ran_once(ended: functools.partial[history.History]) -> None:
    assert len(ended().of(history.RequestRan)) == 1


@then("every entry has the newest configuration")
def all_newest(run: fleet.Fleet, ended: functools.partial[history.History]) -> None:
    newest = max(record.generation for record in ended().of(history.ConfigurationAccepted))
    assert {member.configuration.generation for member in run.running} == {newest}
