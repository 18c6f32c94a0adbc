"""Dispatches each event to the handler that is registered for its type."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from ebonyhatch.core import events, tables

Handler = Callable[[tables.Tables, Any], None]
_HANDLERS: dict[type[events.Event], Handler] = {}


def handler(kind: type[events.Event]) -> Callable[[Handler], Handler]:
    """Registers the handler of an event type."""

    def register(function: Handler) -> Handler:
        _HANDLERS[kind] = function
        return function

    return register


def run(state: tables.Tables, batch: Sequence[events.Event]) -> None:
    """Applies events in order; events without a handler are ignored."""
    for event in batch:
        function = _HANDLERS.get(type(event))
        if function is not None:
            function(state, event)
