"""The command `ebonyhatchd`: check of settings, exit codes and forced stops."""

from __future__ import annotations

import json
import pathlib

import pytest
from click import testing
from ebonyhatch.node import main
from twisted.internet import defer, task

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "entry-a.json"


def run(*arguments):
    return testing.CliRunner().invoke(main.main, [str(argument) for argument in arguments])


def test_check_accepts_the_example():
    outcome = run(EXAMPLE, "--check")
    assert outcome.exit_code == 0 and "good" in outcome.output


def test_check_lists_every_fault_at_once(tmp_path):
    path = tmp_path / "entry.json"
    path.write_text(json.dumps({"entry": {"id": ""}, "listne": {}}), encoding="utf-8")
    outcome = run(path, "--check")
    assert outcome.exit_code == main.EXIT_BAD_SETTINGS
    assert "listne" in outcome.output and "entry" in outcome.output and "listen" in outcome.output


def test_override_needs_a_value():
    outcome = run(EXAMPLE, "--check", "--set", "log.format")
    assert outcome.exit_code == 2 and "PATH=VALUE" in outcome.output


class Reactor(task.Clock):
    def __init__(self):
        super().__init__()
        self.stopped = False

    def stop(self):
        self.stopped = True


class Entry:
    def __init__(self, in_progress):
        self.closed = defer.Deferred()
        self._in_progress = in_progress

    async def close(self):
        await self.closed

    def in_progress(self):
        return self._in_progress


def stopping(in_progress=3):
    entry, reactor = Entry(in_progress), Reactor()
    process = main.Process(entry=entry, reactor=reactor, stop_s=5.0)
    process.stop()
    return entry, reactor, process


def test_graceful_stop_exits_with_zero():
    entry, reactor, process = stopping()
    assert not reactor.stopped
    entry.closed.callback(None)
    assert reactor.stopped and process.exit_code == 0


@pytest.mark.parametrize("cause", ["limit", "second signal"])
def test_forced_stop_logs_what_was_cut_off(cause):
    _, reactor, process = stopping()
    if cause == "limit":
        reactor.advance(5.0)
    else:
        process.stop()
    assert reactor.stopped and process.exit_code == main.EXIT_CUT_OFF


def test_forced_stop_with_nothing_in_progress_exits_with_zero():
    _, reactor, process = stopping(in_progress=0)
    reactor.advance(5.0)
    assert reactor.stopped and process.exit_code == 0
