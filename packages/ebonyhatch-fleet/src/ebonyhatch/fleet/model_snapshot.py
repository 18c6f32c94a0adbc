"""The learned model of a scheduler, encoded for the next owner."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import decision_log, decoding, interference, run_times

MIN_SAVE_INTERVAL_S = 4.0
"""Minimum time between two writes, seconds: the model changes within seconds, and a write costs one
key in a round of writes that takes place in any case."""


class ModelSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Interference of pairs of images, and run times by queue and image.

    Attributes:
        harms: Serving image, filler image, interference.
        run_times: Queue, image, then weight, mean and variance of run times and of errors.
    """

    harms: tuple[tuple[str, str, float], ...] = ()
    run_times: tuple[run_times.Row, ...] = ()


def encode(*, model: interference.InterferenceModel, times: run_times.RunTimes) -> bytes:
    """Encodes the model."""
    return msgspec.json.encode(
        ModelSnapshot(harms=model.interferences(), run_times=times.to_rows())
    )


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
