"""What a run may do next: work for the fleet, and every kind of fault."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.testing.histories import entry, fleet

Action = Callable[[fleet.Fleet, int], None]
_ACTIONS: dict[str, Action] = {}

WORK = ("request", "charge", "keyed", "submit", "cancel", "evict", "configure")
"""Actions that are no faults."""

KEYS = 4
"""Different idempotency keys of a run."""

SLOW_S = 1.0
"""Delay of a slow store, seconds."""

STALE_S = 3.0
"""Age of a stale store's answers, seconds."""

JITTER_S = 1.2
"""Longest delay of a message that travels out of order, seconds."""

REPEAT_SHARE = 0.5
"""Share of messages that travel twice."""

SIGNS = ("list", "word", "refusal")


def action(name: str) -> Callable[[Action], Action]:
    """Register an action; its number picks what it is done to."""

    def register(function: Action) -> Action:
        _ACTIONS[name] = function
        return function

    return register


def names() -> tuple[str, ...]:
    """Names of all actions."""
    return tuple(_ACTIONS)


def faults() -> tuple[str, ...]:
    """Names of the actions that are faults."""
    return tuple(name for name in _ACTIONS if name not in WORK)


def do(run: fleet.Fleet, *, name: str, pick: int) -> None:
    """Carry out an action."""
    _ACTIONS[name](run, pick)


def _entry(run: fleet.Fleet, pick: int) -> entry.Entry:
    return run.entries[sorted(run.entries)[pick % len(run.entries)]]


def _running(run: fleet.Fleet, pick: int) -> entry.Entry | None:
    running = run.running
    return running[pick % len(running)] if running else None


def _worker(run: fleet.Fleet, pick: int) -> str:
    return sorted(run.engines)[pick % len(run.engines)]


@action("request")
def _request(run: fleet.Fleet, pick: int) -> None:
    one = _running(run, pick)
    if one is not None:
        run.request(one.entry_id, work_s=0.1 * (pick % 12))


@action("charge")
def _charge(run: fleet.Fleet, pick: int) -> None:
    one = _running(run, pick)
    if one is not None:
        run.request(one.entry_id, idempotent=False, work_s=0.1 * (pick % 12))


@action("keyed")
def _keyed(run: fleet.Fleet, pick: int) -> None:
    one = _running(run, pick)
    if one is not None:
        run.request(one.entry_id, idempotent=False, key=f"k{pick % KEYS}", work_s=0.1 * (pick % 9))


@action("submit")
def _submit(run: fleet.Fleet, pick: int) -> None:
    run.submit(run_s=0.5 + pick % 8)


@action("cancel")
def _cancel(run: fleet.Fleet, pick: int) -> None:
    known = run.job_ids
    if known:
        run.cancel(known[pick % len(known)])


@action("evict")
def _evict(run: fleet.Fleet, pick: int) -> None:
    one = _running(run, pick)
    for decider in one.schedulers.values() if one else ():
        decider.evict(count=1 + pick % 3)


@action("configure")
def _configure(run: fleet.Fleet, pick: int) -> None:
    one = _running(run, pick)
    if one is not None:
        run.configure(one.entry_id, weight=1 + pick)


@action("kill")
def _kill(run: fleet.Fleet, pick: int) -> None:
    one = _entry(run, pick)
    if not one.clock.dead:
        run.kill(one.entry_id)


@action("restart")
def _restart(run: fleet.Fleet, pick: int) -> None:
    one = _entry(run, pick)
    if not one.clock.dead:
        run.kill(one.entry_id)
    run.start(one.entry_id)


@action("stop")
def _stop(run: fleet.Fleet, pick: int) -> None:
    one = _running(run, pick)
    if one is not None and not one.closing:
        run.close(one.entry_id)


@action("freeze")
def _freeze(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).clock.freeze()


@action("thaw")
def _thaw(run: fleet.Fleet, pick: int) -> None:
    for one in run.entries.values():
        one.clock.thaw()


@action("cut-peers")
def _cut_peers(run: fleet.Fleet, pick: int) -> None:
    one, other = _entry(run, pick), _entry(run, pick + 1 + pick // 3 % 2)
    run.callers.cuts.add(frozenset((one.entry_id, other.entry_id)))


@action("cut-store")
def _cut_store(run: fleet.Fleet, pick: int) -> None:
    faults = _entry(run, pick).store.faults
    faults.down = pick % 2 == 0
    faults.silent = not faults.down


@action("cut-store-answers")
def _cut_store_answers(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).store.faults.lose_answers = True


@action("lose-written")
def _lose_written(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).store_port.lose_written = True


@action("silence-watches")
def _silence_watches(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).store_port.watch_silent = True


@action("store-down")
def _store_down(run: fleet.Fleet, pick: int) -> None:
    for one in run.entries.values():
        one.store.faults.down = True


@action("store-slow")
def _store_slow(run: fleet.Fleet, pick: int) -> None:
    for one in run.entries.values():
        one.store.faults.slow_s = SLOW_S


@action("store-stale")
def _store_stale(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).store.faults.stale_s = STALE_S


@action("cut-worker")
def _cut_worker(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).workers.faults(_worker(run, pick // 3)).silent = True


@action("cut-worker-answers")
def _cut_worker_answers(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).workers.faults(_worker(run, pick // 3)).lose_answers = True


@action("truncate")
def _truncate(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).workers.faults(_worker(run, pick // 3)).cut_answers = True


@action("reorder")
def _reorder(run: fleet.Fleet, pick: int) -> None:
    one = _entry(run, pick)
    one.to_store.jitter_s = JITTER_S
    one.to_workers.jitter_s = JITTER_S


@action("repeat")
def _repeat(run: fleet.Fleet, pick: int) -> None:
    one = _entry(run, pick)
    one.to_store.repeat_share = REPEAT_SHARE
    one.to_workers.repeat_share = REPEAT_SHARE
    run.callers.repeat_messages = True


@action("restart-worker")
def _restart_worker(run: fleet.Fleet, pick: int) -> None:
    worker_id = _worker(run, pick)
    if worker_id not in run.left:
        run.restart_worker(worker_id)


@action("leave")
def _leave(run: fleet.Fleet, pick: int) -> None:
    """Only the first worker of a failure domain leaves, so that its work can end elsewhere."""
    domain = fleet.DOMAINS[pick % len(fleet.DOMAINS)]
    run.leave(f"w-{domain}0", sign=SIGNS[pick // 3 % len(SIGNS)])


@action("mend")
def _mend(run: fleet.Fleet, pick: int) -> None:
    run.mend()
