"""HTTP calls to one entry."""

from __future__ import annotations

from typing import Any

import msgspec
from ebonyhatch.cli import cli_errors, exit_codes
from ebonyhatch.core import record_faults
from twisted.internet import error

TIMEOUT_S = 60.0
"""Maximum wait for a response, seconds; a write at the entry may take half of this time."""

CONFLICT_STATUSES = frozenset({409, 412})
UNKNOWN_STATUS = 504
UNAVAILABLE_STATUS = 503

NOT_SENT_ERRORS = (
    error.ConnectionRefusedError,
    error.ConnectError,
    error.DNSLookupError,
    error.NoRouteError,
)
"""Errors after which it is certain that nothing reached the entry."""


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response that isn't an error."""

    status: int
    body: bytes


class ProblemDetails(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a problem document that the command line prints."""

    detail: str
    remedy: str
    faults: tuple[record_faults.Fault, ...] = ()


class EntryClient:
    """Sends requests to one entry.

    Args:
        base_url: Address of the entry, e.g. `http://127.0.0.1:7110`.
        token: Operator's bearer token; empty for none.
        http: The module `treq`, or a replacement with the same functions.
        timeout_s: Maximum wait for a response, seconds.
    """

    def __init__(
        self, *, base_url: str, token: str, http: Any, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._token = token
        self._http = http
        self._timeout_s = timeout_s

    async def call(self, method: str, path: str, *, body: bytes | None = None) -> Response:
        """Sends one request and returns the response.

        Raises:
            cli_errors.CliError: When no successful response arrived; its exit code says whether
                the request may have taken effect.
        """
        url = self._base_url + path
        try:
            response = await self._http.request(
                method, url, headers=self._headers(body), data=body, timeout=self._timeout_s
            )
            content = await self._http.content(response)
        except NOT_SENT_ERRORS as reason:
            raise cli_errors.UnreachableError(url=url, reason=str(reason)) from reason
        except Exception as reason:
            message = str(reason) or type(reason).__name__
            raise cli_errors.AnswerLostError(url=url, reason=message) from reason
        if response.code >= 400:
            raise _problem_error(url=url, status=response.code, body=content)
        return Response(status=response.code, body=content)

    def _headers(self, body: bytes | None) -> dict[str, str]:
        headers = {"Accept": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if body is not None:
            headers["Content-Type"] = "application/json"
        return headers


def decode(response: Response, response_type: Any) -> Any:
    """Decodes the body of a response.

    Raises:
        cli_errors.NotAnEntryError: When the body has another format.
    """
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as reason:
        raise cli_errors.NotAnEntryError(url="the entry", status=response.status) from reason


def _problem_error(*, url: str, status: int, body: bytes) -> cli_errors.CliError:
    try:
        problem = msgspec.json.decode(body, type=ProblemDetails)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return cli_errors.NotAnEntryError(url=url, status=status)
    return cli_errors.ProblemError(
        status=status,
        detail=problem.detail,
        remedy=problem.remedy,
        exit_code=_exit_code_for_status(status),
        faults=problem.faults,
    )


def _exit_code_for_status(status: int) -> int:
    if status in CONFLICT_STATUSES:
        return exit_codes.CONFLICT
    if status == UNAVAILABLE_STATUS:
        return exit_codes.UNAVAILABLE
    if status >= 500:
        return exit_codes.UNKNOWN
    return exit_codes.REFUSED
