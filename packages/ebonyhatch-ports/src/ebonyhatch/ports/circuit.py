"""A circuit breaker: after repeated failures, allows one probe at a time until one succeeds."""

from __future__ import annotations

from typing import Protocol

import automat
from ebonyhatch.ports import backoff as backoff_module
from ebonyhatch.ports import timing

FAILURES_LIMIT = 3
"""Consecutive failures that open the circuit."""


class _Inputs(Protocol):
    """Inputs of the state machine."""

    def allows(self) -> bool:
        """Returns whether a call may be made now; in the open state it becomes the probe."""

    def is_open(self) -> bool:
        """Returns whether calls other than probes are refused."""

    def trip(self) -> None:
        """Records that the limit of consecutive failures was reached."""

    def probe(self) -> None:
        """Records that a call is made as the probe."""

    def probe_succeeded(self) -> None:
        """Records that the probe succeeded."""

    def probe_failed(self) -> None:
        """Records that the probe failed."""


class _Core:
    """Data of the state machine."""

    def __init__(self, *, clock: timing.Clock, backoff: backoff_module.Backoff) -> None:
        self.clock = clock
        self.backoff = backoff
        self.probe_at = 0.0

    def delay_probe(self) -> None:
        """Delays the next probe by the backoff."""
        self.probe_at = self.clock.seconds() + self.backoff.next_s()


_builder = automat.TypeMachineBuilder(_Inputs, _Core)
_closed = _builder.state("closed")
_open = _builder.state("open")
_probing = _builder.state("probing")

for _state in (_open, _probing):
    _state.upon(_Inputs.trip).loop().returns(None)
    _state.upon(_Inputs.is_open).loop().returns(True)
for _state in (_closed, _open):
    _state.upon(_Inputs.probe_succeeded).loop().returns(None)
    _state.upon(_Inputs.probe_failed).loop().returns(None)
_closed.upon(_Inputs.allows).loop().returns(True)
_closed.upon(_Inputs.is_open).loop().returns(False)
_probing.upon(_Inputs.allows).loop().returns(False)
_open.upon(_Inputs.probe).to(_probing).returns(None)


@_open.upon(_Inputs.allows).loop()
def _is_probe_due(_inputs: _Inputs, core: _Core) -> bool:
    """Returns whether the next probe is due."""
    return core.clock.seconds() >= core.probe_at


@_closed.upon(_Inputs.trip).to(_open)
def _open_circuit(_inputs: _Inputs, core: _Core) -> None:
    """Schedules the first probe."""
    core.delay_probe()


@_probing.upon(_Inputs.probe_failed).to(_open)
def _reopen(_inputs: _Inputs, core: _Core) -> None:
    """Schedules the next probe, with a longer backoff."""
    core.delay_probe()


@_probing.upon(_Inputs.probe_succeeded).to(_closed)
def _close(_inputs: _Inputs, core: _Core) -> None:
    """Resets the backoff."""
    core.backoff.reset()


_Machine = _builder.build()


class Circuit:
    """Decides whether a call may be made, from the outcomes of earlier calls."""

    def __init__(
        self,
        *,
        clock: timing.Clock,
        backoff: backoff_module.Backoff,
        failures_limit: int = FAILURES_LIMIT,
    ) -> None:
        self._machine = _Machine(_Core(clock=clock, backoff=backoff))
        self._failures_limit = failures_limit
        self._failures = 0

    @property
    def open(self) -> bool:
        """Whether calls other than probes are refused."""
        return self._machine.is_open()

    def allows(self) -> bool:
        """Returns whether a call may be made now."""
        return self._machine.allows()

    def probe(self) -> None:
        """Makes the allowed call the probe: no other call is allowed until it has ended."""
        self._machine.probe()

    def record_outcome(self, *, succeeded: bool, probe: bool) -> None:
        """Records the outcome of a call; late outcomes of earlier calls have no effect while open."""
        if probe:
            self._record_probe(succeeded)
        elif not self.open:
            self._failures = 0 if succeeded else self._failures + 1
            if self._failures >= self._failures_limit:
                self._machine.trip()

    def _record_probe(self, succeeded: bool) -> None:
        if not succeeded:
            self._machine.probe_failed()
            return
        self._failures = 0
        self._machine.probe_succeeded()
