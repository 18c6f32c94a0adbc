"""Starts a small deployment on loopback: the store, workers and entries as separate processes."""

from __future__ import annotations

import base64
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request
from typing import Any

COMMON = pathlib.Path(__file__).resolve().parent
ROOT = COMMON.parent.parent

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

START_ATTEMPTS = 3
PORTS = (12_000, 30_000)

HOST = "queue.example"
PREFIX = "/plans/"
SERVICE = "svc1"

BOUNDS = """
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_ms = 2000
back_ms = 250
outer_ms = 5000
recover_s = 12
hold_max_ms = 6000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = {status_s}
remote_slowdown = 3
checkpoint_s = 1
restore_ms = 100
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = false
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
"""
"""The bounds of the sheet of nileloom-hq."""


class CouldNotRunError(Exception):
    """The case could not be set up."""


def trouble() -> bool:
    """Returns whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    """The processes of one case, with their logs in a temporary folder."""

    def __init__(
        self,
        *,
        entries: int,
        workers: int | tuple[str, ...],
        labels: dict[str, str] | None = None,
        zones: dict[str, str] | None = None,
        guards: bool = True,
        status_s: int = 120,
    ) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self.record: list[dict[str, Any]] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.fronts: list[int] = []
        self.ready_ports: list[int] = []
        self.entry_count = entries
        self.workers = workers if isinstance(workers, tuple) else worker_names(workers)
        self.guards = guards
        self.status_s = status_s
        self.ports: dict[str, int] = {}
        self.labels = labels or {}
        self.zones = zones or {}
        self.lock = threading.Lock()

    def start(self) -> None:
        """Starts all processes, once more with other ports if another process took one of them."""
        for attempt in range(START_ATTEMPTS):
            try:
                self._start_once()
                return
            except CouldNotRunError:
                if attempt + 1 == START_ATTEMPTS:
                    raise
                self._end_processes()
                self.processes.clear()
                self.ports.clear()
                self.fronts.clear()
                self.ready_ports.clear()
                for path in self.folder.iterdir():
                    path.unlink()

    def _start_once(self) -> None:
        self.store_port, self.control_port = free_ports(2)
        self._spawn(
            "store",
            [sys.executable, str(COMMON / "store.py"), "--port", str(self.store_port),
             "--control-port", str(self.control_port)],
        )
        wait_until(lambda: can_connect(self.control_port), 10, "the store")
        self.put("op/config", configuration(guards=self.guards))
        for name in self.workers:
            self.start_worker(name)
        for number in range(1, self.entry_count + 1):
            self.start_entry(f"front-{number}")
        wait_until(lambda: all(self._is_ready(port) for port in self.ready_ports), 12, "entries")
        wait_until(lambda: self.call("GET", PREFIX)[0] == 200, 12, "an owner")
        # The owner polls the workers, and records them before it uses them.
        time.sleep(2.0)
        if any(process.poll() is not None for process in self.processes.values()):
            raise CouldNotRunError("a process has ended")

    def _end_processes(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def close(self, folder: pathlib.Path) -> None:
        """Ends all processes, and writes what was sent, answered and run to `record.txt`."""
        self._end_processes()
        lines = sorted(self.record + self.worker_events(), key=lambda one: one["t"])
        with open(folder / "record.txt", "w", encoding="utf-8") as record:
            for line in lines:
                shown = {**line, "t": round(line["t"] - self.began, 3)}
                record.write(json.dumps(shown) + "\n")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder)

    def note(self, event: str, **fields: Any) -> None:
        with self.lock:
            self.record.append({"t": time.monotonic(), "event": event} | fields)

    def start_worker(self, name: str) -> None:
        if name not in self.ports:
            self.ports[name] = free_ports(1)[0]
        self._spawn(
            name,
            [sys.executable, str(COMMON / "worker.py"), "--id", name,
             "--port", str(self.ports[name]), "--store-port", str(self.store_port),
             "--log", str(self.folder / f"{name}.events"),
             "--labels", self.labels.get(name, "a,r1-1"),
             "--zone", self.zones.get(name, "zone-a"),
             *([] if self.guards else ["--unguarded"])],
        )

    def start_entry(self, name: str) -> None:
        front, ready, control, *internal = free_ports(6)
        self.fronts.append(front)
        self.ready_ports.append(ready)
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'node = "{name}"\nrole = "entry"\nmachine_class = "front"\nserves = ["front"]\n'
            f'ip = "127.0.0.1"\nzone = "zone-a"\nregion = "region-a"\n'
            f"internal_ports = [{internal[0]},{internal[0]}]\nseeds = []\n"
            'bootstrap = true\nfault_counted = false\ndiscovery = "platform"\nentry = "vip"\n'
            'heartbeat_ms = 1500\ncontrol_mode = "call"\n'
            'contracts = ["base","drain","config","cost","recover","sched","platform"]\n'
            '[zones]\nzone-a = "region-a"\n'
            f'[listen]\nfront = "127.0.0.1:{front}"\nready = "127.0.0.1:{ready}"\n'
            f'control = "127.0.0.1:{control}"\n'
            "[limits]\ncpu_share = 1.07\ncores = 1\nmemory_mb = 300\nmax_fds = 4100\n"
            "link_mbps = 1000.0\ndisk_mb = 0\n"
            "[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
            + BOUNDS.format(status_s=self.status_s)
            + f'[platform]\naddress = "127.0.0.1:{self.store_port}"\nform = "kv"\n'
            "writes_per_s = 400\nreads_per_s = 2000\nretention_s = 20\nvalue_bytes = 1048576\n"
            "ttl_min_ms = 1000\n",
            encoding="utf-8",
        )
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "EBONYHATCH_NODE_FILE": str(path),
        }
        self._spawn(name, role["run"].split(" "), environment=environment)

    def kill(self, name: str) -> None:
        process = self.processes[name]
        process.kill()
        process.wait()
        self.note("killed", process=name)

    def set_store_fault(self, kind: str) -> None:
        self._control(f"fault?kind={kind}")
        self.note("store", fault=kind)

    def compact_store(self) -> None:
        """Makes the store forget its history."""
        self._control("compact")
        self.note("store", fault="compacted")

    def put(self, key: str, value: Any) -> None:
        """Writes a key as the operator."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        body = {"expected": [], "puts": [{"key": key, "value": encoded}], "remove": []}
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.store_port}/-/kv-txn", data=json.dumps(body).encode()
        )
        with urllib.request.urlopen(request, timeout=2) as response:
            response.read()

    def call(
        self, method: str, path: str, body: Any = None, *, entry: int = 0, timeout_s: float = 3.0
    ) -> tuple[int, Any]:
        """Makes one call as a client; status 0 stands for no response."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.fronts[entry % len(self.fronts)], timeout=timeout_s
        )
        headers = {"Host": HOST, "Deadline": str(int(timeout_s * 1000))}
        data = None
        if body is not None:
            data = json.dumps(body, separators=(",", ":")).encode()
            headers["Content-Type"] = "application/json"
        status, reply = 0, None
        try:
            connection.request(method, path, body=data, headers=headers)
            response = connection.getresponse()
            status, raw = response.status, response.read()
            reply = json.loads(raw) if raw else None
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            connection.close()
        self.note("call", method=method, path=path, entry=entry, status=status, reply=reply)
        return status, reply

    def submit(self, job_id: str, steps: list[dict], spec: dict, *, entry: int = 0) -> bool:
        """Submits a job as a client with four retries; returns whether it was accepted."""
        body = {"spec": json.dumps(spec), "steps": steps}
        for attempt in range(5):
            status, _ = self.call("POST", PREFIX + job_id, body, entry=entry + attempt)
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def state(self, job_id: str, *, entry: int = 0) -> str:
        """Returns the state of a job, as the first entry that answers shows it."""
        for attempt in range(3):
            status, reply = self.call("GET", PREFIX + job_id, entry=entry + attempt)
            if status == 200:
                return reply["state"]
            if status == 410:
                return "gone"
            time.sleep(0.3)
        return ""

    def wait_for_state(self, job_id: str, states: set[str], limit_s: float) -> str:
        until = time.monotonic() + limit_s
        state = self.state(job_id)
        while state not in states and time.monotonic() < until:
            time.sleep(0.4)
            state = self.state(job_id)
        return state

    def owner(self) -> str:
        """Returns the entry that holds the owner's key in the store."""
        query = "http://127.0.0.1:%d/-/kv-key?key=ebonyhatch/members/owner" % self.store_port
        with urllib.request.urlopen(query, timeout=2) as response:
            item = json.loads(response.read())
        return json.loads(base64.b64decode(item["value"]))["name"]

    def stored(self, prefix: str) -> int:
        """Returns the number of the system's keys in the store that contain a text."""
        url = f"http://127.0.0.1:{self.control_port}/count?text={prefix}"
        with urllib.request.urlopen(url, timeout=2) as response:
            return int(json.loads(response.read())["count"])

    def worker_events(self) -> list[dict[str, Any]]:
        """Returns what the workers have logged so far, in the order of time."""
        events = []
        for path in self.folder.glob("*.events"):
            for line in path.read_text(encoding="utf-8").splitlines():
                try:
                    events.append(json.loads(line))
                except ValueError:
                    continue
        return sorted(events, key=lambda one: one["t"])

    def running(self, job_id: str) -> dict[str, str]:
        """Returns the tasks of a job that run now, each with its worker."""
        found: dict[tuple[str, str, int], str] = {}
        for event in self.worker_events():
            worker = event["worker"]
            if event["event"] == "up":
                found = {key: value for key, value in found.items() if value != worker}
            elif event["event"] == "start" and event["task"].startswith(job_id):
                found[(worker, event["task"], event["run"])] = worker
            elif event["event"] == "end":
                found.pop((worker, event["task"], event["run"]), None)
        alive = {n for n, process in self.processes.items() if process.poll() is None}
        return {key[1]: worker for key, worker in found.items() if worker in alive}

    def _control(self, call: str) -> None:
        url = f"http://127.0.0.1:{self.control_port}/{call}"
        with urllib.request.urlopen(url, timeout=2) as response:
            response.read()

    def _spawn(
        self, name: str, command: list[str], *, environment: dict[str, str] | None = None
    ) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.note("started", process=name)

    def _is_ready(self, port: int) -> bool:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/-/ready", timeout=1) as reply:
                return reply.status == 200
        except OSError:
            return False


