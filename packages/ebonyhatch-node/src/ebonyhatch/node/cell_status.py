"""What operators see of a cell."""

from __future__ import annotations

import enum

import msgspec


class CellPhase(enum.StrEnum):
    """Phase in the life of a cell under one owner."""

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
        workers: Workers that may be placed on.
        jobs: Number of jobs by state.
        queued: Jobs that wait.
        journal_seq: Number of the last durable write.
        fault: What stopped it, with the remedy; empty for nothing.
    """

    name: str
    epoch: int
    state: CellPhase
    workers: int
    jobs: dict[str, int]
    queued: int
    journal_seq: int
    fault: str = ""
