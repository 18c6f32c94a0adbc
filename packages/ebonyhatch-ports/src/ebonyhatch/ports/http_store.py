"""Store over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from ebonyhatch.ports import addresses, answers, http_calls, store, store_messages
from returns import result

CALL_TIMEOUT_S = 2.0
"""Time limit of a call, seconds; a watch adds its own waiting time."""

REFUSED_STATUSES = frozenset({400, 404, 413, 429, 503})
"""Statuses of responses that may report a call without effect."""

OVERLOAD_STATUSES = frozenset({429, 503})
"""Those of `REFUSED_STATUSES` that mean that the service accepts no calls at present."""

BodyDecoder = Callable[[bytes], Any]


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
        """Prepares for calls."""
        self._calls.start()

    def close(self) -> None:
        """Ends all calls."""
        self._calls.close()

    def get(self, *, key: str) -> store.StoredOutcome:
        """Reads a key."""
        body = store_messages.GetCall(key=key)
        return self._call("get", key, body, lambda encoded: _stored(encoded, key))

    def swap(
        self, *, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> store.VersionOutcome:
        """Writes a key if it is at `expected_version`."""
        body = store_messages.SwapCall(
            key=key, expected_version=expected_version, value=value, lease_id=lease_id
        )
        return self._call("swap", key, body, _version, expected_version=expected_version)

    def watch(self, *, key: str, after_version: int, wait_s: float) -> store.StoredOutcome:
        """Returns the key's value once its version differs from `after_version`, or after `wait_s`."""
        body = store_messages.WatchCall(key=key, after_version=after_version, wait_s=wait_s)
        return self._call(
            "watch", key, body, lambda encoded: _stored(encoded, key), extra_s=max(wait_s, 0.0)
        )

    def grant(self, *, ttl_s: float) -> store.LeaseOutcome:
        """Grants a new lease."""
        return self._call("grant", "lease", store_messages.GrantCall(ttl_s=ttl_s), _lease)

    def renew(self, *, lease_id: str) -> store.LeaseOutcome:
        """Renews a lease for its full duration."""
        return self._call("renew", lease_id, store_messages.LeaseCall(lease_id=lease_id), _lease)

    def revoke(self, *, lease_id: str) -> store.DoneOutcome:
        """Ends a lease immediately."""
        return self._call("revoke", lease_id, store_messages.LeaseCall(lease_id=lease_id), _done)

    def _call(
        self,
        name: str,
        key: str,
        body: msgspec.Struct,
        decode: BodyDecoder,
        *,
        expected_version: int = store.ABSENT,
        extra_s: float = 0.0,
    ) -> Any:
        outcome = self._calls.call_json(
            url=f"{self._base_url}/v1/{name}", body=body, timeout_s=self._timeout_s + extra_s
        )
        return outcome.addCallback(_interpret, key, decode, expected_version)


def _interpret(
    outcome: result.Result[http_calls.Response, http_calls.CallError],
    key: str,
    decode: BodyDecoder,
    expected_version: int,
) -> Any:
    if isinstance(outcome, result.Failure):
        error = outcome.failure()
        if error.sent:
            return result.Failure(store.UnknownError(key=key, reason=error.reason))
        return result.Failure(store.RefusedError(key=key, reason=error.reason, unavailable=True))
    response = outcome.unwrap()
    try:
        return _value(response, key, decode, expected_version)
    except answers.BadAnswerError as error:
        return result.Failure(store.UnknownError(key=key, reason=str(error)))


def _value(
    response: http_calls.Response, key: str, decode: BodyDecoder, expected_version: int
) -> Any:
    if response.status == 200:
        return result.Success(decode(response.body))
    if response.status == 409:
        conflict = answers.decode(response.body, store_messages.ConflictResponse)
        actual = answers.check_count(conflict.actual_version, "actual_version")
        return result.Failure(
            store.ConflictError(key=key, expected_version=expected_version, actual_version=actual)
        )
    if response.status in REFUSED_STATUSES:
        refused = answers.decode(response.body, store_messages.RefusedResponse)
        overload = response.status in OVERLOAD_STATUSES
        return result.Failure(
            store.RefusedError(key=key, reason=refused.refused, unavailable=overload)
        )
    raise answers.BadAnswerError(f"unexpected status {response.status}")


def _stored(body: bytes, key: str) -> store.Stored:
    stored = answers.decode(body, store.Stored)
    answers.check_count(stored.version, "version")
    if stored.key != key:
        raise answers.BadAnswerError(f"the response is for key {stored.key}")
    return stored


def _version(body: bytes) -> int:
    version = answers.decode(body, store_messages.VersionResponse).version
    if version == store.ABSENT:
        raise answers.BadAnswerError("the version of a written key is the one of an absent key")
    return answers.check_count(version, "version")


def _lease(body: bytes) -> store.Lease:
    lease = answers.decode(body, store.Lease)
    answers.check_amounts(lease)
    if not lease.lease_id or lease.ttl_s <= 0:
        raise answers.BadAnswerError("the lease has no id or no positive duration")
    return lease


def _done(body: bytes) -> None:
    answers.decode(body, answers.Done)
