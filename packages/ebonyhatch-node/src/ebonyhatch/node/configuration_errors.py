"""Errors of the configuration, each with the outcome of the operator's write."""

from __future__ import annotations

from collections.abc import Sequence

from ebonyhatch.core import commands, errors, record_changes, record_faults


class ConfigurationError(errors.EbonyhatchError):
    """Base class of errors of a configuration write or read.

    Attributes:
        outcome: Whether the write certainly had no effect.
        status: HTTP status of the response.
        kind: Short machine-readable name.
        retry_after_s: Delay after which a retry may succeed; None if waiting does not help.
    """

    outcome = commands.Outcome.NOT_RUN
    status = 503
    kind = "configuration"
    retry_after_s: float | None = None


class InvalidRecordsError(ConfigurationError):
    """The records were not accepted; nothing was written."""

    status = 422
    kind = "invalid-records"

    def __init__(self, *, faults: Sequence[record_faults.Fault]) -> None:
        inner = record_faults.RecordFaults(faults=faults)
        super().__init__(problem=inner.problem, remedy=inner.remedy)
        self.faults = inner.faults


class GenerationConflictError(ConfigurationError):
    """The generation in force is not the expected one; nothing was written."""

    status = 412
    kind = "generation-conflict"

    def __init__(
        self, *, expected: int, generation: int, changes: Sequence[record_changes.Changes]
    ) -> None:
        since = "; ".join(str(change) for change in changes)
        detail = f", with these changes: {since}" if since else ""
        super().__init__(
            problem=f"generation {generation} is in force, not {expected}{detail}",
            remedy=f"review it with `ebonyhatch records get`, then apply with "
            f"--expect {generation}",
        )
        self.expected = expected
        self.generation = generation
        self.changes = tuple(changes)


class StoreUnavailableError(ConfigurationError):
    """The store did not answer in time; nothing was written."""

    kind = "store-unavailable"
    retry_after_s = 5.0

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            problem=f"the configuration store does not answer: {reason}",
            remedy="apply again once `ebonyhatch status` shows the store as reachable",
        )
        self.reason = reason


class UnsettledError(ConfigurationError):
    """The response to a write was lost and its outcome could not be read back in time."""

    outcome = commands.Outcome.UNKNOWN
    status = 504
    kind = "unsettled"

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            problem=f"it is unknown whether the records were accepted: {reason}",
            remedy="apply the same records again: if they were accepted, this changes nothing",
        )
        self.reason = reason


class CorruptHeadError(ConfigurationError):
    """A configuration head cannot be read."""

    kind = "corrupt-head"

    def __init__(self, *, source: str, reason: str) -> None:
        super().__init__(
            problem=f"the configuration from {source} cannot be read: {reason}",
            remedy="the previous one stays in force; if the fault persists, restore the key from "
            "a backup of the platform's store",
        )
        self.source = source
        self.reason = reason


class NewerFormatError(ConfigurationError):
    """A configuration head has a format newer than this release reads."""

    kind = "newer-format"

    def __init__(self, *, source: str, head_format: int) -> None:
        super().__init__(
            problem=f"the configuration from {source} has format {head_format}, "
            "which this release does not read",
            remedy="the previous one stays in force; upgrade this entry",
        )
        self.source = source
        self.head_format = head_format


class StalePastError(ConfigurationError):
    """The store returned an older version than it returned before."""

    kind = "stale-store"

    def __init__(self, *, known_version: int, version: int) -> None:
        super().__init__(
            problem=f"the store returned version {version} of the configuration, older than "
            f"{known_version}, which it returned before",
            remedy="the newer configuration stays in force; if the fault persists, ask the "
            "platform's operators whether the store was restored from a backup",
        )
        self.known_version = known_version
        self.version = version


class TooLargeError(ConfigurationError):
    """The records exceed the store's value limit; nothing was written."""

    status = 413
    kind = "too-large"

    def __init__(self, *, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(
            problem=f"the encoded records take {size_bytes} bytes; the limit is {limit_bytes}",
            remedy="remove records that are no longer used",
        )
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class BusyError(ConfigurationError):
    """The limit of waiting writes at this entry is reached; nothing was written."""

    kind = "busy"
    retry_after_s = 2.0

    def __init__(self, *, limit: int) -> None:
        super().__init__(
            problem=f"{limit} writes already wait at this entry",
            remedy="apply again in a few seconds",
        )
        self.limit = limit
