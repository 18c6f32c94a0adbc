"""How a task or a request behaves on a worker in memory."""

from __future__ import annotations

from typing import Annotated

import msgspec
from ebonyhatch.ports import workers

WORK_SECONDS_HEADER = "x-work-s"
"""Request header: time for which the request holds its slot, seconds."""

WORK_STATUS_HEADER = "x-work-status"
"""Request header: status of the answer."""

LONGEST_RUN_S = 1e7
"""Longest run time that a payload may ask for."""

Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=LONGEST_RUN_S)]


class TaskBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """What a task's payload asks for.

    Attributes:
        run_s: Work to be done at full speed, seconds.
        fail: Whether it fails once the work is done.
        checkpoint_every_s: Work between two points that a checkpoint can keep; 0 for any point.
    """

    run_s: Seconds = 1.0
    fail: bool = False
    checkpoint_every_s: Seconds = 0.0


class RequestBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """What a request's headers ask for."""

    work_s: Seconds = 0.0
    status: Annotated[int, msgspec.Meta(ge=200, le=599)] = 200


def of_task(payload: bytes) -> TaskBehaviour:
    """Read a payload; one that can't be read asks for nothing special."""
    try:
        return msgspec.json.decode(payload, type=TaskBehaviour)
    except msgspec.DecodeError:
        return TaskBehaviour()


def of_request(request: workers.ServiceRequest) -> RequestBehaviour:
    """Read the headers; ones that can't be read ask for nothing special."""
    values = {header.name.lower(): header.value for header in request.headers}
    asked = {
        "work_s": values.get(WORK_SECONDS_HEADER, "0"),
        "status": values.get(WORK_STATUS_HEADER, "200"),
    }
    try:
        return msgspec.convert(asked, type=RequestBehaviour, strict=False)
    except msgspec.ValidationError:
        return RequestBehaviour()
