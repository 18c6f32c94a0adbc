"""A small deployment of stand-ins and daemons as separate processes on loopback."""

from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator, Mapping
from concurrent import futures
from typing import IO, Any, TypeVar

import msgspec
from ebonyhatch.node import keys

HOST = "127.0.0.1"
POLL_S = 0.05
TIMEOUT_S = 30.0
TOKEN = "example-token"
TOKEN_SHA256 = "4d1566a1d7df42a8517456d60ea06ed284e535cfe4c956aa6ee172dbcdf945f7"

Value = TypeVar("Value")

_PORT_RESERVATIONS: list[socket.socket] = []
"""Bound sockets of the ports that `free_port` returned."""


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Decodes the body."""
        return msgspec.json.decode(self.body, type=dict[str, Any])


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """Ports of one daemon."""

    callers: int
    admin: int
    peers: int


class Deployment:
    """Starts the processes of a deployment and ends only those.

    Attributes:
        store_port: Port of the store stand-in.
        instances_port: Port of the instance-list stand-in.
        entries: Ports of each daemon by entry id.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        entry_ids: tuple[str, ...],
        worker_ids: tuple[str, ...],
        domains: tuple[str, ...] = ("domain-1", "domain-2"),
        slots: int = 8,
        limits: Mapping[str, object] | None = None,
    ) -> None:
        self._limits = dict(limits or {})
        self._folder = folder
        self._domains = domains
        self._slots = slots
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._logs: list[IO[bytes]] = []
        self._worker_ports = {worker_id: free_port() for worker_id in worker_ids}
        self.store_port = free_port()
        self.instances_port = free_port()
        self._pairs = {entry_id: keys.new_pair() for entry_id in entry_ids}
        self.entries = {
            entry_id: Ports(callers=free_port(), admin=free_port(), peers=free_port())
            for entry_id in entry_ids
        }

    @property
    def worker_ids(self) -> tuple[str, ...]:
        """Names of the workers."""
        return tuple(self._worker_ports)

    def start(self) -> None:
        """Starts the stand-ins, then the daemons, and waits until each daemon is ready."""
        self._run_stand_in("store", "--port", str(self.store_port))
        for worker_id in self._worker_ports:
            self.start_worker(worker_id=worker_id)
        listed = self._folder / "instances.json"
        listed.write_text(json.dumps(self._instances()), encoding="utf-8")
        self._run_stand_in("instances", "--port", str(self.instances_port), "--file", str(listed))
        for entry_id in self.entries:
            self.start_entry(entry_id=entry_id)
        for entry_id in self.entries:
            self.wait_ready(entry_id=entry_id)

    def close(self) -> None:
        """Kills every process that is still running."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for log in self._logs:
            log.close()

    def start_worker(self, *, worker_id: str) -> None:
        """Starts a worker stand-in."""
        port = str(self._worker_ports[worker_id])
        self._run_stand_in(
            "worker",
            "--worker-id",
            worker_id,
            "--port",
            port,
            "--slots",
            str(self._slots),
            name=worker_id,
        )

    def start_module(self, *, name: str, module: str, arguments: tuple[str, ...]) -> None:
        """Starts a module with `python -m` as a process."""
        self._spawn(name, ["-m", module, *arguments])

    def start_entry(self, *, entry_id: str) -> None:
        """Starts a daemon."""
        settings = self._folder / f"{entry_id}.json"
        settings.write_text(json.dumps(self._settings(entry_id)), encoding="utf-8")
        self._spawn(entry_id, ["-m", "ebonyhatch.node.main", str(settings)])

    def wait_ready(self, *, entry_id: str) -> None:
        """Waits until a daemon reports that it is ready."""
        url = f"http://{HOST}:{self.entries[entry_id].admin}/health/ready"
        wait_for(
            lambda: fetch(url).status == 200,
            description=f"{entry_id} ready",
            log=self.log_of(entry_id),
        )

    def signal(self, *, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self._processes[name].send_signal(number)

    def pid(self, *, name: str) -> int:
        """Returns the process id of a process, for measurements."""
        return self._processes[name].pid

    def wait_exit(self, *, name: str) -> int:
        """Waits for the end of a process and returns its exit code."""
        return self._processes[name].wait(timeout=TIMEOUT_S)

    def caller_url(self, entry_id: str, path: str) -> str:
        """Returns a URL of the callers' API of an entry."""
        return f"http://{HOST}:{self.entries[entry_id].callers}{path}"

    def admin_url(self, entry_id: str, path: str) -> str:
        """Returns a URL of the administration API of an entry."""
        return f"http://{HOST}:{self.entries[entry_id].admin}{path}"

    def apply_records(self, *, entry_id: str, records: list[dict[str, object]]) -> Response:
        """Writes a configuration through an entry and waits until it is in force on every entry."""
        response = self.admin(entry_id, "/v1/admin/records", method="PUT", body=json.dumps(records))
        generation = response.json().get("generation")
        for other in self.entries:
            wait_for(
                lambda entry=other: self.status(entry).get("generation") == generation,  # type: ignore[misc]
                description=f"generation {generation} at {other}",
                log=self.log_of(other),
            )
        return response

    def status(self, entry_id: str) -> dict[str, Any]:
        """Reads the status of an entry."""
        return self.admin(entry_id, "/v1/admin/status").json()

    def cells(self, at: str = "") -> list[str]:
        """Returns the names of the cells that an entry knows; by default the first entry."""
        return [str(cell["name"]) for cell in self._cells(at)]

    def owner_of(self, cell: str, *, at: str = "") -> str:
        """Returns the owner that serves a cell, as reported by an entry; empty while none does."""
        asked_ids = [at] if at else list(self.entries)
        for entry_id in asked_ids:
            for row in self._cells(entry_id):
                if row["name"] == cell and row["serving"]:
                    return str(row["owner"])
        return ""

    def worker_history(self, worker_id: str) -> dict[str, Any]:
        """Reads the history of a worker: all its starts and its highest use."""
        return fetch(f"http://{HOST}:{self._worker_ports[worker_id]}/history").json()

    def _cells(self, entry_id: str) -> list[dict[str, Any]]:
        return self.status(entry_id or next(iter(self.entries))).get("cells", [])

    def admin(self, entry_id: str, path: str, *, method: str = "GET", body: str = "") -> Response:
        """Calls the administration API with the token."""
        headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
        data = body.encode() if body else None
        return fetch(self.admin_url(entry_id, path), method=method, body=data, headers=headers)

    def log_of(self, name: str) -> pathlib.Path:
        """Returns the path of the file with the output of a process."""
        return self._folder / f"{name}.log"

    def _run_stand_in(self, module: str, *arguments: str, name: str = "") -> None:
        module_name = f"ebonyhatch.testing.stand_ins.{module}"
        self._spawn(name or module, ["-m", module_name, "--host", HOST, *arguments])

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log = self.log_of(name).open("ab")
        self._logs.append(log)
        self._processes[name] = subprocess.Popen(
            [sys.executable, *arguments], stdout=log, stderr=subprocess.STDOUT
        )

    def _instances(self) -> list[dict[str, object]]:
        entries = [
            self._instance(entry_id, "entry", ports.peers, index)
            for index, (entry_id, ports) in enumerate(self.entries.items())
        ]
        workers = [
            self._instance(worker_id, "worker", port, index)
            for index, (worker_id, port) in enumerate(self._worker_ports.items())
        ]
        return entries + workers

    def _instance(self, name: str, role: str, port: int, index: int) -> dict[str, object]:
        return {
            "instance_id": name,
            "role": role,
            "state": "live",
            "host": HOST,
            "port": port,
            "region": "region-1",
            "failure_domain": self._domains[index % len(self._domains)],
            "rack": f"rack-{index % 2}",
        }

    def _settings(self, entry_id: str) -> dict[str, object]:
        ports = self.entries[entry_id]
        index = list(self.entries).index(entry_id)
        return {
            "entry": {
                "id": entry_id,
                "region": "region-1",
                "failure_domain": self._domains[index % len(self._domains)],
                "rack": "rack-1",
            },
            "listen": {
                "callers": {"host": HOST, "port": ports.callers},
                "admin": {"host": HOST, "port": ports.admin},
                "peers": {"host": HOST, "port": ports.peers},
            },
            "platform": {
                "store": {"host": HOST, "port": self.store_port},
                "instances": {"host": HOST, "port": self.instances_port},
                "workers_fenced": True,
            },
            "limits": self._limits,
            "cells": {"per_failure_domain": 1},
            "access": {"token_sha256": [TOKEN_SHA256]},
            "keys": {
                "public": self._pairs[entry_id].public,
                "secret": self._pairs[entry_id].secret,
                "peers": {name: pair.public for name, pair in self._pairs.items()},
            },
        }


