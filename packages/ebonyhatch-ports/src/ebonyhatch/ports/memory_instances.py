"""In-memory instance list, for the embedded default and for tests."""

from __future__ import annotations

from ebonyhatch.ports import fault_switches, instance_directory, instances, memory_calls, timing

CALL_TIMEOUT_S = 2.0
"""Time limit of a call, seconds."""


class MemoryInstances(instances.Instances):
    """Calls an `InstanceDirectory` in this process."""

    def __init__(
        self,
        *,
        clock: timing.Clock,
        directory: instance_directory.InstanceDirectory | None = None,
        faults: fault_switches.Faults | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._directory = directory or instance_directory.InstanceDirectory(clock=clock)
        self._faults = faults or fault_switches.Faults()
        self._calls = memory_calls.MemoryCalls(clock=clock, faults=self._faults)
        self._timeout_s = timeout_s

    @property
    def directory(self) -> instance_directory.InstanceDirectory:
        """The state that this client reads and writes."""
        return self._directory

    @property
    def faults(self) -> fault_switches.Faults:
        """Faults that are injected into the calls of this client."""
        return self._faults

    def start(self) -> None:
        """Prepares for calls."""
        self._calls.start()

    def close(self) -> None:
        """Ends all calls."""
        self._calls.close()

    def list(self) -> instances.InstancesOutcome:
        """Reads the list."""
        return self._calls.call(
            effect=lambda: self._directory.list(age_s=self._faults.stale_s),
            refused=lambda reason: instances.InstancesError(reason=reason),
            unknown=lambda reason: instances.InstancesError(reason=reason),
            timeout_s=self._timeout_s,
        )
