"""Bodies of HTTP calls to the store; see docs/platform-protocol.md."""

from __future__ import annotations

import msgspec


class GetCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/get`."""

    key: str


class SwapCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/swap`; the value is encoded as base64."""

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


class VersionResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response to a swap with status 200."""

    version: int


class ConflictResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response with status 409: the key is at another version."""

    actual_version: int


class RefusedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response with status 400, or 429 or 503 on overload: the call had no effect.

    The field holds the reason.
    """

    refused: str
