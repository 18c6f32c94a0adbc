"""The reactor in a thread of its own, so that ordinary tests can wait for Deferreds."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, threads
from twisted.internet import reactor as _reactor

RUN_TIMEOUT_S = 30.0
"""Time after which a test is given up."""

reactor: Any = _reactor
"""The reactor; it runs from the first `run` to the end of the process."""

_started = threading.Lock()
_thread: threading.Thread | None = None


def run(call: Callable[[], Any]) -> Any:
    """Call `call` in the reactor's thread, and wait for its value or its Deferred.

    Raises:
        TimeoutError: When it takes longer than `RUN_TIMEOUT_S`.
        RuntimeError: When called in the reactor's thread, which it would block for good.
    """
    if threading.current_thread() is _thread:
        raise RuntimeError("run would block the reactor; call the Deferred's callback instead")
    _start()
    return threads.blockingCallFromThread(reactor, _bounded, call)


def _bounded(call: Callable[[], Any]) -> defer.Deferred[Any]:
    return defer.maybeDeferred(call).addTimeout(RUN_TIMEOUT_S, reactor)


def _start() -> None:
    global _thread
    with _started:
        if _thread is None:
            _thread = threading.Thread(
                target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
            )
            _thread.start()
