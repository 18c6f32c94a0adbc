"""Headers and bodies of HTTP calls to a worker; see docs/platform-protocol.md."""

from __future__ import annotations

import msgspec
from ebonyhatch.ports import workers

EPOCH_HEADER = "Ebonyhatch-Epoch"
"""Header of a forwarded request: epoch of the worker's cell."""

NOT_RUN_HEADER = "Ebonyhatch-Not-Run"
"""Header of a response by the worker itself: reason for which the request was not run."""

NEWEST_EPOCH_HEADER = "Ebonyhatch-Newest-Epoch"
"""Header of a response by the worker itself: newest epoch, when the presented one is older."""


class ClaimCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/claim`."""

    epoch: int


class StartCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/start`."""

    epoch: int
    order: workers.TaskOrder


class RenewCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/renew`."""

    epoch: int
    lease_s: float
    acknowledged: tuple[str, ...] = ()


class TaskCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/checkpoint` and `POST /v1/stop`."""

    epoch: int
    task_id: str


class ThrottleCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /v1/throttle`; `share` is the fraction of full speed."""

    epoch: int
    task_id: str
    share: float


class StaleEpochResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response with status 409: the epoch is older than the newest seen."""

    newest_epoch: int


class NotRunResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a response with status 400 or 503: the call had no effect; holds the reason."""

    not_run: str
