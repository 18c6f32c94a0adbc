"""Decodes a job submission and validates it against the configuration in force."""

from __future__ import annotations

import uuid
from typing import Annotated

import msgspec
from ebonyhatch.core import configuration, entities, resources
from ebonyhatch.node import caller_errors, service_calls
from returns import result

JOB_ID_PATTERN = r"^[A-Za-z0-9._-]{1,100}$"
"""Pattern of job ids. They have no slash: an attempt id is the job id, a slash and a number."""

PAYLOAD_LIMIT_BYTES = 100_000
"""Maximum payload size, bytes; payloads are stored in the journal, whose values are limited."""

MAX_AMOUNT = 1_000_000


class DemandBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """`demand` of a submission: the amounts of resources that the job declares to use."""

    slots: int = 1
    connections: int = 0
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


class JobBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Body of `POST /v1/jobs`; `payload` is base64 text or any JSON object."""

    work_class: str = msgspec.field(name="class")
    job_id: Annotated[str, msgspec.Meta(pattern=JOB_ID_PATTERN)] | None = None
    tenant: str = ""
    demand: DemandBody | None = None
    expected_run_s: float | None = None
    payload: str | dict[str, object] = ""


class JobResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A job in responses to callers; `result` is encoded as base64 text."""

    job_id: str
    state: str
    attempts: int
    evictions: int
    progress_s: float
    result: bytes
    reason: str


def read(
    *, body: bytes, in_force: configuration.InForce
) -> result.Result[entities.Job, caller_errors.CallerError]:
    """Decodes and validates a submission.

    Args:
        body: The submitted JSON.
        in_force: The configuration to validate against.

    Returns:
        The job, with a new id if none was given, or the error to respond with.
    """
    try:
        return result.Success(_read(body, in_force))
    except caller_errors.CallerError as error:
        return result.Failure(error)


def _read(body: bytes, in_force: configuration.InForce) -> entities.Job:
    submitted = _decode(body)
    work_class = _batch_class(submitted.work_class, in_force)
    return entities.Job(
        job_id=submitted.job_id or uuid.uuid4().hex,
        work_class=work_class.name,
        tenant=service_calls.read_tenant(submitted.tenant, in_force),
        demand=_demand(submitted.demand, work_class),
        expected_run_s=_run_s(submitted.expected_run_s, work_class),
        payload=_payload(submitted.payload),
    )


def _decode(body: bytes) -> JobBody:
    try:
        return msgspec.json.decode(body, type=JobBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise caller_errors.MalformedJobError(problem=str(error)) from error


def _batch_class(name: str, in_force: configuration.InForce) -> entities.WorkClass:
    batch = {
        candidate.name: candidate
        for candidate in in_force.classes
        if candidate.urgency is entities.Urgency.BATCH
    }
    if name not in batch:
        raise caller_errors.UnknownClassError(work_class=name, offered=sorted(batch))
    return batch[name]


def _demand(body: DemandBody | None, work_class: entities.WorkClass) -> resources.Resources:
    if body is None:
        return work_class.demand
    amounts = msgspec.structs.asdict(body)
    for name, amount in amounts.items():
        if not 0 <= amount <= MAX_AMOUNT:
            raise caller_errors.MalformedJobError(
                problem=f"demand.{name} is {amount}, not from 0 to {MAX_AMOUNT}"
            )
    if body.slots < 1:
        raise caller_errors.MalformedJobError(problem="demand.slots is less than 1")
    return resources.Resources(**amounts)


def _run_s(declared: float | None, work_class: entities.WorkClass) -> float:
    if declared is None:
        return work_class.expected_run_s
    if not 0 < declared < float("inf"):
        raise caller_errors.MalformedJobError(problem=f"expected_run_s is {declared}")
    return declared


def _payload(payload: str | dict[str, object]) -> bytes:
    raw = msgspec.json.encode(payload) if isinstance(payload, dict) else _from_base64(payload)
    if len(raw) > PAYLOAD_LIMIT_BYTES:
        raise caller_errors.MalformedJobError(
            problem=f"payload has {len(raw)} bytes, over {PAYLOAD_LIMIT_BYTES}"
        )
    return raw


def _from_base64(text: str) -> bytes:
    try:
        return msgspec.convert(text, type=bytes)
    except msgspec.ValidationError as error:
        raise caller_errors.MalformedJobError(problem="payload is not base64") from error
