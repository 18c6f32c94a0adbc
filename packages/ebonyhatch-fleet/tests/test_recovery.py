from __future__ import annotations

import msgspec
import pytest
import scripted
from ebonyhatch.fleet import clocks, keys, known_targets, memory_store, recovery, store, targets
from ebonyhatch.node import coroutines
from twisted.internet import task

JOB = "0" * 16
MODEL = b"the model"


def _known(name: str) -> known_targets.KnownTarget:
    target = targets.Target(target_id=name, address=f"{name}:1", pool="p", failure_domain="a")
    return known_targets.KnownTarget(target=target, takes_runs=True)


class RecoveryCase:
    """A store with each part of the state, and its recovery."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.engine = memory_store.StoreEngine(clock=self.clock)
        self.put(keys.job(JOB), b"submission")
        self.put(keys.cancel(JOB), b"cancellation")
        self.put(keys.progress(JOB), b"progress")
        self.put(keys.targets(1), known_targets.encode({"a": _known("a")}))
        self.put(keys.targets(2), known_targets.encode({"b": _known("b")}))
        self.put(keys.MODEL_SNAPSHOT, MODEL)
        self.store = scripted.ScriptedStore(engine=self.engine)
        self.recovery = recovery.Recovery(
            store_port=self.store,
            all_clocks=clocks.MemoryClocks(clock=self.clock),
            group=coroutines.CoroutineGroup(clock=self.clock),
        )

    def put(self, key: str, value: bytes) -> None:
        self.engine.commit((), (store.Put(key=key, value=value),), ())

    def read(self) -> recovery.StoredState:
        return scripted.finish(self.clock, self.recovery.read())


def _check(stored: recovery.StoredState, *, as_of: int) -> None:
    assert {item.key for item in stored.intake} == {keys.job(JOB), keys.cancel(JOB)}
    assert stored.as_of == as_of
    assert stored.progress == {JOB: b"progress"}
    assert stored.targets == {"a": _known("a"), "b": _known("b")}
    assert stored.model == MODEL


def test_all_parts_of_the_stored_state_are_read():
    case = RecoveryCase()
    _check(case.read(), as_of=case.engine.revision)


def test_empty_store_is_an_empty_state():
    case = RecoveryCase()
    case.engine.commit((), (), tuple(case.engine.items))
    stored = case.read()
    assert (stored.intake, stored.progress, stored.targets, stored.model) == ((), {}, {}, None)


@pytest.mark.parametrize(
    "prefix",
    [keys.INTAKE, keys.PROGRESS, keys.TARGETS, keys.FORMER_TARGETS, keys.MODEL_SNAPSHOT],
)
def test_part_that_fails_is_read_again_and_the_others_once(prefix):
    case = RecoveryCase()
    failures = iter((True, True, False))

    def subject(call: scripted.Call) -> str:
        return call.arguments.get("prefix") or call.arguments["key"]

    case.store.fails = lambda call: (
        call.name != "watch" and subject(call) == prefix and next(failures)
    )
    _check(case.read(), as_of=case.engine.revision)
    subjects = [subject(call) for call in case.store.calls if call.name != "watch"]
    assert {name: subjects.count(name) for name in set(subjects)} == {
        name: 3 if name == prefix else 1
        for name in (
            keys.INTAKE,
            keys.PROGRESS,
            keys.TARGETS,
            keys.FORMER_TARGETS,
            keys.MODEL_SNAPSHOT,
        )
    }


def test_unreadable_record_of_targets_is_logged_and_left_out():
    case = RecoveryCase()
    case.put(keys.targets(2), b"\x00 no record")
    with scripted.logged() as lines:
        stored = case.read()
    assert stored.targets == {"a": _known("a")}
    unreadable = [line for line in lines if line.get("message_type") == "record.unreadable"]
    assert [line["kind"] for line in unreadable] == ["KnownTargets"]


def test_submission_stored_while_the_recovery_reads_is_reported_by_a_watch_from_its_revision():
    case = RecoveryCase()
    later = keys.job("1" * 16)

    def submit_later(call: scripted.Call) -> bool:
        if call.arguments.get("prefix") == keys.PROGRESS:
            case.put(later, b"submission")
        return False

    case.store.fails = submit_later
    stored = case.read()
    assert later not in {item.key for item in stored.intake}
    watch = case.store.watch(prefix=keys.INTAKE, after=stored.as_of, wait_s=0.1)
    changes = scripted.finish(case.clock, watch).unwrap()
    assert [change.key for change in changes.changes] == [later]


def test_targets_of_an_owner_of_the_former_code_are_read_and_may_take_runs():
    case = RecoveryCase()
    leaving = known_targets.KnownTarget(target=_known("a").target, takes_runs=False, tasks=("t",))
    also = msgspec.structs.replace(leaving, tasks=("u",))
    case.put(keys.targets(1), known_targets.encode({"a": leaving, "d": leaving}))
    former = {"a": _known("a"), "c": _known("c"), "d": also}
    case.put(keys.FORMER_TARGETS, known_targets.encode(former))
    stored = case.read()
    both = msgspec.structs.replace(leaving, tasks=("t", "u"))
    assert stored.targets == {name: _known(name) for name in "abc"} | {"d": both}
    assert stored.grouped_targets == {"a": leaving, "b": _known("b"), "d": leaving}
    assert stored.former_targets
