"""The newest configuration known to this entry; its generation never decreases."""

from __future__ import annotations

import math
from collections.abc import Callable

import eliot
from ebonyhatch.core import configuration, record_faults, records
from ebonyhatch.node import configuration_errors, configuration_head, logs
from ebonyhatch.ports import timing
from returns import result

OnChange = Callable[[configuration.InForce], None]


class Current:
    """Receives heads from the store and from peers and puts newer ones in force.

    Args:
        clock: Source of time.
        on_change: Called with each configuration that comes into force.
    """

    def __init__(self, *, clock: timing.Clock, on_change: OnChange) -> None:
        self._clock = clock
        self._on_change = on_change
        self._raw = b""
        self._head: configuration_head.Head | None = None
        self._records = records.RecordSet()
        self._in_force = configuration.EMPTY
        self._fault: record_faults.Fault | None = None
        self._confirmed_at_s = -math.inf
        self._publishing_paused = False

    @property
    def raw(self) -> bytes:
        """Encoded head; empty before the first."""
        return self._raw

    @property
    def head(self) -> configuration_head.Head | None:
        """Decoded head, or None before the first."""
        return self._head

    @property
    def generation(self) -> int:
        """Generation of the head; 0 before the first."""
        return 0 if self._head is None else self._head.generation

    @property
    def in_force(self) -> configuration.InForce:
        """Configuration in force."""
        return self._in_force

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the configuration; infinite before the first."""
        return self._clock.seconds() - self._confirmed_at_s

    @property
    def faults(self) -> tuple[record_faults.Fault, ...]:
        """Current fault, if any, and the notices about records that are not understood."""
        own = () if self._fault is None else (self._fault,)
        return (*own, *self._records.notices)

    def pause_publishing(self) -> None:
        """Stores newer heads without putting them in force until `resume_publishing`."""
        self._publishing_paused = True

    def resume_publishing(self) -> None:
        """Puts the newest head in force, and each newer one from now on."""
        self._publishing_paused = False
        self._publish()

    def record_confirmation(self) -> None:
        """Records that the store has just confirmed the head as its newest; clears the fault."""
        self._confirmed_at_s = self._clock.seconds()
        self._fault = None

    def record_fault(self, error: configuration_errors.ConfigurationError) -> None:
        """Records an error as the current fault until the store next confirms the head."""
        fault = record_faults.Fault(
            path=configuration_head.KEY, record="", problem=error.problem, remedy=error.remedy
        )
        if fault != self._fault:
            logs.write_error("configuration fault", error=error)
        self._fault = fault

    def take(self, raw: bytes, *, source: str) -> configuration_head.Decoded:
        """Puts a head in force if it is newer; records a fault if it cannot be read.

        Returns:
            The decoded head, whether or not it was newer.
        """
        if raw == self._raw and self._head is not None:
            return result.Success(self._head)
        decoded = configuration_head.decode(raw, source=source)
        if not isinstance(decoded, result.Success):
            self.record_fault(decoded.failure())
            return decoded
        head = decoded.unwrap()
        if self._is_newer(head):
            self._replace(raw=raw, head=head, source=source)
        return decoded

    def _is_newer(self, head: configuration_head.Head) -> bool:
        return head.generation > self.generation

    def _replace(self, *, raw: bytes, head: configuration_head.Head, source: str) -> None:
        self._raw = raw
        self._head = head
        self._records = records.read_accepted(bytes(head.records), previous=self._records)
        logs.write("configuration newer", generation=head.generation, source=source)
        if not self._publishing_paused:
            self._publish()

    def _publish(self) -> None:
        if self.generation == self._in_force.generation:
            return
        self._in_force = records.in_force(self._records, self.generation)
        try:
            self._on_change(self._in_force)
        except Exception:  # noqa: BLE001
            eliot.write_traceback()
