"""Running a stand-in as a separate process."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

import click
import msgspec
from twisted.internet import defer, task


class Listening(msgspec.Struct, frozen=True, kw_only=True):
    """The line that a stand-in prints once it is ready, with its two ports."""

    listening: int
    faults: int


def listen_options(command: Any) -> Any:
    """Adds the options that all stand-ins have."""
    command = click.option("--faults-port", type=int, default=0, help="Port of /faults; 0: any.")(
        command
    )
    command = click.option("--port", type=int, default=0, help="Port; 0: any.")(command)
    return click.option("--host", default="127.0.0.1", help="IP number to listen on.")(command)


def run(build: Callable[[Any], Any]) -> None:
    """Builds a stand-in, prints its ports, and serves until SIGTERM or SIGINT."""
    task.react(_serve, (build,))


@defer.inlineCallbacks
def _serve(reactor: Any, build: Callable[[Any], Any]) -> Any:
    stopped: defer.Deferred[None] = defer.Deferred()

    def stop(*_: Any) -> None:
        reactor.callFromThread(lambda: None if stopped.called else stopped.callback(None))

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    stand_in = build(reactor)
    stand_in.start()
    ready = Listening(listening=stand_in.server.port, faults=stand_in.server.faults_port)
    click.echo(msgspec.json.encode(ready).decode())
    yield stopped
    yield stand_in.close()
