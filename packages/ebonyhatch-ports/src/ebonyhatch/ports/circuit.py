"""A circuit breaker: after failures, one probe at a time until one succeeds."""

from __future__ import annotations

from typing import Protocol

import automat
from ebonyhatch.ports import backoff as backoff_module
from ebonyhatch.ports import timing

FAILURES_LIMIT = 3
"""Failures in a row that open the circuit."""


class _Inputs(Protocol):
    """What happens to the circuit."""

    def allows(self) -> bool:
        """Tell whether a call may be made now; in the open state it becomes the probe."""

    def is_open(self) -> bool:
        """Tell whether calls are refused, but for probes."""

    def trip(self) -> None:
        """There were too many failures in a row."""

    def probe(self) -> None:
        """A call is made as the probe."""

    def recover(self) -> None:
        """The probe succeeded."""

    def relapse(self) -> None:
        """The probe failed."""


class _Core:
    """Data behind the states."""

    def __init__(self, *, clock: timing.Clock, backoff: backoff_module.Backoff) -> None:
        self.clock = clock
        self.backoff = backoff
        self.probe_at = 0.0

    def wait(self) -> None:
        """Put the next probe off."""
        self.probe_at = self.clock.seconds() + self.backoff.next_s()


_builder = automat.TypeMachineBuilder(_Inputs, _Core)
_closed = _builder.state("closed")
_open = _builder.state("open")
_probing = _builder.state("probing")

for _state in (_open, _probing):
    _state.upon(_Inputs.trip).loop().returns(None)
    _state.upon(_Inputs.is_open).loop().returns(True)
for _state in (_closed, _open):
    _state.upon(_Inputs.recover).loop().returns(None)
    _state.upon(_Inputs.relapse).loop().returns(None)
_closed.upon(_Inputs.allows).loop().returns(True)
_closed.upon(_Inputs.is_open).loop().returns(False)
_probing.upon(_Inputs.allows).loop().returns(False)
_open.upon(_Inputs.probe).to(_probing).returns(None)


@_open.upon(_Inputs.allows).loop()
def _due(_inputs: _Inputs, core: _Core) -> bool:
    """Allow a probe when it is due."""
    return core.clock.seconds() >= core.probe_at


@_closed.upon(_Inputs.trip).to(_open)
def _trip(_inputs: _Inputs, core: _Core) -> None:
    """Wait before the first probe."""
    core.wait()


@_probing.upon(_Inputs.relapse).to(_open)
def _relapse(_inputs: _Inputs, core: _Core) -> None:
    """Wait longer before the next probe."""
    core.wait()


@_probing.upon(_Inputs.recover).to(_closed)
def _recover(_inputs: _Inputs, core: _Core) -> None:
    """Begin anew."""
    core.backoff.reset()


_Machine = _builder.build()


class Circuit:
    """Tells whether a call may be made, and learns how calls ended."""

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
        """Whether calls are refused, but for probes."""
        return self._machine.is_open()

    def allows(self) -> bool:
        """Tell whether a call may be made now."""
        return self._machine.allows()

    def probe(self) -> None:
        """Make the allowed call the only one until it has ended."""
        self._machine.probe()

    def ended(self, *, well: bool, probe: bool) -> None:
        """Learn how a call ended; late ends of earlier calls change nothing while open."""
        if probe:
            self._end_probe(well)
        elif not self.open:
            self._failures = 0 if well else self._failures + 1
            if self._failures >= self._failures_limit:
                self._machine.trip()

    def _end_probe(self, well: bool) -> None:
        if not well:
            self._machine.relapse()
            return
        self._failures = 0
        self._machine.recover()
