from __future__ import annotations

import lasting_case
import msgspec
import pytest
import world as world_module
from ebonyhatch.fleet import (
    clocks,
    entry,
    jobs,
    keys,
    memory_targets,
    ownership,
    rows,
    silent_targets,
    store,
    target_session,
    targets,
)
from ebonyhatch.fleet.takeover import lost_targets
from returns import result
from twisted.internet import task

EXPIRY_S = target_session.lease_expiry_s(world_module.LEASE_S)
RECOVERY_S = 2.0
"""Time that a slow recovery takes at least, seconds."""

STORED_S = 1.2
"""Time after the beginning of a term within which a target that doesn't answer is marked, seconds."""

SLOW_WRITE_S = 0.6
"""Duration of a write that a test delays, seconds."""


class Case(lasting_case.LastingCase):
    """A fleet with a long-running task, and the marks in its store."""

    def __init__(self, *, entries: int = 5, target_count: int = 4) -> None:
        super().__init__(entries=entries, target_count=target_count)

    @property
    def record(self) -> silent_targets.Marks | None:
        """The stored record; None if there is none."""
        item = self.world.store.items.get(keys.SILENT_TARGETS)
        return None if item is None else msgspec.json.decode(item.value, type=silent_targets.Marks)

    @property
    def marked(self) -> bool:
        """Whether the target has a mark that counts for the next owner."""
        head = msgspec.json.decode(self.world.store.items[keys.HEAD].value, type=ownership.Head)
        record = self.record
        return record is not None and record.term == head.term and self.name in record.since

    @property
    def renewed_until_s(self) -> float:
        """End of the target's lease, seconds on its clock."""
        return self.engine._lease_expires_s

    def cut_off(self) -> None:
        """Cuts the target off, whose run goes on, and makes a new owner mark it."""
        self.engine.faults.partitioned = True
        self.replace_owner()
        self.world.run_until(lambda: self.marked, limit_s=STORED_S)

    def check_one_run_at_a_time(self) -> None:
        """Waits for the second start and checks that the first run has ended before."""
        self.world.run_until(lambda: len(self.starts) == 2)
        self.world.run(1.0)
        world_module.check_all(self.world)


def _slow_recovery(member: world_module.Member) -> None:
    list_page = member.store.list_page

    async def delayed(**arguments):
        page = await list_page(**arguments)
        if arguments["prefix"] == keys.INTAKE:
            await task.deferLater(member.clocks.loop, RECOVERY_S)
        return page

    member.store.list_page = delayed


def _refuse_commits(member: world_module.Member, *, key: str = keys.HEAD) -> None:
    """Lets the member's writes of a key fail; its lease stays valid."""
    commit = member.store.commit

    async def refused(**arguments):
        if key in {put.key for put in arguments.get("puts", ())}:
            return result.Failure(store.NotDoneError(call="commit", reason="refused"))
        return await commit(**arguments)

    member.store.commit = refused


def _delay_marks(member: world_module.Member) -> list[float]:
    """Delays the member's writes of marks on their way; returns the times of their sending."""
    commit = member.store.commit
    sent: list[float] = []

    async def delayed(**arguments):
        if keys.SILENT_TARGETS in {put.key for put in arguments.get("puts", ())}:
            sent.append(member.clocks.now())
            await task.deferLater(member.clocks.loop, SLOW_WRITE_S)
        return await commit(**arguments)

    member.store.commit = delayed
    return sent


def test_mark_holds_through_terms_that_end_before_their_recovery():
    """Guards against a chain of marks that each short term breaks, so that no wait ever ends."""
    case = Case()
    case.cut_off()
    for member in case.world.members.values():
        _slow_recovery(member)
    for _ in range(2):
        owner = case.replace_owner()
        case.world.run(1.0)
        assert not owner.node.owner.recovered and case.marked
    case.replace_owner()
    case.wait_for_recovery()
    case.world.run_until(lambda: len(case.starts) == 2, limit_s=STORED_S)
    world_module.check_all(case.world)


def test_run_on_a_target_that_was_cut_off_is_kept_if_a_later_owner_reaches_it_in_time():
    """Guards against leases that end on targets whose mark a later owner doesn't remove."""
    case = Case()
    case.cut_off()
    case.replace_owner()
    case.engine.faults.partitioned = False
    case.world.run_until(lambda: not case.marked, limit_s=2.0)
    case.world.run(2 * EXPIRY_S)
    assert len(case.starts) == 1 and len(case.engine.runs) == 1
    world_module.check_all(case.world)