def free_port() -> int:
    """Returns a free port of loopback, and reserves it until this process ends.

    The socket stays bound, so that neither another call nor another process gets the same port
    before the process that it is meant for listens. With SO_REUSEADDR that process can still bind.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    _PORT_RESERVATIONS.append(reservation)
    return int(reservation.getsockname()[1])


def fetch(
    url: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Response:
    """Makes one HTTP call; the status is 0 if there was no whole response."""
    request = urllib.request.Request(url, data=body, method=method, headers=dict(headers or {}))
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return Response(
                status=response.status, headers=dict(response.headers), body=response.read()
            )
    except urllib.error.HTTPError as error:
        return Response(status=error.code, headers=dict(error.headers), body=error.read())
    except OSError as error:
        return Response(status=0, headers={}, body=str(error).encode())


def fetch_together(
    *, url: str, bodies: list[bytes], headers: Mapping[str, str]
) -> list[tuple[bytes, Response]]:
    """Posts several bodies concurrently; returns each with its response."""

    def post(body: bytes) -> Response:
        return fetch(url, method="POST", body=body, headers=headers)

    with futures.ThreadPoolExecutor(max_workers=len(bodies)) as pool:
        return list(zip(bodies, pool.map(post, bodies), strict=True))


def wait_for(
    probe: Callable[[], Value], *, description: str, log: pathlib.Path | None = None
) -> Value:
    """Polls until the value of `probe` is true, and returns it; the timeout only ends a hung run.

    Raises:
        TimeoutError: After `TIMEOUT_S`, with the end of the log.
    """
    deadline_at = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_at:
        value = probe()
        if value:
            return value
        time.sleep(POLL_S)
    tail = log.read_text(encoding="utf-8", errors="replace")[-4000:] if log else ""
    raise TimeoutError(f"no {description} within {TIMEOUT_S} s\n{tail}")


@contextlib.contextmanager
def running(deployment: Deployment) -> Iterator[Deployment]:
    """Starts a deployment and closes it at the end."""
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()
