"""Judges a history against what must always hold, one function a line."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

import msgspec
from ebonyhatch.testing import history

LEAVING_LIMIT_S = 3.0
"""Time after which a leaving worker gets nothing new, seconds."""

CONFIGURATION_LIMIT_S = 5.0
"""Time after which an accepted configuration is in force everywhere, seconds."""

ENDED_STATES = frozenset({"finished", "failed", "cancelled"})


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """A line that a history breaks, with what shows it."""

    line: str
    what: str


Check = Callable[[history.History], Iterable[str]]
_CHECKS: dict[str, Check] = {}


def line(name: str) -> Callable[[Check], Check]:
    """Register the check of one line."""

    def register(check: Check) -> Check:
        _CHECKS[name] = check
        return check

    return register


def lines() -> tuple[str, ...]:
    """Names of all lines."""
    return tuple(_CHECKS)


def check(run: history.History) -> list[Violation]:
    """Give every violation of every line."""
    return [
        Violation(line=name, what=what)
        for name, find_violations in _CHECKS.items()
        for what in find_violations(run)
    ]


@line("capacity")
def within_capacity(run: history.History) -> Iterable[str]:
    """No worker is ever given more than it holds."""
    for used in run.of(history.WorkerUsed):
        if not used.highest.fits(used.capacity):
            yield f"{used.worker_id} held {used.highest} of {used.capacity}"


@line("one-place")
def in_one_place(run: history.History) -> Iterable[str]:
    """No job runs in two places at once."""
    running: dict[str, dict[tuple[str, str], float]] = collections.defaultdict(dict)
    for record in run.records:
        if isinstance(record, history.TaskRan):
            others = running[record.job_id]
            if others:
                yield f"{record.task_id} ran on {record.worker_id} beside {list(others)}"
            others[(record.task_id, record.worker_id)] = record.at
        elif isinstance(record, history.TaskEnded):
            running[record.job_id].pop((record.task_id, record.worker_id), None)


@line("resumes-once")
def resumes_once(run: history.History) -> Iterable[str]:
    """Accepted work is neither lost nor done again after its end."""
    yield from _started_after_end(run)
    yield from _changed_after_end(run)
    yield from _accepted_and_lost(run)


@line("own-answer")
def answers_match_requests(run: history.History) -> Iterable[str]:
    """Every caller gets the whole answer to its own request, once."""
    made = {record.request_id: record for record in run.of(history.RequestMade)}
    told: set[str] = set()
    for record in run.of(history.RequestOutcome):
        if record.request_id in told:
            yield f"{record.request_id} was told twice"
        told.add(record.request_id)
        if record.told is not history.CallerOutcome.ANSWERED:
            continue
        if record.answered_id != record.request_id:
            yield f"{record.request_id} got the answer of {record.answered_id}"
        if record.body != made[record.request_id].body:
            yield f"{record.request_id} got the body {record.body!r}"
    if run.of(history.RunEnded):
        for request_id in set(made) - told:
            if not _entry_killed_after(run, made[request_id]):
                yield f"{request_id} was never told anything"


@line("not-run")
def not_run_never_ran(run: history.History) -> Iterable[str]:
    """What was said not to have run never ran."""
    ran = {record.request_id for record in run.of(history.RequestRan)}
    ran |= {record.job_id for record in run.of(history.TaskRan)}
    for record in run.records:
        if isinstance(record, history.RequestOutcome | history.SubmissionOutcome):
            subject = getattr(record, "request_id", "") or getattr(record, "job_id", "")
            if record.told is history.CallerOutcome.NOT_RUN and subject in ran:
                yield f"{subject} ran, and its caller was told that it did not"


@line("at-most-once")
def at_most_once(run: history.History) -> Iterable[str]:
    """A non-idempotent request runs at most once; with a key, once for the key."""
    runs = collections.Counter(record.request_id for record in run.of(history.RequestRan))
    by_key: collections.Counter[str] = collections.Counter()
    for made in run.of(history.RequestMade):
        if made.idempotent:
            continue
        if runs[made.request_id] > 1:
            yield f"{made.request_id} ran {runs[made.request_id]} times"
        if made.key:
            by_key[made.key] += runs[made.request_id]
    for key, count in by_key.items():
        if count > 1:
            yield f"key {key} ran {count} times"


@line("leaving")
def leaving_workers_get_no_work(run: history.History) -> Iterable[str]:
    """A worker that is leaving gets nothing new after a few seconds."""
    since: dict[str, float] = {}
    for record in run.records:
        if isinstance(record, history.WorkerLeaving):
            since.setdefault(record.worker_id, record.at)
        elif isinstance(record, history.TaskRan | history.RequestRan):
            left_at = since.get(record.worker_id, float("inf"))
            if record.at > left_at + LEAVING_LIMIT_S:
                yield f"{record} began on {record.worker_id}, which left at {left_at}"


@line("graceful-stop")
def planned_stop_interrupts_nothing(run: history.History) -> Iterable[str]:
    """A planned stop cuts off no request that is in progress."""
    for record in run.of(history.RequestOutcome):
        if record.told is history.CallerOutcome.UNKNOWN and record.reason == "closed":
            yield f"{record.request_id} was cut off by a planned stop"


@line("configuration")
def configuration_takes_effect(run: history.History) -> Iterable[str]:
    """An accepted configuration is in force everywhere within seconds and never reverts."""
    accepted = [(record.at, record.generation) for record in run.of(history.ConfigurationAccepted)]
    newest: dict[str, int] = {}
    for record in run.of(history.ConfigurationObserved):
        if record.generation < newest.get(record.entry_id, 0):
            yield f"{record.entry_id} went back to generation {record.generation}"
        newest[record.entry_id] = max(record.generation, newest.get(record.entry_id, 0))
        for at, generation in accepted:
            due_at = max(at, record.at - record.reachable_s) + CONFIGURATION_LIMIT_S
            if record.at > due_at and record.generation < generation:
                yield f"{record.entry_id} at {record.at} has {record.generation}"


def _started_after_end(run: history.History) -> Iterable[str]:
    """Attempts that began after the worker was allowed to forget the job's finished one."""
    latest: dict[str, int] = {}
    done: dict[str, int] = {}
    for record in run.records:
        if isinstance(record, history.TaskRan):
            number = _attempt_number(record.task_id)
            if record.job_id in done:
                yield f"{record.task_id} ran after attempt {done[record.job_id]} was taken"
            latest[record.job_id] = max(number, latest.get(record.job_id, 0))
        elif isinstance(record, history.TaskForgotten):
            number = _attempt_number(record.task_id)
            if number >= latest.get(record.job_id, 0):
                done[record.job_id] = number


