"""Checks a history against the properties that always hold.

Each property is called a line (of the list of promises) and has one registered check.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

import msgspec
from ebonyhatch.testing import history

LEAVING_LIMIT_S = 3.0
"""Time after which a leaving worker is given no new work, seconds."""

CONFIGURATION_LIMIT_S = 5.0
"""Time within which an accepted configuration is in force on every entry, seconds."""

ENDED_STATES = frozenset({"finished", "failed", "cancelled"})


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """A line that a history breaks, with a description of the records that break it."""

    line: str
    what: str


Check = Callable[[history.History], Iterable[str]]
_CHECKS: dict[str, Check] = {}


def line(name: str) -> Callable[[Check], Check]:
    """Returns a decorator that registers the check of one line."""

    def register(check: Check) -> Check:
        _CHECKS[name] = check
        return check

    return register


def lines() -> tuple[str, ...]:
    """Returns the names of all lines, in order of registration."""
    return tuple(_CHECKS)


def check(run: history.History) -> list[Violation]:
    """Returns every violation of every line."""
    return [
        Violation(line=name, what=what)
        for name, find_violations in _CHECKS.items()
        for what in find_violations(run)
    ]


@line("capacity")
def within_capacity(run: history.History) -> Iterable[str]:
    """Reports workers whose use ever exceeded their capacity."""
    for used in run.of(history.WorkerUsed):
        if not used.highest.fits(used.capacity):
            yield f"{used.worker_id} used {used.highest} of its capacity {used.capacity}"


@line("one-place")
def in_one_place(run: history.History) -> Iterable[str]:
    """Reports jobs of which two attempts ran at the same time."""
    running: dict[str, dict[tuple[str, str], float]] = collections.defaultdict(dict)
    for record in run.records:
        if isinstance(record, history.TaskRan):
            others = running[record.job_id]
            if others:
                yield f"{record.task_id} ran on {record.worker_id} at the same time as {list(others)}"
            others[(record.task_id, record.worker_id)] = record.at
        elif isinstance(record, history.TaskEnded):
            running[record.job_id].pop((record.task_id, record.worker_id), None)


@line("resumes-once")
def resumes_once(run: history.History) -> Iterable[str]:
    """Reports accepted jobs that were lost, or that ran again after their end."""
    yield from _started_after_end(run)
    yield from _changed_after_end(run)
    yield from _accepted_and_lost(run)


@line("own-answer")
def answers_match_requests(run: history.History) -> Iterable[str]:
    """Reports callers that did not get the whole response to their own request exactly once."""
    sent = {record.request_id: record for record in run.of(history.RequestMade)}
    reported: set[str] = set()
    for record in run.of(history.RequestOutcome):
        if record.request_id in reported:
            yield f"the outcome of {record.request_id} was reported twice"
        reported.add(record.request_id)
        if record.told is not history.CallerOutcome.ANSWERED:
            continue
        if record.answered_id != record.request_id:
            yield f"{record.request_id} got the response to {record.answered_id}"
        if record.body != sent[record.request_id].body:
            yield f"{record.request_id} got the body {record.body!r}"
    if run.of(history.RunEnded):
        for request_id in set(sent) - reported:
            if not _entry_killed_after(run, sent[request_id]):
                yield f"no outcome of {request_id} was ever reported"


@line("not-run")
def not_run_never_ran(run: history.History) -> Iterable[str]:
    """Reports requests and jobs that ran although they were reported to their callers as not run."""
    ran = {record.request_id for record in run.of(history.RequestRan)}
    ran |= {record.job_id for record in run.of(history.TaskRan)}
    for record in run.records:
        if isinstance(record, history.RequestOutcome | history.SubmissionOutcome):
            subject = getattr(record, "request_id", "") or getattr(record, "job_id", "")
            if record.told is history.CallerOutcome.NOT_RUN and subject in ran:
                yield f"{subject} ran, and was reported to its caller as not run"


@line("at-most-once")
def at_most_once(run: history.History) -> Iterable[str]:
    """Reports non-idempotent requests that ran more than once, by request and by key."""
    runs = collections.Counter(record.request_id for record in run.of(history.RequestRan))
    by_key: collections.Counter[str] = collections.Counter()
    for sent in run.of(history.RequestMade):
        if sent.idempotent:
            continue
        if runs[sent.request_id] > 1:
            yield f"{sent.request_id} ran {runs[sent.request_id]} times"
        if sent.key:
            by_key[sent.key] += runs[sent.request_id]
    for key, count in by_key.items():
        if count > 1:
            yield f"key {key} ran {count} times"


@line("leaving")
def leaving_workers_get_no_work(run: history.History) -> Iterable[str]:
    """Reports work that started on a leaving worker after `LEAVING_LIMIT_S`."""
    since: dict[str, float] = {}
    for record in run.records:
        if isinstance(record, history.WorkerLeaving):
            since.setdefault(record.worker_id, record.at)
        elif isinstance(record, history.TaskRan | history.RequestRan):
            leaving_since = since.get(record.worker_id, float("inf"))
            if record.at > leaving_since + LEAVING_LIMIT_S:
                yield f"{record} started on {record.worker_id}, leaving since {leaving_since}"


@line("graceful-stop")
def planned_stop_interrupts_nothing(run: history.History) -> Iterable[str]:
    """Reports requests in progress that a planned stop of an entry interrupted."""
    for record in run.of(history.RequestOutcome):
        if record.told is history.CallerOutcome.UNKNOWN and record.reason == "closed":
            yield f"{record.request_id} was interrupted by a planned stop"


@line("configuration")
def configuration_takes_effect(run: history.History) -> Iterable[str]:
    """Reports entries that reverted to an older generation or took too long to apply one."""
    accepted = [(record.at, record.generation) for record in run.of(history.ConfigurationAccepted)]
    newest: dict[str, int] = {}
    for record in run.of(history.ConfigurationObserved):
        if record.generation < newest.get(record.entry_id, 0):
            yield f"{record.entry_id} reverted to generation {record.generation}"
        newest[record.entry_id] = max(record.generation, newest.get(record.entry_id, 0))
        for at, generation in accepted:
            due_at = max(at, record.at - record.reachable_s) + CONFIGURATION_LIMIT_S
            if record.at > due_at and record.generation < generation:
                yield f"{record.entry_id} still has generation {record.generation} at {record.at}"


def _started_after_end(run: history.History) -> Iterable[str]:
    """Yields attempts that started after the end of the job's finished attempt was recorded.

    The owner acknowledges a finished attempt once its end is durable; only then does the
    worker forget it.
    """
    latest: dict[str, int] = {}
    done: dict[str, int] = {}
    for record in run.records:
        if isinstance(record, history.TaskRan):
            number = _attempt_number(record.task_id)
            if record.job_id in done:
                yield f"{record.task_id} ran after attempt {done[record.job_id]} was acknowledged"
            latest[record.job_id] = max(number, latest.get(record.job_id, 0))
        elif isinstance(record, history.TaskForgotten):
            number = _attempt_number(record.task_id)
            if number >= latest.get(record.job_id, 0):
                done[record.job_id] = number


def _changed_after_end(run: history.History) -> Iterable[str]:
    """Yields jobs whose visible state or number of attempts changed after their end."""
    ended: dict[str, history.JobObserved] = {}
    for record in run.of(history.JobObserved):
        before = ended.get(record.job_id)
        if before is not None and (record.state, record.attempts) != (
            before.state,
            before.attempts,
        ):
            yield f"{record.job_id} changed from {before.state} to {record.state or 'unknown'}"
        if record.state in ENDED_STATES:
            ended[record.job_id] = record


def _accepted_and_lost(run: history.History) -> Iterable[str]:
    """Yields accepted jobs that are unknown later, or that have not ended when the run ends."""
    last: dict[str, str] = {}
    accepted = {record.job_id for record in run.of(history.SubmissionOutcome) if record.accepted}
    for record in run.of(history.JobObserved):
        last[record.job_id] = record.state
        if record.job_id in accepted and not record.state:
            yield f"{record.job_id} was accepted and is unknown in {record.cell}"
    if run.of(history.RunEnded):
        for job_id in sorted(accepted):
            if last.get(job_id, "") not in ENDED_STATES:
                yield (
                    f"{job_id} was accepted and is {last.get(job_id, 'never observed')!r} at the end"
                )


def _entry_killed_after(run: history.History, sent: history.RequestMade) -> bool:
    """Returns whether the entry that the caller was connected to was killed after the request."""
    return any(
        killed.entry_id == sent.entry_id and killed.at >= sent.at
        for killed in run.of(history.EntryKilled)
    )


def _attempt_number(task_id: str) -> int:
    return int(task_id.rpartition("/")[2])
