"""The port to the platform's list of instances, which lags."""

from __future__ import annotations

import abc
import enum

import msgspec
from ebonyhatch.core import errors
from returns import result
from twisted.internet import defer


class InstancesError(errors.EbonyhatchError):
    """The list could not be read."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            problem=f"the instance list could not be read: {reason}",
            remedy="keep the last list and try again with backoff",
        )
        self.reason = reason


class Role(enum.StrEnum):
    """What an instance is for."""

    ENTRY = "entry"
    WORKER = "worker"


class InstanceState(enum.StrEnum):
    """State of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance.

    Attributes:
        instance_id: Unique id; a worker's or an entry's name.
        role: Entry or worker.
        state: Live or leaving; an instance that is gone is not listed.
        host: IP number.
        port: TCP port of the worker, or of the entry's peer socket.
        region: Its region.
        failure_domain: Its failure domain.
        rack: Its rack.
    """

    instance_id: str
    role: Role
    state: InstanceState
    host: str
    port: int
    region: str
    failure_domain: str
    rack: str


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """The list as it was `age_s` seconds ago."""

    instances: tuple[Instance, ...]
    age_s: float


InstancesOutcome = defer.Deferred[result.Result[InstanceList, InstancesError]]


class Instances(abc.ABC):
    """Reads the list; the Deferred always fires with a result and never fails."""

    @abc.abstractmethod
    def start(self) -> None:
        """Make ready for calls."""

    @abc.abstractmethod
    def close(self) -> None:
        """End all calls."""

    @abc.abstractmethod
    def list(self) -> InstancesOutcome:
        """Read the list."""
