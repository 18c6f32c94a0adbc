"""State of a cell, as operators see it."""

from __future__ import annotations

import enum

import msgspec


class CellPhase(enum.StrEnum):
    """Phase of a cell under one owner."""

    NEW = "new"
    TAKING_OVER = "taking-over"
    ACTIVE = "active"
    CLOSING = "closing"
    CLOSED = "closed"
    SUPERSEDED = "superseded"
    FAULTED = "faulted"


class CellStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a cell at one moment.

    Attributes:
        name: The cell.
        epoch: Epoch of its owner.
        state: Phase.
        workers: Number of workers on which work may be placed.
        jobs: Number of jobs by state.
        queued: Number of jobs that wait.
        journal_seq: Number of the last durable write.
        fault: Error that stopped the cell, with the remedy; empty without one.
    """

    name: str
    epoch: int
    state: CellPhase
    workers: int
    jobs: dict[str, int]
    queued: int
    journal_seq: int
    fault: str = ""