def _changed_after_end(run: history.History) -> Iterable[str]:
    """Jobs that were shown as ended and then as something else."""
    ended: dict[str, history.JobObserved] = {}
    for record in run.of(history.JobObserved):
        before = ended.get(record.job_id)
        if before is not None and (record.state, record.attempts) != (
            before.state,
            before.attempts,
        ):
            yield f"{record.job_id} was {before.state} and became {record.state or 'unknown'}"
        if record.state in ENDED_STATES:
            ended[record.job_id] = record


def _accepted_and_lost(run: history.History) -> Iterable[str]:
    """Jobs that were accepted and are unknown, or not ended once all had time to end."""
    last: dict[str, str] = {}
    accepted = {record.job_id for record in run.of(history.SubmissionOutcome) if record.accepted}
    for record in run.of(history.JobObserved):
        last[record.job_id] = record.state
        if record.job_id in accepted and not record.state:
            yield f"{record.job_id} was accepted and {record.cell} doesn't know it"
    if run.of(history.RunEnded):
        for job_id in sorted(accepted):
            if last.get(job_id, "") not in ENDED_STATES:
                yield f"{job_id} was accepted and is {last.get(job_id, 'never seen')!r} at the end"


def _entry_killed_after(run: history.History, made: history.RequestMade) -> bool:
    """Tell whether the entry that the caller was connected to ended meanwhile."""
    return any(
        killed.entry_id == made.entry_id and killed.at >= made.at
        for killed in run.of(history.EntryKilled)
    )


def _attempt_number(task_id: str) -> int:
    return int(task_id.rpartition("/")[2])
