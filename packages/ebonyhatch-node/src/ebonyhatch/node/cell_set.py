"""Cells that this entry owns: started when gained, closed when lost."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec
from ebonyhatch.core import configuration, errors
from ebonyhatch.node import cell, instance_view, messages
from ebonyhatch.ports import timing
from returns import result
from twisted.internet import defer

RETRY_DELAY_S = 1.0
"""Delay before a failed takeover of a cell is retried, seconds."""


class OwnedCell(msgspec.Struct, frozen=True, kw_only=True):
    """A cell and the epoch under which this entry owns it."""

    name: str
    epoch: int


class CellSet:
    """Starts, configures and closes cells as ownership changes."""

    def __init__(
        self,
        *,
        build: Callable[[OwnedCell], cell.Cell],
        listed: instance_view.InstanceView,
        clock: timing.Clock,
        on_fault: Callable[[OwnedCell, errors.EbonyhatchError], None],
    ) -> None:
        self._build = build
        self._listed = listed
        self._clock = clock
        self._on_fault = on_fault
        self._in_force = configuration.EMPTY
        self._serving: dict[str, cell.Cell] = {}
        self._epochs: dict[str, int] = {}
        self._faults: dict[str, errors.EbonyhatchError] = {}
        self._closed = False

    @property
    def serving(self) -> Mapping[str, cell.Cell]:
        """Cells whose takeover is complete, by name."""
        return self._serving

    @property
    def faults(self) -> Mapping[str, errors.EbonyhatchError]:
        """Errors of owned cells that don't serve, by name."""
        return self._faults

    def close(self) -> None:
        """Starts no more cells; those that serve are closed as ownership releases them."""
        self._closed = True

    def gain(self, name: str, epoch: int) -> None:
        """Takes over a cell under an epoch."""
        self._epochs[name] = epoch
        owned = OwnedCell(name=name, epoch=epoch)
        defer.ensureDeferred(self._take_over(owned))

    async def lose(self, name: str) -> None:
        """Closes a cell; returns when none of its work is in progress any more."""
        self._epochs.pop(name, None)
        self._faults.pop(name, None)
        serving = self._serving.pop(name, None)
        if serving is not None:
            await serving.close()

    def set_configuration(self, in_force: configuration.InForce) -> None:
        """Passes a new configuration to every cell."""
        self._in_force = in_force
        for serving in self._serving.values():
            serving.set_configuration(in_force=in_force)

    def set_workers(self) -> None:
        """Passes the listed workers to every cell."""
        for name, serving in self._serving.items():
            serving.set_workers(instances=self._listed.workers_of(name=name))

    def rooms(self) -> tuple[messages.CellRoom, ...]:
        """Summarizes the free capacity of every cell."""
        return tuple(serving.room() for serving in self._serving.values())

    def _still_owns(self, owned: OwnedCell) -> bool:
        return not self._closed and self._epochs.get(owned.name) == owned.epoch

    async def _take_over(self, owned: OwnedCell) -> None:
        if not self._still_owns(owned):
            return
        opened = self._build(owned)
        opened.set_configuration(in_force=self._in_force)
        opened.set_workers(instances=self._listed.workers_of(name=owned.name))
        outcome = await opened.start()
        if not self._still_owns(owned):
            await opened.close()
            return
        match outcome:
            case result.Failure(errors.EbonyhatchError() as error):
                await opened.close()
                self._handle_failure(owned, error)
            case _:
                self._serve(owned, opened)

    def _serve(self, owned: OwnedCell, opened: cell.Cell) -> None:
        self._faults.pop(owned.name, None)
        self._serving[owned.name] = opened
        opened.set_configuration(in_force=self._in_force)
        opened.set_workers(instances=self._listed.workers_of(name=owned.name))

    def _handle_failure(self, owned: OwnedCell, error: errors.EbonyhatchError) -> None:
        self._faults[owned.name] = error
        self._on_fault(owned, error)
        self._clock.callLater(RETRY_DELAY_S, lambda: defer.ensureDeferred(self._take_over(owned)))
