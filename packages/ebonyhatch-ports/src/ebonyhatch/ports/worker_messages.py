"""Bodies of a worker's HTTP calls; see docs/platform-protocol.md."""

from __future__ import annotations

import msgspec
from ebonyhatch.ports import workers

EPOCH_HEADER = "Ebonyhatch-Epoch"
"""Header of a forwarded request: epoch of the worker's cell."""

NOT_RUN_HEADER = "Ebonyhatch-Not-Run"
"""Header of an answer by the worker itself: the request was not run, and why."""

NEWEST_EPOCH_HEADER = "Ebonyhatch-Newest-Epoch"
"""Header of an answer by the worker itself: the presented epoch is older than this one."""


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
    """Body of `POST /v1/throttle`."""

    epoch: int
    task_id: str
    share: float


class StaleAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The epoch is older than the newest seen, status 409."""

    newest_epoch: int


class NotRunAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The call had no effect, status 400 or 503."""

    not_run: str
