"""Background loops that are started again after an unexpected error."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from ebonyhatch.fleet import decision_log
from ebonyhatch.node import coroutines

RESTART_DELAY_S = 0.25
"""Delay before a loop that failed is started again, seconds; doubles up to `MAX_RESTART_DELAY_S`."""

MAX_RESTART_DELAY_S = 2.0


def spawn(
    group: coroutines.CoroutineGroup, name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs a loop in a group until it returns or the group is closed.

    Args:
        group: The group.
        name: Name of the loop in the log.
        run: Begins the loop from its present state; it is called again after an exception.
    """
    group.spawn(_keep_running(group, name, run))


async def _keep_running(
    group: coroutines.CoroutineGroup, name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    delay_s = RESTART_DELAY_S
    while not group.closed:
        try:
            await run()
            return
        except Exception:
            # A cancellation by `close` is one too; the group is closed then.
            if group.closed:
                raise
            decision_log.write("loop.restarted", loop=name, reason=traceback.format_exc())
        await group.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)