def configuration(*, version: int = 7, guards: bool = True) -> dict[str, Any]:
    """Returns a configuration with one queue and one service."""
    return {
        "version": version,
        "routes": [
            {"name": "r-one", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
             "timeout_ms": 3000, "slo_ms": 1000, "priority": 0, "service": SERVICE,
             "max_attempts": 4, "stretch_factor": 2.0}
        ],
        "services": [
            {"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1",
             "tls": False, "admission_check": guards, "standby": False}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def worker_names(count: int) -> tuple[str, ...]:
    return tuple(f"i-worker{number}" for number in range(1, count + 1))


def free_ports(count: int) -> list[int]:
    """Returns ports that were free at the time of the call, below those of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def can_connect(port: int) -> bool:
    with socket.socket() as one:
        one.settimeout(0.5)
        return one.connect_ex(("127.0.0.1", port)) == 0


def wait_until(condition: Any, limit_s: float, what: str) -> None:
    until = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until:
            raise CouldNotRunError(f"{what} did not come up")
        time.sleep(0.05)


def run(case: Any, folder: str, **size: Any) -> int:
    """Runs a case; returns the exit status of the script."""
    deployment = Deployment(**size)
    try:
        deployment.start()
        problem = case(deployment)
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}")
        deployment.note("result", could_not_run=str(error))
        return COULD_NOT_RUN
    finally:
        deployment.close(pathlib.Path(folder))
    print(f"broken: {problem}" if problem else "held")
    with open(pathlib.Path(folder) / "record.txt", "a", encoding="utf-8") as record:
        record.write(json.dumps({"result": problem or "held"}) + "\n")
    return BROKEN if problem else HELD
