"""The learned model of a scheduler, encoded for the next owner."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import msgspec
from ebonyhatch.fleet import decision_log, decoding, interference, run_times

MIN_SAVE_INTERVAL_S = 4.0
"""Minimum time between two writes, seconds: the model changes within seconds, and a write costs one
key in a round of writes that takes place in any case."""

MAX_BYTES = 64_000
"""Largest encoded snapshot, bytes. It is one value of the store, which also a thin link has to carry
each time."""

_Row = TypeVar("_Row")


class ModelSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Interference of pairs of images, and run times by queue and image.

    Both hold what was used last first, and as much of it as fits.

    Attributes:
        harms: Serving image, filler image, interference.
        run_times: Queue, image, then weight, mean and variance of run times and of errors.
    """

    harms: tuple[tuple[str, str, float], ...] = ()
    run_times: tuple[run_times.Row, ...] = ()


def encode(*, model: interference.InterferenceModel, times: run_times.RunTimes) -> bytes:
    """Encodes the model, within `MAX_BYTES`."""
    limit_bytes = MAX_BYTES - len(msgspec.json.encode(ModelSnapshot()))
    harms, harms_bytes = _fitting(model.interferences(), limit_bytes=limit_bytes // 2)
    learned, _ = _fitting(times.to_rows(), limit_bytes=limit_bytes - harms_bytes)
    return msgspec.json.encode(ModelSnapshot(harms=harms, run_times=learned))


def _fitting(rows: Iterable[_Row], *, limit_bytes: int) -> tuple[tuple[_Row, ...], int]:
    """Returns the first rows that fit into a limit, without those that are too long, and their size."""
    fitting = []
    size_bytes = 0
    for row in rows:
        row_bytes = len(msgspec.json.encode(row)) + 1
        if size_bytes + row_bytes <= limit_bytes:
            size_bytes += row_bytes
            fitting.append(row)
    return tuple(fitting), size_bytes


def restore(
    value: bytes, *, model: interference.InterferenceModel, times: run_times.RunTimes
) -> None:
    """Loads an earlier owner's model; one that can't be decoded is ignored and learned again."""
    try:
        snapshot = decoding.decode(value, ModelSnapshot)
    except decoding.UnreadableError as error:
        decision_log.write("learnt.unreadable", reason=str(error))
        return
    model.restore(snapshot.harms)
    times.restore(snapshot.run_times)
    decision_log.write(
        "learnt.restored", harms=len(snapshot.harms), run_times=len(snapshot.run_times)
    )
