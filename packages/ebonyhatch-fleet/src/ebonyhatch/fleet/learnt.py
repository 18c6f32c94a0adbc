"""What a scheduler has learnt, in the form in which the next owner gets it."""

from __future__ import annotations

import msgspec
from ebonyhatch.fleet import decision_log, run_times, tails

SAVE_S = 4.0
"""Least time between two writes, seconds: what is learnt changes within seconds, and a write costs
a key in a round that takes place anyhow."""


class Learnt(msgspec.Struct, frozen=True, kw_only=True):
    """Harms of pairs of images, and run times by queue and image.

    Attributes:
        harms: Serving image, filler image, harm.
        run_times: Queue, image, then weight, mean and variance of run times and of errors.
    """

    harms: tuple[tuple[str, str, float], ...] = ()
    run_times: tuple[run_times.Row, ...] = ()


def encode(*, model: tails.TailModel, times: run_times.RunTimes) -> bytes:
    """Encode what was learnt."""
    return msgspec.json.encode(Learnt(harms=model.harms(), run_times=times.rows()))


def restore(value: bytes, *, model: tails.TailModel, times: run_times.RunTimes) -> None:
    """Take over what an earlier owner learnt; what can't be read is learnt anew."""
    try:
        learnt = msgspec.json.decode(value, type=Learnt)
    except msgspec.DecodeError as error:
        decision_log.write("learnt.unreadable", reason=str(error))
        return
    model.restore(learnt.harms)
    times.restore(learnt.run_times)
    decision_log.write("learnt.restored", harms=len(learnt.harms), run_times=len(learnt.run_times))