def test_owner_that_has_not_recovered_keeps_the_run_on_a_target_that_it_hears_from():
    """Guards against leases that end in a slow recovery as the mark can't be removed before."""
    case = Case()
    case.cut_off()
    for member in case.world.members.values():
        _slow_recovery(member)
    owner = case.replace_owner()
    case.engine.faults.partitioned = False
    before = case.renewed_until_s
    case.world.run_until(lambda: case.renewed_until_s > before, limit_s=RECOVERY_S)
    assert not owner.node.owner.recovered and not case.marked
    case.world.run(2 * EXPIRY_S)
    assert len(case.starts) == 1
    world_module.check_all(case.world)


def test_lease_is_not_renewed_before_a_record_without_the_mark_is_durable():
    """Guards against a second run: the next owner counts the lease from the mark's term on."""
    case = Case()
    case.cut_off()
    owner = case.replace_owner()
    case.wait_for_recovery()
    commit = owner.store.commit
    _refuse_commits(owner)
    before = case.renewed_until_s
    case.engine.faults.partitioned = False
    case.world.run(1.0)
    assert case.engine.fence == owner.node.owner.term, "the owner has heard from the target"
    assert case.marked and case.renewed_until_s == before
    owner.store.commit = commit
    case.world.run_until(lambda: not case.marked, limit_s=2.0)
    assert case.renewed_until_s == before
    case.world.run_until(lambda: case.renewed_until_s > before, limit_s=2.0)


def test_task_runs_once_although_an_owner_heard_from_its_target_and_could_not_remove_the_mark():
    """Guards against a second run while the first has a lease of an owner that came too late."""
    case = Case()
    case.cut_off()
    owner = case.replace_owner()
    case.wait_for_recovery()
    _refuse_commits(owner)
    case.engine.faults.partitioned = False
    case.world.run(1.5)
    case.engine.faults.partitioned = True
    case.replace_owner()
    case.check_one_run_at_a_time()


@pytest.mark.parametrize("heard_after_s", [0.05, 0.3, 0.55, 0.7])
def test_lease_is_not_renewed_while_the_write_of_its_mark_is_on_its_way(heard_after_s):
    """Guards against a first renewal that crosses the write of the mark."""
    case = Case()
    sent = {name: _delay_marks(member) for name, member in case.world.members.items()}
    case.engine.faults.partitioned = True
    owner = case.replace_owner()
    case.world.run_until(lambda: sent[owner.name], limit_s=STORED_S)
    before = case.renewed_until_s
    case.world.run(heard_after_s)
    case.engine.faults.partitioned = False
    while not (case.record is not None and len(sent[owner.name]) > 1 and not case.marked):
        assert case.renewed_until_s == before
        case.world.run(0.005)
        assert case.world.clock.seconds() - sent[owner.name][0] < 4.0
    case.world.run_until(lambda: case.renewed_until_s > before, limit_s=2.0)
    case.world.run(EXPIRY_S)
    assert len(case.starts) == 1
    world_module.check_all(case.world)


def test_task_runs_once_if_the_owner_ends_between_the_mark_and_its_removal():
    """Guards against a second run after the removal of a mark that never became durable."""
    case = Case()
    sent = {name: _delay_marks(member) for name, member in case.world.members.items()}
    case.engine.faults.partitioned = True
    owner = case.replace_owner()
    case.world.run_until(lambda: sent[owner.name], limit_s=STORED_S)
    case.engine.faults.partitioned = False
    case.world.run_until(lambda: case.marked, limit_s=1.0)
    case.engine.faults.partitioned = True
    case.replace_owner()
    case.check_one_run_at_a_time()


def test_no_run_is_ordered_on_a_target_while_its_mark_is_stored():
    """Guards against runs that the next owner takes as ended from the start, as their target is marked."""
    case = Case(target_count=2)
    case.cut_off()
    owner = case.replace_owner()
    case.wait_for_recovery()
    _refuse_commits(owner, key=keys.SILENT_TARGETS)
    (other,) = (engine for name, engine in case.world.engines.items() if name != case.name)
    other.faults.max_runs = 0
    case.engine.faults.partitioned = False
    short = case.world.job(jobs.Step(count=1, cpu_millis=1000, estimate_s=0.5), work_s=0.5)
    assert case.world.submit(short, at=owner.name).verdict == entry.Verdict.DONE
    case.world.run(2.0)
    assert case.marked and not case.world.starts(short.job_id)
    case.replace_owner()
    case.world.run_until(lambda: case.world.starts(short.job_id))
    assert not case.marked
    world_module.check_all(case.world)


