"""Cost of a piece of work as a number of executed lines, which doesn't depend on the machine."""

from __future__ import annotations

import sys
from collections.abc import Callable


def lines(work: Callable[[], object]) -> int:
    """Returns the number of lines that some work executes; each turn of a loop counts anew."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count
