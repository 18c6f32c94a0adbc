"""Response bodies of the administration API.

The class docstrings are published as descriptions in openapi.json.
"""

from __future__ import annotations

import msgspec
from ebonyhatch.core import commands, record_changes, record_faults
from ebonyhatch.node import (
    admin_errors,
    admin_view,
    configuration_errors,
    configuration_head,
    problems,
)
from twisted.web import server


class Records(msgspec.Struct, frozen=True, kw_only=True):
    """The records as operators wrote them, and the generation that holds them."""

    generation: int
    records: msgspec.Raw


class Written(msgspec.Struct, frozen=True, kw_only=True):
    """A set of records that is accepted; `changed` is False if it was in force already."""

    generation: int
    changed: bool


class Checked(msgspec.Struct, frozen=True, kw_only=True):
    """A set of records that would be accepted.

    Attributes:
        generation: Generation in force, against which it was compared.
        notices: What stands in it that this entry doesn't understand.
        changes: What applying it would change.
    """

    generation: int
    notices: tuple[record_faults.Fault, ...]
    changes: record_changes.Changes


class History(msgspec.Struct, frozen=True, kw_only=True):
    """The last generations, newest first."""

    generations: tuple[configuration_head.Past, ...]


class Status(admin_view.EntryStatus, frozen=True, kw_only=True):
    """The status of an entry with its configuration.

    Attributes:
        generation: Generation in force here.
        configuration_age_s: Seconds since the store last confirmed it; None if never.
        configuration_faults: Records that aren't understood here, and trouble with the store.
    """

    generation: int
    configuration_age_s: float | None
    configuration_faults: tuple[record_faults.Fault, ...]


def write(*, request: server.Request, answer: msgspec.Struct, generation: int = 0) -> bytes:
    """Encodes a response; a nonzero generation is sent as its `ETag`."""
    request.setHeader("Content-Type", "application/json")
    if generation:
        request.setHeader("ETag", f'"{generation}"')
    return msgspec.json.encode(answer)


def admin_problem(*, request: server.Request, error: admin_errors.AdminError) -> bytes:
    """Encodes an error that the operator can correct."""
    if isinstance(error, admin_errors.AccessDeniedError):
        request.setHeader("WWW-Authenticate", "Bearer")
    return problems.write(
        request=request,
        status=error.status,
        kind=error.kind,
        detail=error.problem,
        remedy=error.remedy,
        outcome=commands.Outcome.NOT_RUN,
    )


def configuration_problem(
    *, request: server.Request, error: configuration_errors.ConfigurationError
) -> bytes:
    """Encodes an error of the configuration."""
    faults: tuple[record_faults.Fault, ...] = ()
    generation = None
    if isinstance(error, configuration_errors.InvalidRecordsError):
        faults = error.faults
    if isinstance(error, configuration_errors.GenerationConflictError):
        generation = error.generation
    return problems.write(
        request=request,
        status=error.status,
        kind=error.kind,
        detail=error.problem,
        remedy=error.remedy,
        outcome=error.outcome,
        retry_after_s=error.retry_after_s,
        faults=faults,
        generation=generation,
    )
