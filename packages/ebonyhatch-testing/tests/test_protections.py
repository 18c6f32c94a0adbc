"""Each protection is necessary: the checker finds no violation with it, and one without it."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from ebonyhatch.core import capacity, commands, journal_entries
from ebonyhatch.node import (
    cell,
    configuration_current,
    confirmed_store,
    journal,
    journal_log,
    request_driver,
    task_reports,
    worker_link,
)
from ebonyhatch.ports import fault_switches, reservations, worker_engine
from ebonyhatch.testing import checker
from ebonyhatch.testing.histories import entry, fleet
from returns import result
from twisted.internet import defer


def joined(**options: Any) -> fleet.Fleet:
    run = fleet.Fleet(seed=1, **options)
    run.advance(12.0)
    return run


def owner_of_next_job(run: fleet.Fleet) -> entry.Entry:
    return next(
        member for member in run.running if member.home_cell(f"j{run.next_number}") in member.cells
    )


def frozen_while_its_intent_is_written(run: fleet.Fleet) -> entry.Entry:
    """Freezes the owner after its intent was sent and before it can start the attempt."""
    owner = owner_of_next_job(run)
    run.submit(run_s=30.0)
    run.advance(0.05)
    owner.store_port.write_response_delay_s = 1.0
    run.advance(0.5)
    owner.clock.freeze()
    return owner


def unfenced_owner_thaws_after_its_lease() -> fleet.Fleet:
    run = joined(fenced=False)
    run.advance(12.0)
    owner = frozen_while_its_intent_is_written(run)
    run.advance(28.0)
    run.clear_faults()
    owner.to_workers.delay_s = 0.3
    owner.clock.thaw()
    run.advance(2.0)
    return run


def start_arrives_late(*, fenced: bool) -> fleet.Fleet:
    run = joined(fenced=fenced)
    run.advance(12.0)
    owner = owner_of_next_job(run)
    run.submit(run_s=40.0)
    run.advance(0.15)
    owner.to_workers.delay_s = 9.0
    run.advance(0.4)
    run.kill(owner.entry_id)
    run.advance(30.0)
    return run


def start_arrives_late_at_a_fenced_worker() -> fleet.Fleet:
    return start_arrives_late(fenced=True)


def start_arrives_late_at_an_unfenced_worker() -> fleet.Fleet:
    return start_arrives_late(fenced=False)


def submission_reaches_a_superseded_owner() -> fleet.Fleet:
    run = joined()
    owner = owner_of_next_job(run)
    owner.clock.freeze()
    run.submit(entry_id=owner.entry_id)
    run.advance(10.0)
    owner.clock.thaw()
    return run


def answer_of_a_write_is_lost() -> fleet.Fleet:
    run = joined()
    owner = owner_of_next_job(run)
    run.submit(run_s=4.0)
    run.advance(1.0)
    owner.store_port.lose_write_responses = True
    run.advance(4.0)
    run.clear_faults()
    run.advance(5.0)
    return run


def owner_dies_and_successor_cannot_reach_the_worker() -> fleet.Fleet:
    run = joined()
    owner = owner_of_next_job(run)
    run.submit(run_s=40.0)
    run.advance(1.0)
    worker_id = next(name for name, engine in run.engines.items() if engine.running_task_ids)
    for other in run.running:
        if other is not owner:
            other.workers.faults(worker_id).silent = True
    run.kill(owner.entry_id)
    run.advance(16.0)
    return run


def owner_dies_before_the_end_of_a_job_is_durable() -> fleet.Fleet:
    run = joined()
    owner = owner_of_next_job(run)
    run.submit(run_s=3.0)
    run.advance(2.0)
    owner.store.faults.down = True
    run.advance(3.5)
    run.kill(owner.entry_id)
    run.advance(10.0)
    return run


def keyed_request_is_repeated_after_its_owner_died() -> fleet.Fleet:
    run = joined()
    run.request("e0", idempotent=False, key="k")
    run.advance(2.0)
    home = run.entries["e0"].home_cell("k")
    run.kill(run.entries["e0"].owner_of(home))
    run.advance(12.0)
    run.request(run.running[0].entry_id, idempotent=False, key="k")
    run.advance(2.0)
    return run


def worker_leaves_under_load() -> fleet.Fleet:
    run = joined()
    run.leave("w-a0", sign="word")
    for _ in range(40):
        run.request("e0")
        run.advance(0.2)
    return run


def entry_stops_with_requests_in_progress() -> fleet.Fleet:
    run = joined()
    for _ in range(6):
        run.request("e0", work_s=1.0)
    run.advance(0.2)
    run.close("e0")
    run.advance(3.0)
    return run


def answers_break_off() -> fleet.Fleet:
    run = joined()
    for member in run.running:
        for worker_id in run.engines:
            member.workers.faults(worker_id).cut_answers = True
    for _ in range(6):
        run.request("e0", idempotent=False)
    run.advance(3.0)
    return run


def answers_are_exchanged() -> fleet.Fleet:
    run = joined()
    for member in run.running:
        member.workers_port.exchange_responses = True
    for _ in range(6):
        run.request("e0")
    run.advance(3.0)
    return run


def restarted_entry_reads_the_past() -> fleet.Fleet:
    run = joined()
    for weight in (1, 2):
        run.configure("e0", weight=weight)
        run.advance(6.0)
    run.kill("e1")
    past = fault_switches.Faults(slow_s=1.9, stale_s=run.now - 15.0)
    run.start("e1", store_faults=past)
    run.advance(6.0)
    return run


def more_work_than_trusting_workers_hold() -> fleet.Fleet:
    """Makes workers accept all work, so that only the scheduler enforces the limits."""
    run = joined()
    for engine in run.engines.values():
        engine._reservations.reserve = functools.partial(accept_anything, engine._reservations)
    for _ in range(30):
        run.submit(run_s=2.0)
    for _ in range(10):
        run.request("e0", work_s=1.0)
    run.advance(3.0)
    return run


def accept_anything(held: Any, *, holder: str, amount: Any, now: float) -> bool:
    held._amounts[holder] = amount
    held._highest = reservations._elementwise_max(held._highest, held.total)
    return True


def without_epoch_check(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(worker_engine.WorkerEngine, "_check_epoch", lambda self, epoch: None)


def without_lease_rule(patch: pytest.MonkeyPatch) -> None:
    """Removes the lease check, and the age limit of worker reports.

    An owner whose lease has lapsed would stop most actions because of outdated reports, which
    would hide the missing lease check; so reports of any age count as current.
    """
    patch.setattr(cell.Cell, "_may_act", lambda self: True)
    patch.setattr(worker_link, "FRESH_S", float("inf"))


def without_wait_for_task_leases(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(cell, "UNFENCED_WAIT_S", 0.0)


def without_seal(patch: pytest.MonkeyPatch) -> None:
    async def read_to_end(self: Any, *, after: int, nonce: str) -> Any:
        entries: list[Any] = []
        seq = after + 1
        while True:
            stored = await self._calls.read(journal_log.slot_key(self._cell, seq))
            slot = self._decode(stored, seq=seq)
            if slot is None:
                return seq - 1, entries
            entries.extend(slot.entries)
            seq += 1

    patch.setattr(journal_log.JournalLog, "read_to_end", read_to_end)


def without_nonce(patch: pytest.MonkeyPatch) -> None:
    async def settle(self: Any, key: str, *, value: bytes, at_least: int) -> Any:
        return confirmed_store.Superseded(stored=await self.read(key, at_least=at_least))

    patch.setattr(confirmed_store.ConfirmedStore, "_settle", settle)


def unwritten(kind: type) -> Callable[[pytest.MonkeyPatch], None]:
    def remove(patch: pytest.MonkeyPatch) -> None:
        append = journal.Journal.append

        def skip(self: Any, entry: Any, *, droppable: bool = False) -> Any:
            if not isinstance(entry, kind):
                return append(self, entry, droppable=droppable)
            self.state.apply(entry)
            written: defer.Deferred[Any] = defer.Deferred()
            self._clock.callLater(0.1, written.callback, result.Success(None))
            return written

        patch.setattr(journal.Journal, "append", skip)

    return remove


def acknowledged_before_the_journal(patch: pytest.MonkeyPatch) -> None:
    end = task_reports.TaskReports._end

    def forget_first(self: Any, link: Any, row: Any, task: Any) -> None:
        link.acknowledge(task.task_id)
        end(self, link, row, task)

    patch.setattr(task_reports.TaskReports, "_end", forget_first)


def without_leaving(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(worker_link.WorkerLink, "leaving", property(lambda self: False))


def without_drain(patch: pytest.MonkeyPatch) -> None:
    async def skip(self: Any) -> None:
        return None

    patch.setattr(cell.Cell, "_drain", skip)


def without_outcome_tracking(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(request_driver.InFlight, "truth", property(lambda self: commands.Outcome.NOT_RUN))


def without_answer_ids(patch: pytest.MonkeyPatch) -> None:
    original = request_driver.RequestDriver._take_answer

    def readdress(self: Any, flight: Any, answer: Any, link: Any, sent_at: float) -> None:
        request_id = flight.call.request.request_id
        answer = msgspec.structs.replace(answer, request_id=request_id)
        original(self, flight, answer, link, sent_at)

    patch.setattr(request_driver.RequestDriver, "_take_answer", readdress)


def without_generation_check(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(configuration_current.Current, "_is_newer", lambda self, head: True)


def without_capacity(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(capacity, "reserve", lambda worker, demand: None)


@dataclasses.dataclass(kw_only=True)
class Case:
    line: str
    scenario: Callable[[], fleet.Fleet]
    remove: Callable[[pytest.MonkeyPatch], None]


CASES = [
    Case(
        line="one-place",
        scenario=start_arrives_late_at_a_fenced_worker,
        remove=without_epoch_check,
    ),
    Case(
        line="one-place",
        scenario=unfenced_owner_thaws_after_its_lease,
        remove=without_lease_rule,
    ),
    Case(
        line="one-place",
        scenario=start_arrives_late_at_an_unfenced_worker,
        remove=without_wait_for_task_leases,
    ),
    Case(
        line="one-place",
        scenario=owner_dies_and_successor_cannot_reach_the_worker,
        remove=unwritten(journal_entries.AttemptIntended),
    ),
    Case(
        line="resumes-once",
        scenario=submission_reaches_a_superseded_owner,
        remove=without_seal,
    ),
    Case(
        line="resumes-once",
        scenario=answer_of_a_write_is_lost,
        remove=without_nonce,
    ),
    Case(
        line="resumes-once",
        scenario=owner_dies_before_the_end_of_a_job_is_durable,
        remove=acknowledged_before_the_journal,
    ),
    Case(
        line="at-most-once",
        scenario=keyed_request_is_repeated_after_its_owner_died,
        remove=unwritten(journal_entries.KeyIntended),
    ),
    Case(line="leaving", scenario=worker_leaves_under_load, remove=without_leaving),
    Case(
        line="graceful-stop",
        scenario=entry_stops_with_requests_in_progress,
        remove=without_drain,
    ),
    Case(line="not-run", scenario=answers_break_off, remove=without_outcome_tracking),
    Case(line="own-answer", scenario=answers_are_exchanged, remove=without_answer_ids),
    Case(
        line="configuration",
        scenario=restarted_entry_reads_the_past,
        remove=without_generation_check,
    ),
    Case(line="capacity", scenario=more_work_than_trusting_workers_hold, remove=without_capacity),
]


def case_id(case: Case) -> str:
    return f"{case.line}-{case.scenario.__name__}"


@pytest.mark.parametrize("case", CASES, ids=case_id)
def test_line_holds_with_the_protection(case: Case) -> None:
    assert checker.check(case.scenario().finish(quiet_s=70.0)) == []


@pytest.mark.parametrize("case", CASES, ids=case_id)
def test_line_breaks_without_the_protection(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    case.remove(monkeypatch)
    broken = {found.line for found in checker.check(case.scenario().finish(quiet_s=70.0))}
    assert case.line in broken
