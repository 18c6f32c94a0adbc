"""The command `ebonyhatchd`: reads the settings, runs one entry, stops on SIGTERM or SIGINT."""

from __future__ import annotations

import os
import pathlib
import secrets
import signal
import sys
from typing import Any

import click
from ebonyhatch.core import errors
from ebonyhatch.node import daemon, logs, settings
from ebonyhatch.ports import http_instances, http_store, http_workers, timing
from returns import result
from twisted.internet import defer, error

EXIT_BAD_SETTINGS = 2
EXIT_NOT_STARTED = 3
EXIT_CUT_OFF = 4
SEED_BITS = 62


@click.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
@click.option("--check", is_flag=True, help="Check the settings, list every fault, and exit.")
@click.option(
    "--set",
    "assignments",
    multiple=True,
    metavar="PATH=VALUE",
    help="Override one setting, e.g. --set log.format=readable.",
)
def main(path: pathlib.Path, check: bool, assignments: tuple[str, ...]) -> None:
    r"""Run one entry from a settings file, JSON with comments.

    A flag wins over a variable (EBONYHATCH_SECTION_KEY), and a variable over the file.

    \b
    Exit codes: 0 stopped gracefully, 2 bad settings, 3 could not start,
    4 stopped but requests were cut off.
    """
    match settings.load(path=path, environment=os.environ, overrides=_overrides(assignments)):
        case result.Failure(faults):
            click.echo(str(faults), err=True)
            sys.exit(EXIT_BAD_SETTINGS)
        case result.Success(chosen):
            if check:
                click.echo(f"{path}: the settings are good")
                return
            sys.exit(_run(chosen))


def _overrides(assignments: tuple[str, ...]) -> dict[str, str]:
    overrides = {}
    for assignment in assignments:
        dotted, equals, value = assignment.partition("=")
        if not equals:
            raise click.BadParameter(f"{assignment!r} has no '='; write PATH=VALUE")
        overrides[dotted] = value
    return overrides


def _run(chosen: settings.Settings) -> int:
    from twisted.internet import reactor

    timing.use_monotonic_clock(reactor)
    log = logs.start(format=chosen.log.format, stream=sys.stderr)
    entry = daemon.Daemon(
        chosen=chosen,
        reactor=reactor,
        platform=_platform(chosen, reactor),
        seed=secrets.randbits(SEED_BITS),
    )
    process = Process(entry=entry, reactor=reactor, stop_s=chosen.limits.stop_s)
    process.run()
    log.close()
    return process.exit_code


def _platform(chosen: settings.Settings, reactor: Any) -> daemon.Platform:
    endpoints = chosen.platform
    return daemon.Platform(
        store=http_store.HttpStore(
            reactor=reactor, host=endpoints.store.host, port=endpoints.store.port
        ),
        workers=http_workers.HttpWorkers(reactor=reactor, fenced=endpoints.workers_fenced),
        instances=http_instances.HttpInstances(
            reactor=reactor, host=endpoints.instances.host, port=endpoints.instances.port
        ),
    )


class Process:
    """Runs an entry until a signal, and logs the number of requests that a forced stop cut off.

    Attributes:
        exit_code: Exit code of the process, valid once `run` has returned.
    """

    def __init__(self, *, entry: daemon.Daemon, reactor: Any, stop_s: float) -> None:
        self._entry = entry
        self._reactor = reactor
        self._stop_s = stop_s
        self._stopping = False
        self._ended = False
        self.exit_code = 0

    def run(self) -> None:
        """Runs the reactor until the entry has stopped."""
        self._reactor.callWhenRunning(self._on_running)
        self._reactor.run(installSignalHandlers=False)

    def stop(self) -> None:
        """Stops gracefully; a second call stops at once and logs what was cut off."""
        if self._stopping:
            self._cut_off("a second signal")
            return
        self._stopping = True
        self._reactor.callLater(self._stop_s, self._cut_off, "the limit limits.stop_s")
        defer.ensureDeferred(self._close())

    def _on_running(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        self._reactor.callLater(0, lambda: defer.ensureDeferred(self._start()))

    async def _start(self) -> None:
        try:
            await self._entry.start()
        except (errors.EbonyhatchError, error.CannotListenError) as fault:
            logs.write("entry not started", error=str(fault))
            self._end(EXIT_NOT_STARTED)

    def _on_signal(self, number: int, frame: object) -> None:
        self._reactor.callFromThread(self.stop)

    async def _close(self) -> None:
        await self._entry.close()
        self._end(0)

    def _cut_off(self, cause: str) -> None:
        if self._ended:
            return
        count = self._entry.in_progress()
        logs.write("stop cut short", cause=cause, requests_cut_off=count)
        self._end(EXIT_CUT_OFF if count else 0)

    def _end(self, code: int) -> None:
        if self._ended:
            return
        self._ended = True
        self.exit_code = code
        self._reactor.stop()


if __name__ == "__main__":
    main()
