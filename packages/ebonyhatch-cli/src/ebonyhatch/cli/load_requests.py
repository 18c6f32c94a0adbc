"""Requests of a load, and the outcome that each response reports."""

from __future__ import annotations

import random
import string
import uuid
from typing import Any

import msgspec
from ebonyhatch.cli import entry_client, load_plan, load_report

RESPONSE_GRACE_S = 5.0
"""Time to wait for a response beyond the timeout of the request, seconds."""

DEFAULT_TIMEOUT_S = 30.0
"""Timeout assumed for a request that states none, seconds."""

OUTCOMES = {
    "not-run": load_report.Outcome.NOT_RUN,
    "unknown": load_report.Outcome.UNKNOWN,
}


class _ProblemOutcome(msgspec.Struct, frozen=True):
    """The field of a problem document that says whether the request ran."""

    outcome: str


class LoadRequests:
    """Sends requests to one service through one entry.

    Args:
        base_url: Callers' address of the entry.
        service: Name of the service.
        http: The module `treq`, or a replacement with the same functions.
        seed: Seed of ids and bodies.
        tenant: Tenant; empty for the default one.
        timeout_ms: Timeout that requests state in their header, milliseconds; None for the
            class's deadline.
        body_bytes: Size of each body.
        keyed: Whether each request carries an idempotency key.
        verify_echo: Whether a response must contain the body that was sent.
    """

    def __init__(
        self,
        *,
        base_url: str,
        service: str,
        http: Any,
        seed: int,
        tenant: str,
        timeout_ms: int | None,
        body_bytes: int,
        keyed: bool,
        verify_echo: bool,
    ) -> None:
        self._url = f"{base_url.rstrip('/')}/v1/services/{service}/load"
        self._http = http
        self._generator = random.Random(seed)
        self._tenant = tenant
        self._timeout_ms = timeout_ms
        self._body_bytes = body_bytes
        self._keyed = keyed
        self._verify_echo = verify_echo

    async def send(self, arrival: load_plan.Arrival) -> load_report.Outcome:
        """Sends one request and returns its outcome."""
        body = self._body(arrival)
        timeout_s = (self._timeout_ms or DEFAULT_TIMEOUT_S * 1_000) / 1_000 + RESPONSE_GRACE_S
        try:
            response = await self._http.request(
                "POST", self._url, headers=self._headers(arrival), data=body, timeout=timeout_s
            )
            content = await self._http.content(response)
        except entry_client.NOT_SENT_ERRORS:
            return load_report.Outcome.NOT_RUN
        except Exception:
            return load_report.Outcome.UNKNOWN
        if response.code >= 400:
            return _error_outcome(content)
        if self._verify_echo and content != body:
            return load_report.Outcome.WRONG
        return load_report.Outcome.ANSWERED

    def _headers(self, arrival: load_plan.Arrival) -> dict[str, str]:
        headers = {"Ebonyhatch-Class": arrival.work_class}
        if self._tenant:
            headers["Ebonyhatch-Tenant"] = self._tenant
        if self._timeout_ms is not None:
            headers["Ebonyhatch-Timeout-Ms"] = str(self._timeout_ms)
        if self._keyed:
            headers["Idempotency-Key"] = uuid.UUID(int=self._generator.getrandbits(128)).hex
        return headers

    def _body(self, arrival: load_plan.Arrival) -> bytes:
        prefix = f"{arrival.work_class}/{arrival.number}/"
        padding_bytes = self._body_bytes - len(prefix)
        text = prefix + "".join(
            self._generator.choices(string.ascii_letters, k=max(0, padding_bytes))
        )
        return text.encode()


def _error_outcome(content: bytes) -> load_report.Outcome:
    try:
        outcome = msgspec.json.decode(content, type=_ProblemOutcome).outcome
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return load_report.Outcome.FAILED
    return OUTCOMES.get(outcome, load_report.Outcome.FAILED)