@pytest.mark.parametrize("key", [keys.SILENT_TARGETS, keys.HEAD])
def test_no_run_is_ordered_on_a_target_that_is_back_while_the_mark_of_its_loss_is_stored(key):
    """Guards against runs that the next owner takes as ended, as the target was lost before them."""
    case = Case(target_count=2)
    owner = case.world.owner
    case.engine.faults.partitioned = True
    case.world.run_until(lambda: case.marked, limit_s=2 * lost_targets.LISTED_DELAY_S)
    commit = owner.store.commit
    _refuse_commits(owner, key=key)
    (other,) = (engine for name, engine in case.world.engines.items() if name != case.name)
    other.faults.max_runs = 0
    before = case.renewed_until_s
    case.engine.faults.partitioned = False
    short = case.world.job(jobs.Step(count=1, cpu_millis=1000, estimate_s=0.5), work_s=0.5)
    case.world.store_jobs(short)
    case.world.run(2.0)
    assert case.marked and not case.world.starts(short.job_id)
    assert case.renewed_until_s == before and len(case.engine.runs) == 1
    owner.store.commit = commit
    case.world.run_until(lambda: not case.marked, limit_s=2.0)
    case.world.run_until(lambda: case.world.starts(short.job_id), limit_s=2.0)
    assert case.renewed_until_s > before and len(case.starts) == 1
    world_module.check_all(case.world)


@pytest.mark.parametrize("tells_left", [True, False])
def test_entry_that_joined_later_counts_from_its_own_first_sight_of_a_term(tells_left):
    """Guards against an entry that takes the mark's term as long past as it never saw it begin.

    It knows better only from a record that tells the remaining time, and never starts a run before it.
    """
    case = Case(entries=2)
    case.cut_off()
    case.world.run(2.0)
    for name in list(case.world.members):
        case.world.kill(name)
    case.world.run_until(lambda: not case.world.store.list_prefix(keys.OWNER))
    if not tells_left:
        former = msgspec.structs.replace(case.record, left_ms=())
        put = store.Put(key=keys.SILENT_TARGETS, value=msgspec.json.encode(former))
        case.world.store.commit((), (put,), ())
    case.world.start("late")
    case.world.run_until(lambda: case.world.owner is not None)
    took_over_at = case.world.clock.seconds()
    assert case.marked
    case.world.run_until(lambda: len(case.starts) == 2)
    assert case.engine.clock_s >= case.renewed_until_s
    if not tells_left:
        assert case.world.clock.seconds() - took_over_at > EXPIRY_S - 0.1
    world_module.check_all(case.world)


def test_mark_does_not_count_after_a_term_whose_owner_did_not_keep_to_it():
    """Guards against a second run after an owner of the former version has renewed the lease."""
    case = Case()
    case.cut_off()
    case.world.run(4.0)
    record = case.record
    case.world.kill(case.world.owner.name)
    case.world.run_until(lambda: keys.OWNER not in case.world.store.items)
    # An owner of the former version: it writes the head, and knows nothing of marks.
    head = ownership.Head(term=record.term + 1, number=0, nonce="former")
    case.world.store.commit((), (store.Put(key=keys.HEAD, value=msgspec.json.encode(head)),), ())
    case.engine.renew_and_acknowledge(head.term, 0, case.engine.clock_s + world_module.LEASE_S)
    case.world.run_until(lambda: case.world.owner is not None)
    took_over_at = case.world.clock.seconds()
    assert case.world.owner.node.owner.term == head.term + 1
    case.world.run_until(lambda: len(case.starts) == 2)
    assert case.world.clock.seconds() - took_over_at > EXPIRY_S - 0.1
    world_module.check_all(case.world)


