"""The port to the platform's list of instances, which lags behind their actual state."""

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
            remedy="continue with the last list and try again with backoff",
        )
        self.reason = reason


class Role(enum.StrEnum):
    """Role of an instance: an entry runs the daemon, a worker runs tasks and requests."""

    ENTRY = "entry"
    WORKER = "worker"


class InstanceState(enum.StrEnum):
    """State of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance.

    Attributes:
        instance_id: Unique id, which also names the worker or the entry.
        role: Entry or worker.
        state: Live or leaving; a removed instance is not listed.
        host: IP address.
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
        """Prepares for calls."""

    @abc.abstractmethod
    def close(self) -> None:
        """Ends all calls."""

    @abc.abstractmethod
    def list(self) -> InstancesOutcome:
        """Reads the list."""
