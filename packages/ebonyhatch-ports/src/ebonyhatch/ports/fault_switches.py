"""Switchable faults of a twin or a stand-in."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct, kw_only=True):
    """Faults in force from now on; all are off at first.

    Attributes:
        down: Connections are refused; nothing takes effect.
        slow_s: Time that a call waits before it takes effect, seconds.
        silent: Calls are accepted, take no effect and are never answered.
        silent_connections: Connections that are open now go silent for good; new ones work.
        lose_answers: Calls take effect and their answers are lost.
        cut_answers: Calls take effect and their answers break off in the middle.
        stale_s: Reads answer with what was there this long ago, seconds.
        fail_tasks: Every task that starts fails at once.
    """

    down: bool = False
    slow_s: float = 0.0
    silent: bool = False
    silent_connections: bool = False
    lose_answers: bool = False
    cut_answers: bool = False
    stale_s: float = 0.0
    fail_tasks: bool = False

    def replace(self, other: Faults) -> None:
        """Take over every switch of `other`."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(other, name))
