"""Injectable faults of an in-memory adapter or a stand-in process."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct, kw_only=True):
    """Faults that are currently injected; initially none.

    Attributes:
        down: Connections are refused; nothing takes effect.
        slow_s: Delay before a call takes effect, seconds.
        silent: Calls are accepted, take no effect and are never answered.
        silent_connections: Connections that are open when this is set become permanently
            unresponsive; new ones work.
        lose_answers: Calls take effect and their responses are lost.
        cut_answers: Calls take effect and their responses are truncated.
        stale_s: Age of the data that reads return, seconds.
        fail_tasks: Every task fails as soon as it starts.
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
        """Copies all fields of `other`."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(other, name))
