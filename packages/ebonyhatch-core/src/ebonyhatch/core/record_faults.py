"""Faults found in records, each with its path and a remedy."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from ebonyhatch.core import errors

MAX_FAULTS_IN_MESSAGE = 5
"""Maximum number of faults in the message of an error; its attribute `faults` holds all of them."""


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that is wrong with a set of records.

    Attributes:
        path: Where it is, e.g. `records[3].demand.slots`.
        record: The record as `kind/name@schema_version`; empty if it has no name.
        problem: What is wrong.
        remedy: What to do about it.
    """

    path: str
    record: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        where = f"{self.path} ({self.record})" if self.record else self.path
        return f"{where}: {self.problem}; {self.remedy}"


class RecordFaults(errors.EbonyhatchError):
    """A set of records was not accepted; `faults` lists all its faults."""

    def __init__(self, *, faults: Sequence[Fault]) -> None:
        listed = "; ".join(str(fault) for fault in faults[:MAX_FAULTS_IN_MESSAGE])
        super().__init__(
            problem=f"{len(faults)} fault(s) in the records: {listed}",
            remedy="correct every listed fault and check again with `ebonyhatch records check`",
        )
        self.faults = tuple(faults)
