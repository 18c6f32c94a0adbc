"""Stand-in of a worker: the calls of PROTOCOL.md under "Running tasks", and its registration.

The specification of a job tells the worker what its tasks do, as JSON: `ms` is the run time of a
task; `lasts` marks tasks that run until they are stopped. Each start, end and acknowledged end is
appended to `--log` as one JSON line with the time of the monotonic clock.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import time
import urllib.request

import http_server

ENDS_PER_RESPONSE = 500
HEARTBEAT_S = 1.5
CHECKPOINT_S = 1.0
RESTORE_S = 0.1
STOP_S = 0.1
START_CLOCK_MS = 1_000


class Worker:
    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.deadline_ms = 0.0
        self.lapsed_ms = 0.0
        self.runs: dict[tuple[str, int], dict] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[dict] = []
        self.ends_count = 0
        self.ended = asyncio.Event()
        self.log_file = open(options.log, "a", buffering=1)  # noqa: SIM115
        self.log("up")

    def clock_ms(self) -> float:
        return START_CLOCK_MS + (time.monotonic() - self.began) * 1000

    def log(self, event: str, **fields: object) -> None:
        line = {"t": round(time.monotonic(), 4), "worker": self.options.id, "event": event}
        self.log_file.write(json.dumps(line | fields) + "\n")

    def used(self) -> int:
        return sum(run["cpu"] for run in self.runs.values())

    def extend(self, deadline_ms: float) -> None:
        limit = self.clock_ms() + self.options.hold_max_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def end(self, key: tuple[str, int], how: str) -> None:
        run = self.runs.pop(key)
        saved = self.checkpoint(run) if run["spec"].get("saves") else ""
        self.ends_count += 1
        number = self.ends_count
        self.ends.append({"n": number, "key": key, "how": how, "saved": saved})
        self.log("end", task=key[0], run=key[1], how=how, number=number)
        self.ended.set()
        self.ended = asyncio.Event()

    def checkpoint(self, run: dict) -> str:
        worked = run["base_s"] + max(0.0, time.monotonic() - run["began"])
        saved = int(worked / CHECKPOINT_S) * CHECKPOINT_S
        return f"{int(saved * 1000):016x}" if saved else run["from"]

    def percent(self, run: dict) -> float:
        worked = run["base_s"] + time.monotonic() - run["began"]
        if run["spec"].get("lasts"):
            return 100.0 if worked > 0.3 else 0.0
        return round(min(99.0, 100 * worked * 1000 / run["spec"]["ms"]), 1)

    def advance(self) -> None:
        now = time.monotonic()
        if self.runs and self.clock_ms() > self.deadline_ms:
            self.lapsed_ms = self.clock_ms()
            for key in list(self.runs):
                self.end(key, "lapsed")
        for key, run in list(self.runs.items()):
            if run["stop_at"] and now >= run["stop_at"]:
                self.end(key, "stopped")
            elif run["ends_at"] and now >= run["ends_at"]:
                self.end(key, "done")

    def start(self, body: dict) -> tuple[int, dict]:
        key = (body["task"], body["run"])
        fence = body.get("fence_token", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if body["deadline_ms"] < self.clock_ms():
            return self.refuse("late")
        self.extend(body["deadline_ms"])
        if key in self.runs:
            return self.answer({})
        if body["run"] <= self.highest.get(body["task"], 0):
            return self.refuse("old")
        spec = json.loads(body["spec"])
        cpu = spec["cpu"]
        used = self.used() + cpu
        if used > self.options.cpu and not self.options.unguarded:
            return self.refuse("room")
        saved = body.get("last_checkpoint", "")
        base_s = int(saved, 16) / 1000 if saved else 0.0
        now = time.monotonic()
        work_s = max(0.0, spec.get("ms", 0) / 1000 - base_s) + (RESTORE_S if saved else 0.0)
        self.runs[key] = {
            "spec": spec,
            "cpu": cpu,
            "began": now,
            "base_s": base_s,
            "from": saved,
            "ends_at": 0.0 if spec.get("lasts") else now + work_s,
            "stop_at": 0.0,
        }
        self.log("start", task=key[0], run=key[1], fence=fence, saved=saved, cpu=used)
        return self.answer({})

    def stop(self, body: dict) -> tuple[int, dict]:
        key = (body["task"], body["run"])
        if body.get("fence_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body["fence_token"]
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        run = self.runs.get(key)
        if run is not None and not run["stop_at"]:
            run["stop_at"] = time.monotonic() + STOP_S
            self.log("stopping", task=key[0], run=key[1])
        return self.answer({})

    async def hold(self, body: dict) -> tuple[int, dict]:
        if body.get("fence_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body["fence_token"]
        self.extend(body.get("deadline_ms", 0))
        self.forget(body["last_seen"])
        until = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self.ends and (remaining := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), remaining)
            except TimeoutError:
                break
        self.advance()
        return self.answer(
            {
                "running": [
                    [task, run, self.checkpoint(row) if row["spec"].get("saves") else "",
                     self.percent(row), row["cpu"]]
                    for (task, run), row in self.runs.items()
                ],
                "ended_runs": [
                    [end["n"], *end["key"], end["how"], end["saved"]]
                    for end in self.ends[:ENDS_PER_RESPONSE]
                ],
            }
        )

    def forget(self, last_seen: int) -> None:
        for end in self.ends:
            if end["n"] <= last_seen:
                task, run = end["key"]
                self.highest[task] = max(self.highest.get(task, 0), run)
                self.log("noted", task=task, run=run, how=end["how"], number=end["n"])
        self.ends = [end for end in self.ends if end["n"] > last_seen]

    def answer(self, fields: dict) -> tuple[int, dict]:
        return 200, {"timestamp_ms": int(self.clock_ms()), "born": self.born} | fields

    def refuse(self, reason: str) -> tuple[int, dict]:
        self.log("refused", reason=reason)
        return 409, {"timestamp_ms": int(self.clock_ms()), "born": self.born, "reason": reason}

    async def handle(self, method, path, query, headers, body):
        self.advance()
        if path == "/health":
            return 200, {}
        if headers.get("expect-instance", self.options.id) != self.options.id:
            return 421, {}
        fields = json.loads(body)
        if path == "/-/run-start":
            return self.start(fields)
        if path == "/-/run-stop":
            return self.stop(fields)
        if path == "/-/hold":
            return await self.hold(fields)
        if path == "/-/pace":
            return self.answer({})
        return 400, {}

    def registration(self, sequence: int) -> str:
        value = {
            "service": self.options.service,
            "address": f"127.0.0.1:{self.options.port}",
            "zone": self.options.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.options.cpu, "mem_mb": 64_000, "gpu": 0},
            "labels": self.options.labels.split(","),
            "timestamp_ms": int(self.clock_ms()),
            "sequence": sequence,
            "born": self.born,
        }
        return base64.b64encode(json.dumps(value).encode()).decode()

    def register(self, sequence: int, lease: int) -> int:
        """Writes the registration, which is removed three heartbeats after the last one."""
        store = f"http://127.0.0.1:{self.options.store_port}"
        if lease and _post(f"{store}/-/kv-keep/{lease}", {}) is None:
            lease = 0
        if not lease:
            granted = _post(f"{store}/-/kv-lease", {"ttl_ms": 3 * HEARTBEAT_S * 1000})
            lease = granted["lease"] if granted else 0
        put = {"key": f"servers/{self.options.id}", "value": self.registration(sequence),
               "lease": lease}
        _post(f"{store}/-/kv-txn", {"expected": [], "puts": [put], "remove": []})
        return lease

    async def heartbeats(self) -> None:
        sequence = lease = 0
        while True:
            sequence += 1
            lease = await asyncio.to_thread(self.register, sequence, lease)
            await asyncio.sleep(HEARTBEAT_S)

    async def ticks(self) -> None:
        while True:
            self.advance()
            await asyncio.sleep(0.005)


def _post(url: str, body: dict) -> dict | None:
    request = urllib.request.Request(url, data=json.dumps(body).encode(), method="POST")
    try:
        with urllib.request.urlopen(request, timeout=1.0) as response:
            return json.loads(response.read())
    except (OSError, ValueError):
        return None


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--service", default="svc1")
    parser.add_argument("--labels", default="a,r1-1")
    parser.add_argument("--cpu", type=int, default=16_000)
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--unguarded", action="store_true")
    parser.add_argument("--hold-max-ms", type=int, default=6_000)
    worker = Worker(parser.parse_args())
    await http_server.serve(worker.handle, port=worker.options.port)
    await asyncio.gather(worker.heartbeats(), worker.ticks())


asyncio.run(main())
