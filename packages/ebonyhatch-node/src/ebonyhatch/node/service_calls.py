"""Converts a caller's HTTP request into a call for a cell, using the configuration in force."""

from __future__ import annotations

import uuid
from collections.abc import Sequence

import msgspec
from ebonyhatch.core import configuration, entities
from ebonyhatch.node import caller_errors, messages
from ebonyhatch.ports import header_rules, workers
from returns import result

CLASS_HEADER = "ebonyhatch-class"
TENANT_HEADER = "ebonyhatch-tenant"
TIMEOUT_HEADER = "ebonyhatch-timeout-ms"
KEY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "Ebonyhatch-Request-Id"
DEFAULT_TENANT = "default"
KEY_LIMIT_CHARACTERS = 200
MAX_TIMEOUT_MS = 3_600_000
MS_PER_S = 1000.0

_OWN_HEADERS = frozenset({CLASS_HEADER, TENANT_HEADER, TIMEOUT_HEADER, KEY_HEADER})
Headers = Sequence[workers.Header]


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as received over HTTP; `path` is the undecoded URI after the service name."""

    service: str
    method: str
    path: str
    headers: tuple[workers.Header, ...]
    body: bytes


def read(
    *, request: CallerRequest, in_force: configuration.InForce
) -> result.Result[messages.RequestCall, caller_errors.CallerError]:
    """Validates a request; the cell stays empty until the router chooses it.

    Args:
        request: The request as received over HTTP.
        in_force: The configuration to validate against.

    Returns:
        The call with a new request id, or the first error found.
    """
    try:
        return result.Success(_read(request, in_force))
    except caller_errors.CallerError as error:
        return result.Failure(error)


def _read(request: CallerRequest, in_force: configuration.InForce) -> messages.RequestCall:
    service = _service(request.service, in_force)
    if len(request.body) > service.body_limit_bytes:
        raise caller_errors.BodyTooLargeError(limit_bytes=service.body_limit_bytes)
    work_class = _work_class(request.headers, service, in_force)
    return messages.RequestCall(
        cell="",
        request=workers.ServiceRequest(
            request_id=uuid.uuid4().hex,
            service=service.name,
            method=request.method,
            path=request.path,
            headers=_forwarded_headers(request.headers),
            body=request.body,
            timeout_s=_timeout_s(request.headers, work_class),
        ),
        work_class=work_class.name,
        tenant=read_tenant(_single_value(request.headers, TENANT_HEADER), in_force),
        idempotent=work_class.idempotent,
        idempotency_key=_key(request.headers),
    )


def _service(name: str, in_force: configuration.InForce) -> configuration.Service:
    for service in in_force.services:
        if service.name == name:
            return service
    raise caller_errors.UnknownServiceError(service=name)


def _work_class(
    headers: Headers, service: configuration.Service, in_force: configuration.InForce
) -> entities.WorkClass:
    name = _single_value(headers, CLASS_HEADER) or service.default_class
    offered = {
        candidate.name: candidate
        for candidate in in_force.classes
        if candidate.name in service.work_classes
    }
    if name not in offered:
        raise caller_errors.UnknownClassError(work_class=name, offered=sorted(offered))
    return offered[name]


def read_tenant(name: str, in_force: configuration.InForce) -> str:
    """Returns a validated tenant name; an empty one stands for the default tenant.

    Raises:
        UnknownTenantError: If no record describes the tenant.
    """
    if not name:
        return DEFAULT_TENANT
    if name not in {tenant.name for tenant in in_force.tenants}:
        raise caller_errors.UnknownTenantError(tenant=name)
    return name


def _single_value(headers: Headers, name: str) -> str:
    values = [header.value for header in headers if header.name.lower() == name]
    if len(values) > 1:
        raise caller_errors.HeaderError(
            name=name, problem=f"was sent {len(values)} times", remedy="send it once"
        )
    return values[0].strip() if values else ""


def _timeout_s(headers: Headers, work_class: entities.WorkClass) -> float:
    text = _single_value(headers, TIMEOUT_HEADER)
    if not text:
        return work_class.deadline_s
    if not (
        text.isascii() and text.isdigit() and len(text) <= 7 and 0 < int(text) <= MAX_TIMEOUT_MS
    ):
        raise caller_errors.HeaderError(
            name=TIMEOUT_HEADER,
            problem=f"is {text[:40]!r}",
            remedy=f"send whole milliseconds from 1 to {MAX_TIMEOUT_MS}",
        )
    return int(text) / MS_PER_S


def _key(headers: Headers) -> str:
    key = _single_value(headers, KEY_HEADER)
    if len(key) > KEY_LIMIT_CHARACTERS:
        raise caller_errors.HeaderError(
            name=KEY_HEADER,
            problem=f"has {len(key)} characters",
            remedy=f"use at most {KEY_LIMIT_CHARACTERS}",
        )
    return key


def _forwarded_headers(headers: Headers) -> tuple[workers.Header, ...]:
    forwarded = header_rules.end_to_end(headers)
    return tuple(header for header in forwarded if header.name.lower() not in _OWN_HEADERS)
