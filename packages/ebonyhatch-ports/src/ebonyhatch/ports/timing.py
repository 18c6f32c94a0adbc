"""The part of a reactor that tells time, in a form that type checkers understand."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A call that is due later, as `twisted.internet.interfaces.IDelayedCall`."""

    def active(self) -> bool:
        """Tell whether it is still due."""

    def cancel(self) -> None:
        """Take it back."""

    def reset(self, seconds_from_now: float, /) -> None:
        """Make it due this many seconds from now."""


class Clock(Protocol):
    """Time and later calls, as `twisted.internet.interfaces.IReactorTime`."""

    def seconds(self) -> float:
        """Tell the time, seconds."""

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> Any:
        """Call `call` after `delay_s` seconds; answers a `Timer`."""
