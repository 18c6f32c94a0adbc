"""Actions of a run: work for the fleet, and every kind of fault."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhatch.testing.histories import entry, fleet

Action = Callable[[fleet.Fleet, int], None]
_ACTIONS: dict[str, Action] = {}

WORK = ("request", "charge", "keyed", "submit", "burst", "cancel", "evict", "configure")
"""Actions that are not faults."""

KEYS = 4
"""Number of different idempotency keys of a run."""

SLOW_S = 1.0
"""Delay of a slow store, seconds."""

STALE_S = 3.0
"""Age of the values that a stale store returns, seconds."""

JITTER_S = 1.2
"""Maximum delay of a message that is reordered, seconds."""

REPEAT_FRACTION = 0.5
"""Fraction of messages that are delivered twice."""

SIGNS = ("list", "word", "refusal")


def action(name: str) -> Callable[[Action], Action]:
    """Returns a decorator that registers an action; its `pick` selects the subject."""

    def register(function: Action) -> Action:
        _ACTIONS[name] = function
        return function

    return register


def names() -> tuple[str, ...]:
    """Returns the names of all actions, in order of registration."""
    return tuple(_ACTIONS)


def faults() -> tuple[str, ...]:
    """Returns the names of the actions that are faults, in order of registration."""
    return tuple(name for name in _ACTIONS if name not in WORK)


def perform(run: fleet.Fleet, *, name: str, pick: int) -> None:
    """Performs an action."""
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
    member = _running(run, pick)
    if member is not None:
        run.request(member.entry_id, work_s=0.1 * (pick % 12))


@action("charge")
def _charge(run: fleet.Fleet, pick: int) -> None:
    member = _running(run, pick)
    if member is not None:
        run.request(member.entry_id, idempotent=False, work_s=0.1 * (pick % 12))


@action("keyed")
def _keyed(run: fleet.Fleet, pick: int) -> None:
    member = _running(run, pick)
    if member is not None:
        run.request(
            member.entry_id, idempotent=False, key=f"k{pick % KEYS}", work_s=0.1 * (pick % 9)
        )


@action("submit")
def _submit(run: fleet.Fleet, pick: int) -> None:
    run.submit(run_s=0.5 + pick % 8)


@action("burst")
def _burst(run: fleet.Fleet, pick: int) -> None:
    """Submits more jobs at once than a cell can hold, so that some are passed on."""
    for number in range(12):
        run.submit(run_s=4.0 + number % 3)


@action("cancel")
def _cancel(run: fleet.Fleet, pick: int) -> None:
    known = run.job_ids
    if known:
        run.cancel(known[pick % len(known)])


@action("evict")
def _evict(run: fleet.Fleet, pick: int) -> None:
    member = _running(run, pick)
    for evicting_scheduler in member.schedulers.values() if member else ():
        evicting_scheduler.evict(count=1 + pick % 3)


@action("configure")
def _configure(run: fleet.Fleet, pick: int) -> None:
    member = _running(run, pick)
    if member is not None:
        run.configure(member.entry_id, weight=1 + pick)


@action("kill")
def _kill(run: fleet.Fleet, pick: int) -> None:
    member = _entry(run, pick)
    if not member.clock.dead:
        run.kill(member.entry_id)


@action("restart")
def _restart(run: fleet.Fleet, pick: int) -> None:
    member = _entry(run, pick)
    if not member.clock.dead:
        run.kill(member.entry_id)
    run.start(member.entry_id)


@action("stop")
def _stop(run: fleet.Fleet, pick: int) -> None:
    member = _running(run, pick)
    if member is not None and not member.closing:
        run.close(member.entry_id)


@action("freeze")
def _freeze(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).clock.freeze()


@action("thaw")
def _thaw(run: fleet.Fleet, pick: int) -> None:
    for member in run.entries.values():
        member.clock.thaw()


@action("cut-peers")
def _cut_peers(run: fleet.Fleet, pick: int) -> None:
    member, other = _entry(run, pick), _entry(run, pick + 1 + pick // 3 % 2)
    run.callers.cuts.add(frozenset((member.entry_id, other.entry_id)))


@action("cut-store")
def _cut_store(run: fleet.Fleet, pick: int) -> None:
    faults = _entry(run, pick).store.faults
    faults.down = pick % 2 == 0
    faults.silent = not faults.down


@action("cut-store-answers")
def _cut_store_answers(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).store.faults.lose_answers = True


@action("lose-written")
def _lose_write_responses(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).store_port.lose_write_responses = True


@action("silence-watches")
def _silence_watches(run: fleet.Fleet, pick: int) -> None:
    _entry(run, pick).store_port.watch_silent = True


@action("store-down")
def _store_down(run: fleet.Fleet, pick: int) -> None:
    for member in run.entries.values():
        member.store.faults.down = True


@action("store-slow")
def _store_slow(run: fleet.Fleet, pick: int) -> None:
    for member in run.entries.values():
        member.store.faults.slow_s = SLOW_S


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
    member = _entry(run, pick)
    member.to_store.jitter_s = JITTER_S
    member.to_workers.jitter_s = JITTER_S


@action("repeat")
def _repeat(run: fleet.Fleet, pick: int) -> None:
    member = _entry(run, pick)
    member.to_store.repeat_fraction = REPEAT_FRACTION
    member.to_workers.repeat_fraction = REPEAT_FRACTION
    run.callers.repeat_messages = True


@action("restart-worker")
def _restart_worker(run: fleet.Fleet, pick: int) -> None:
    worker_id = _worker(run, pick)
    if worker_id not in run.leaving_workers:
        run.restart_worker(worker_id)


@action("leave")
def _leave(run: fleet.Fleet, pick: int) -> None:
    """Lets only the first worker of a domain leave, so that its work can end on the other."""
    domain = fleet.DOMAINS[pick % len(fleet.DOMAINS)]
    run.leave(f"w-{domain}0", sign=SIGNS[pick // 3 % len(SIGNS)])


@action("mend")
def _clear_faults(run: fleet.Fleet, pick: int) -> None:
    run.clear_faults()
