"""Bodies of the store's HTTP calls; see docs/platform-protocol.md."""

from __future__ import annotations

import msgspec


class GetCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/get`."""

    key: str


class SwapCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/swap`; the value travels as base64."""

    key: str
    expected_version: int
    value: bytes
    lease_id: str = ""


class WatchCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/watch`."""

    key: str
    after_version: int
    wait_s: float


class GrantCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/grant`."""

    ttl_s: float


class LeaseCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/renew` and `POST /v1/revoke`."""

    lease_id: str


class VersionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a swap, status 200."""

    version: int


class ConflictAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The key is at another version, status 409."""

    actual_version: int


class RefusedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The call had no effect, status 400; 429 or 503 when overloaded."""

    refused: str