def test_owner_that_reaches_no_target_marks_none():
    """Guards against marks while a former owner, cut off from the store, still renews all leases."""
    case = Case()
    former = case.world.owner
    former.store.faults.silent = True
    for member in case.world.members.values():
        if member is not former:
            member.targets.partitioned = True

    def other_owner() -> world_module.Member | None:
        others = (one for one in case.world.members.values() if one is not former)
        return next((one for one in others if one.node.owner is not None), None)

    case.world.run_until(lambda: other_owner() is not None)
    case.world.run(2.0)
    assert case.record is None
    assert former.node.owner is not None, "the former owner still acts"
    case.world.kill(other_owner().name)
    for member in case.world.members.values():
        member.targets.partitioned = False
        if member is not former:
            member.targets.unreached = frozenset({case.name})
    case.world.run_until(lambda: other_owner() is not None)
    took_over_at = case.world.clock.seconds()
    case.world.run_until(lambda: len(case.starts) == 2)
    assert case.world.clock.seconds() - took_over_at > EXPIRY_S - 0.1
    world_module.check_all(case.world)


@pytest.mark.parametrize("confirms", [True, False])
def test_takeover_whose_answer_was_lost_keeps_to_the_marks(confirms):
    """Guards against a renewal under marks that the takeover itself has confirmed."""
    case = Case(entries=3)
    case.cut_off()
    (other,) = (one for one in case.world.members.values() if one is not case.world.owner)
    other.store.faults.lose_answers = True
    if not confirms:
        get = other.store.get

        async def fail(**arguments):
            if arguments["key"] == keys.SILENT_TARGETS:
                return result.Failure(store.NotDoneError(call="get", reason="refused"))
            return await get(**arguments)

        other.store.get = fail
    case.world.kill(case.world.owner.name)
    case.world.run_until(lambda: keys.OWNER not in case.world.store.items)
    case.world.run_until(lambda: keys.OWNER in case.world.store.items)
    other.store.faults.lose_answers = False
    if not confirms:
        case.world.run(0.5)
        assert case.world.owner is None, "the term doesn't begin before the marks are read"
        other.store.get = get
    before = case.renewed_until_s
    commit = other.store.commit
    _refuse_commits(other, key=keys.SILENT_TARGETS)
    case.engine.faults.partitioned = False
    case.world.run_until(lambda: case.world.owner is other)
    case.world.run(1.0)
    if confirms:
        assert case.marked and case.renewed_until_s == before
    else:
        assert not case.marked and case.renewed_until_s > before
    other.store.commit = commit
    case.world.run(EXPIRY_S)
    world_module.check_all(case.world)


def test_nothing_is_written_while_all_targets_answer():
    """Guards against a write of each takeover on a fleet without silent targets."""
    case = Case()
    for _ in range(2):
        case.replace_owner()
        case.world.run(2.0)
    assert case.record is None


def test_marks_of_targets_that_are_gone_are_removed():
    """Guards against a record that grows with each target that was ever replaced."""
    case = Case()
    case.world.unregister(case.name)
    case.engine.faults.down = True
    case.replace_owner()
    case.world.run_until(lambda: case.marked, limit_s=STORED_S)
    case.world.run_until(lambda: case.record.since == {})
    world_module.check_all(case.world)


class Listed:
    """Marks of a term with listed targets, on a clock."""

    def __init__(self, *, term: int = 4, inherited: dict[str, int] | None = None) -> None:
        self.clock = task.Clock()
        self.clocks = clocks.MemoryClocks(clock=self.clock)
        self.clock.advance(100.0)
        self.beginnings = silent_targets.TermBeginnings()
        self.listed = {f"t{number}" for number in range(10)}
        self.requests = 0
        self.ends: dict[str, float] = {}
        self.marks = silent_targets.SilentTargets(
            term=term,
            inherited=silent_targets.Inherited(since=inherited or {}),
            beginnings=self.beginnings,
            all_clocks=self.clocks,
            listed=lambda: self.listed,
            runs_end_by=self.ends.get,
            request_write=self._request,
        )

    def _request(self) -> None:
        self.requests += 1

    def hear(self, count: int) -> None:
        for number in range(count):
            assert self.marks.may_renew(f"t{number}")

    def lose(self, *names: str) -> None:
        for name in names:
            self.marks.note_reachability(_row(name))

    def find(self, name: str) -> None:
        row = _row(name)
        row.reachable = True
        self.marks.note_reachability(row)

    def collected(self) -> silent_targets.Marks | None:
        """Collects and confirms the record; None if none was to be written."""
        puts = self.marks.collect(present=None)
        self.marks.confirm()
        return msgspec.json.decode(puts[0].value, type=silent_targets.Marks) if puts else None

    def stored(self) -> dict[str, int] | None:
        """Collects and confirms the record; returns its marks, None if none was to be written."""
        record = self.collected()
        return None if record is None else record.since


