"""HTTP calls to one entry."""

from __future__ import annotations

from typing import Any

import msgspec
from ebonyhatch.cli import cli_errors, exit_codes
from ebonyhatch.core import record_faults
from twisted.internet import error

TIMEOUT_S = 60.0
"""Longest wait for an answer; a write at the entry may take half of it."""

CONFLICT_STATUSES = frozenset({409, 412})
UNKNOWN_STATUS = 504
UNAVAILABLE_STATUS = 503

NOT_SENT = (
    error.ConnectionRefusedError,
    error.ConnectError,
    error.DNSLookupError,
    error.NoRouteError,
)
"""Errors after which certainly nothing reached the entry."""


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer that isn't an error."""

    status: int
    body: bytes


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a problem document that are shown."""

    detail: str
    remedy: str
    faults: tuple[record_faults.Fault, ...] = ()


class EntryClient:
    """Calls one entry.

    Args:
        base_url: Address of the entry, e.g. `http://127.0.0.1:7110`.
        token: Operator's bearer token; empty for none.
        http: The module `treq`, or what stands in for it.
        timeout_s: Longest wait for an answer.
    """

    def __init__(
        self, *, base_url: str, token: str, http: Any, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._token = token
        self._http = http
        self._timeout_s = timeout_s

    async def call(self, method: str, path: str, *, body: bytes | None = None) -> Answer:
        """Make one call.

        Raises:
            cli_errors.CliError: When there is no good answer; its exit code says what is known.
        """
        url = self._base_url + path
        try:
            response = await self._http.request(
                method, url, headers=self._headers(body), data=body, timeout=self._timeout_s
            )
            content = await self._http.content(response)
        except NOT_SENT as reason:
            raise cli_errors.UnreachableError(url=url, reason=str(reason)) from reason
        except Exception as reason:
            lost = str(reason) or type(reason).__name__
            raise cli_errors.AnswerLostError(url=url, reason=lost) from reason
        if response.code >= 400:
            raise _problem(url=url, status=response.code, body=content)
        return Answer(status=response.code, body=content)

    def _headers(self, body: bytes | None) -> dict[str, str]:
        headers = {"Accept": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if body is not None:
            headers["Content-Type"] = "application/json"
        return headers


def decode(answer: Answer, kind: Any) -> Any:
    """Decode the body of an answer.

    Raises:
        cli_errors.NotAnEntryError: When it has another form.
    """
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as reason:
        raise cli_errors.NotAnEntryError(url="the entry", status=answer.status) from reason


def _problem(*, url: str, status: int, body: bytes) -> cli_errors.CliError:
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return cli_errors.NotAnEntryError(url=url, status=status)
    return cli_errors.ProblemError(
        status=status,
        detail=problem.detail,
        remedy=problem.remedy,
        exit_code=_exit_code(status),
        faults=problem.faults,
    )


def _exit_code(status: int) -> int:
    if status in CONFLICT_STATUSES:
        return exit_codes.CONFLICT
    if status == UNAVAILABLE_STATUS:
        return exit_codes.UNAVAILABLE
    if status >= 500:
        return exit_codes.UNKNOWN
    return exit_codes.REFUSED
