"""Makes the module `world` importable, and separates the log messages of the tests."""

from __future__ import annotations

import pathlib
import sys

import eliot
import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))


@pytest.fixture(scope="session", autouse=True)
def _unbuffered_log():
    """Ends eliot's buffering, by which the first destination gets the messages of earlier tests."""
    eliot.add_destinations(_discard)
    yield
    eliot.remove_destination(_discard)


def _discard(message: dict[str, object]) -> None:
    """Drops a message."""
