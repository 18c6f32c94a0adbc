"""Parameters of tasks and requests on an in-memory worker, read from payloads and headers."""

from __future__ import annotations

from typing import Annotated

import msgspec
from ebonyhatch.ports import workers

WORK_SECONDS_HEADER = "x-work-s"
"""Request header: time for which the request occupies its slot, seconds."""

WORK_STATUS_HEADER = "x-work-status"
"""Request header: status of the response."""

MAX_RUN_S = 1e7
"""Upper bound of every duration that a payload or a header may request, seconds."""

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RUN_S)]


class TaskBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a task, from its payload.

    Attributes:
        run_s: Work to do, as run time at full speed, seconds.
        fail: Whether it fails once the work is done.
        checkpoint_every_s: Work between two points at which the state can be saved, seconds;
            0 if it can be saved at any point.
    """

    run_s: Seconds = 1.0
    fail: bool = False
    checkpoint_every_s: Seconds = 0.0


class RequestBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a request, from its headers."""

    work_s: Seconds = 0.0
    status: Annotated[int, msgspec.Meta(ge=200, le=599)] = 200


def of_task(payload: bytes) -> TaskBehaviour:
    """Decodes a payload; returns the defaults for one that can't be decoded."""
    try:
        return msgspec.json.decode(payload, type=TaskBehaviour)
    except msgspec.DecodeError:
        return TaskBehaviour()


def of_request(request: workers.ServiceRequest) -> RequestBehaviour:
    """Decodes the headers; returns the defaults if they can't be decoded."""
    values = {header.name.lower(): header.value for header in request.headers}
    requested = {
        "work_s": values.get(WORK_SECONDS_HEADER, "0"),
        "status": values.get(WORK_STATUS_HEADER, "200"),
    }
    try:
        return msgspec.convert(requested, type=RequestBehaviour, strict=False)
    except msgspec.ValidationError:
        return RequestBehaviour()