def _row(name: str, *, listed: bool = True) -> rows.TargetRow:
    target = targets.Target(target_id=name, address="t:1", pool="p", failure_domain="a", born=1)
    return rows.TargetRow(target=target, reachable=False, listed=listed)


def test_targets_are_marked_once_enough_others_have_reported():
    case = Listed()
    case.hear(4)
    case.lose("t9")
    assert case.stored() is None
    asked = case.requests
    case.hear(5)
    assert case.requests == asked + 1 and case.stored() == {"t9": 4}


def test_mark_of_an_owner_that_heard_from_few_targets_for_long_holds_from_the_next_term_on():
    """Guards against renewals of a former owner that no target had stopped when the term began."""
    case = Listed()
    case.lose("t9")
    case.clock.advance(silent_targets.HEARD_WITHIN_S + 0.1)
    case.hear(5)
    assert case.stored() == {"t9": 5}


def test_target_that_reported_in_the_term_is_not_marked_in_it():
    """Guards against a mark of a target whose lease this owner has renewed."""
    case = Listed()
    case.hear(10)
    case.lose("t9")
    assert case.requests == 0 and case.stored() is None


def test_target_that_stops_to_answer_is_marked_for_the_next_term_with_what_is_left_of_its_leases():
    """Guards against a new owner that waits anew for a target that the former one had lost long ago."""
    case = Listed()
    case.hear(10)
    case.ends["t9"] = 107.0
    case.lose("t9")
    case.clock.advance(lost_targets.LISTED_DELAY_S)
    assert case.marks.is_due()
    assert case.collected() == silent_targets.Marks(term=4, since={"t9": 5}, left_ms=(5000,))
    assert not case.marks.may_renew("t9")
    case.clock.advance(silent_targets.REFRESH_S)
    assert case.marks.is_due()
    assert case.collected() == silent_targets.Marks(term=4, since={"t9": 5}, left_ms=(4500,))
    case.clock.advance(5.0)
    assert case.collected() == silent_targets.Marks(term=4, since={"t9": 5}, left_ms=(0,))
    case.clock.advance(5.0)
    assert not case.marks.is_due() and case.collected() is None


def test_target_that_is_back_before_its_mark_is_written_is_not_marked():
    """Guards against a write of the journal before the lease of a target with one lost answer."""
    case = Listed()
    case.hear(10)
    case.lose("t9")
    case.clock.advance(lost_targets.LISTED_DELAY_S - 0.1)
    case.find("t9")
    case.clock.advance(1.0)
    assert not case.marks.is_due() and case.collected() is None and case.marks.may_renew("t9")


def test_lease_of_a_target_that_is_back_is_renewed_only_after_its_mark_is_removed():
    """Guards against a second run: the next owner counts with the mark."""
    case = Listed()
    case.hear(10)
    case.lose("t9")
    case.clock.advance(lost_targets.LISTED_DELAY_S)
    (written,) = case.marks.collect(present=None)
    case.find("t9")
    assert not case.marks.may_renew("t9"), "the mark is on its way"
    case.marks.confirm()
    assert not case.marks.may_renew("t9"), "the mark is stored"
    assert case.requests > 0 and case.marks.collect(present=None)
    assert not case.marks.may_renew("t9"), "its removal is on its way"
    assert case.marks.confirm() == {"t9"}
    assert case.marks.may_renew("t9")


def test_target_that_left_is_marked_at_once_and_at_a_handover_each_that_does_not_answer():
    """Guards against a successor that waits for the leases of targets that are known to be lost."""
    case = Listed()
    case.hear(10)
    case.marks.note_reachability(_row("t8", listed=False))
    assert case.marks.is_due() and case.collected().since == {"t8": 5}
    case.lose("t9")
    assert case.collected() is None
    case.marks.prepare_handover()
    assert case.collected().since == {"t8": 5, "t9": 5}


