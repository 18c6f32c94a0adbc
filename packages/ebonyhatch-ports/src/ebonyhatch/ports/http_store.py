"""The store over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from ebonyhatch.ports import addresses, answers, http_calls, store, store_messages
from returns import result

CALL_TIMEOUT_S = 2.0
"""Longest wait for an answer; a watch waits for its own time besides."""

REFUSED_STATUSES = frozenset({400, 404, 413, 429, 503})
"""Statuses that may say that a call had no effect."""

OVERLOAD_STATUSES = frozenset({429, 503})
"""Of these, the ones that say that the service takes no calls now."""

Read = Callable[[bytes], Any]


class HttpStore(store.Store):
    """Calls the platform's service; see docs/platform-protocol.md."""

    def __init__(
        self, *, reactor: Any, host: str, port: int, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._calls = http_calls.HttpCalls(reactor=reactor)
        self._base_url = addresses.base_url(host=host, port=port)
        self._timeout_s = timeout_s

    @property
    def calls(self) -> http_calls.HttpCalls:
        """The HTTP client."""
        return self._calls

    def start(self) -> None:
        """Make ready for calls."""
        self._calls.start()

    def close(self) -> None:
        """End all calls."""
        self._calls.close()

    def get(self, *, key: str) -> store.StoredOutcome:
        """Read a key."""
        body = store_messages.GetCall(key=key)
        return self._call("get", key, body, lambda answer: _stored(answer, key))

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Write a key that is at `expected_version`."""
        body = store_messages.SwapCall(
            key=key, expected_version=expected_version, value=value, lease_id=lease_id
        )
        return self._call("swap", key, body, _version, expected_version=expected_version)

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Answer once the key's version differs from `after_version`, or after `wait_s`."""
        body = store_messages.WatchCall(key=key, after_version=after_version, wait_s=wait_s)
        return self._call(
            "watch", key, body, lambda answer: _stored(answer, key), extra_s=max(wait_s, 0.0)
        )

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grant a new lease."""
        return self._call("grant", "lease", store_messages.GrantCall(ttl_s=ttl_s), _lease)

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renew a lease for its full time."""
        return self._call("renew", lease_id, store_messages.LeaseCall(lease_id=lease_id), _lease)

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """End a lease now."""
        return self._call("revoke", lease_id, store_messages.LeaseCall(lease_id=lease_id), _done)

    def _call(
        self,
        name: str,
        key: str,
        body: msgspec.Struct,
        read: Read,
        *,
        expected_version: int = store.ABSENT,
        extra_s: float = 0.0,
    ) -> Any:
        outcome = self._calls.call_json(
            url=f"{self._base_url}/v1/{name}", body=body, timeout_s=self._timeout_s + extra_s
        )
        return outcome.addCallback(_interpret, key, read, expected_version)


def _interpret(
    outcome: result.Result[http_calls.Answer, http_calls.CallError],
    key: str,
    read: Read,
    expected_version: int,
) -> Any:
    if isinstance(outcome, result.Failure):
        error = outcome.failure()
        if error.sent:
            return result.Failure(store.UnknownError(key=key, reason=error.reason))
        return result.Failure(store.RefusedError(key=key, reason=error.reason, unavailable=True))
    answer = outcome.unwrap()
    try:
        return _value(answer, key, read, expected_version)
    except answers.BadAnswerError as error:
        return result.Failure(store.UnknownError(key=key, reason=str(error)))


def _value(answer: http_calls.Answer, key: str, read: Read, expected_version: int) -> Any:
    if answer.status == 200:
        return result.Success(read(answer.body))
    if answer.status == 409:
        conflict = answers.decode(answer.body, store_messages.ConflictAnswer)
        actual = answers.check_count(conflict.actual_version, "actual_version")
        return result.Failure(
            store.ConflictError(key=key, expected_version=expected_version, actual_version=actual)
        )
    if answer.status in REFUSED_STATUSES:
        refused = answers.decode(answer.body, store_messages.RefusedAnswer)
        overload = answer.status in OVERLOAD_STATUSES
        return result.Failure(
            store.RefusedError(key=key, reason=refused.refused, unavailable=overload)
        )
    raise answers.BadAnswerError(f"status {answer.status}")


def _stored(body: bytes, key: str) -> store.Stored:
    stored = answers.decode(body, store.Stored)
    answers.check_count(stored.version, "version")
    if stored.key != key:
        raise answers.BadAnswerError(f"the answer is about {stored.key}")
    return stored


def _version(body: bytes) -> int:
    version = answers.decode(body, store_messages.VersionAnswer).version
    if version == store.ABSENT:
        raise answers.BadAnswerError("a written key is never absent")
    return answers.check_count(version, "version")


def _lease(body: bytes) -> store.Lease:
    lease = answers.decode(body, store.Lease)
    answers.check_amounts(lease)
    if not lease.lease_id or lease.ttl_s <= 0:
        raise answers.BadAnswerError("a lease needs an id and a time")
    return lease


def _done(body: bytes) -> None:
    answers.decode(body, answers.Done)
