"""Errors of the configuration, each with what it means for the operator's write."""

from __future__ import annotations

from collections.abc import Sequence

from ebonyhatch.core import commands, errors, record_changes, record_faults


class ConfigurationError(errors.EbonyhatchError):
    """Base of what a write or a read of the configuration may answer instead of a value.

    Attributes:
        outcome: Whether the write certainly took no effect.
        status: HTTP status of the answer.
        kind: Short machine-readable name.
        retry_after_s: When a new try may succeed; None if that isn't a matter of time.
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
    """Another generation than the expected one is in force; nothing was written."""

    status = 412
    kind = "generation-conflict"

    def __init__(
        self, *, expected: int, generation: int, changes: Sequence[record_changes.Changes]
    ) -> None:
        since = "; ".join(str(change) for change in changes)
        detail = f", which brought: {since}" if since else ""
        super().__init__(
            problem=f"generation {generation} is in force, not {expected}{detail}",
            remedy=f"look at it with `ebonyhatch records get`, then apply with "
            f"--expect {generation}",
        )
        self.expected = expected
        self.generation = generation
        self.changes = tuple(changes)


class StoreUnavailableError(ConfigurationError):
    """The store couldn't be reached in time; nothing was written."""

    kind = "store-unavailable"
    retry_after_s = 5.0

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            problem=f"the configuration store doesn't answer: {reason}",
            remedy="apply again once `ebonyhatch status` shows the store as reachable",
        )
        self.reason = reason


class UnsettledError(ConfigurationError):
    """A write's answer was lost and couldn't be read back in time."""

    outcome = commands.Outcome.UNKNOWN
    status = 504
    kind = "unsettled"

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            problem=f"it is not known whether the records were accepted: {reason}",
            remedy="apply the same records again: if they were accepted, that changes nothing",
        )
        self.reason = reason


class CorruptHeadError(ConfigurationError):
    """A configuration head can't be read."""

    kind = "corrupt-head"

    def __init__(self, *, source: str, reason: str) -> None:
        super().__init__(
            problem=f"the configuration from {source} can't be read: {reason}",
            remedy="the last one stays in force; if it persists, restore the key from a backup "
            "of the platform's store",
        )
        self.source = source
        self.reason = reason


class NewerFormatError(ConfigurationError):
    """A configuration head was written by a release newer than this one."""

    kind = "newer-format"

    def __init__(self, *, source: str, head_format: int) -> None:
        super().__init__(
            problem=f"the configuration from {source} has format {head_format}, "
            "which this release doesn't read",
            remedy="the last one stays in force; upgrade this entry",
        )
        self.source = source
        self.head_format = head_format


class StalePastError(ConfigurationError):
    """The store answers with less than is known already."""

    kind = "stale-store"

    def __init__(self, *, known_version: int, version: int) -> None:
        super().__init__(
            problem=f"the store answers version {version} of the configuration, older than "
            f"{known_version}, which it gave before",
            remedy="nothing reverts; if it lasts, ask the platform whether the store was restored "
            "from a backup",
        )
        self.known_version = known_version
        self.version = version


class TooLargeError(ConfigurationError):
    """The records don't fit the store's value limit; nothing was written."""

    status = 413
    kind = "too-large"

    def __init__(self, *, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(
            problem=f"the records take {size_bytes} bytes of at most {limit_bytes}",
            remedy="remove records that are not used any more",
        )
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class BusyError(ConfigurationError):
    """Too many writes wait at this entry; nothing was written."""

    kind = "busy"
    retry_after_s = 2.0

    def __init__(self, *, limit: int) -> None:
        super().__init__(
            problem=f"{limit} writes wait at this entry already",
            remedy="apply again in a few seconds",
        )
        self.limit = limit