def test_mark_that_holds_from_the_next_term_on_does_not_tell_what_is_left():
    """Guards against a time that leaves out renewals of a former owner that no target had stopped."""
    case = Listed()
    case.ends["t9"] = 106.0
    case.lose("t9")
    case.clock.advance(silent_targets.HEARD_WITHIN_S + 0.1)
    case.hear(5)
    assert case.collected().left_ms == (silent_targets.UNKNOWN_MS,)


def test_remaining_time_counts_from_the_reading_and_passes_through_a_takeover():
    since = {"a": 3, "b": 3, "c": 2}
    put = silent_targets.put(since, (0, silent_targets.UNKNOWN_MS, 2500), term=4)
    item = store.Item(key=put.key, value=put.value, revision=2, created=1, lease=0)
    inherited = silent_targets.confirmed(item, term=4, read_at=100.0)
    assert inherited.ended_by == {"a": 100.0, "c": 102.5}
    kept = silent_targets.put_inherited(inherited, term=5, at=101.0)
    marks = msgspec.json.decode(kept.value, type=silent_targets.Marks)
    assert marks == silent_targets.Marks(
        term=5, since=since, left_ms=(0, silent_targets.UNKNOWN_MS, 1500)
    )


def test_remaining_times_that_do_not_match_the_marks_are_ignored():
    """Guards against times of other targets in a record of another version."""
    put = silent_targets.put({"a": 3, "b": 3}, (0,), term=4)
    item = store.Item(key=put.key, value=put.value, revision=2, created=1, lease=0)
    inherited = silent_targets.confirmed(item, term=4, read_at=100.0)
    assert inherited.since == {"a": 3, "b": 3} and inherited.ended_by == {}


def test_record_of_many_silent_targets_has_a_limit_and_the_others_are_not_marked():
    """Guards against a record that the store rejects, with which no mark could be removed."""
    case = Listed()
    case.hear(5)
    names = [f"{number:040d}" for number in range(3_300)]
    case.lose(*names)
    (put,) = case.marks.collect(present=None)
    case.marks.confirm()
    assert len(put.value) <= silent_targets.MAX_RECORD_BYTES + 100
    kept = msgspec.json.decode(put.value, type=silent_targets.Marks).since
    assert len(kept) >= 1_100
    assert (
        [name for name in names if not case.marks.may_renew(name)]
        == list(kept)
        == names[: len(kept)]
    )


def test_lease_counts_from_the_first_sight_of_the_term_or_of_a_later_one():
    case = Listed(term=9, inherited={"a": 5, "b": 7, "c": 8})
    for term, at in ((4, 10.0), (5, 20.0), (8, 50.0), (9, 100.0)):
        case.beginnings.note(term, at=at)
    times = [case.marks.renewed_until(name) for name in ("a", "b", "c", "other")]
    assert times == [20.0, 50.0, 50.0, 100.0]


def test_lease_of_an_unseen_term_counts_from_the_beginning_of_this_one():
    case = Listed(inherited={"a": 3})
    assert case.marks.renewed_until("a") == 100.0


def test_beginnings_of_terms_have_a_limit_and_are_forgotten_when_terms_begin_anew():
    """Guards against a lease that counts from a term of the same number in a store that was lost."""
    beginnings = silent_targets.TermBeginnings()
    for term in range(1, 2 * silent_targets.MAX_TERMS):
        beginnings.note(term, at=float(term))
    assert beginnings.begun_by(1) == silent_targets.MAX_TERMS
    beginnings.note(1, at=1_000.0)
    assert beginnings.begun_by(1) == 1_000.0 and beginnings.begun_by(2) == float("inf")


@pytest.mark.parametrize("value", [b"", b"[]", b"\xff", b'{"term": 4}', b"[" * 5_000])
def test_unreadable_record_holds_no_marks(value):
    item = store.Item(key=keys.SILENT_TARGETS, value=value, revision=2, created=1, lease=0)
    inherited = silent_targets.confirmed(item, term=4, read_at=1.0)
    assert inherited == silent_targets.Inherited()


def test_in_memory_target_refuses_renewals_of_former_owners():
    """Shows what the marks build on: a token of a later term stops a former owner's renewals."""
    case = Case()
    engine: memory_targets.TargetEngine = case.engine
    before = engine._lease_expires_s
    refused = engine.renew_and_acknowledge(0, 0, before + 100.0)
    assert refused == targets.RefusalReason.FENCE and engine._lease_expires_s == before
