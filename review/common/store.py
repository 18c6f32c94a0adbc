"""Stand-in of the platform's store: the calls of PROTOCOL.md under "The platform's metadata store".

A client of its own port `--control-port` sets the fault in force:
`GET /fault?kind=KIND`, with KIND one of none, busy (503, nothing is done) and silent (no response,
nothing is done). Leases pause while a fault is in force. After `GET /compact` watches hear nothing for
a second, and then the history is dropped.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time

import http_server

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
ANSWER_S = 0.004
MUTE_S = 1.0
VALUE_BYTES = 1_048_576
MAX_ENTRIES = 32


class Store:
    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 100
        self.events: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 77_000
        self.changed = asyncio.Event()
        self.fault = "none"
        self.fault_since = 0.0
        self.compacted = 0
        self.watches_mute = False
        self.calls: dict[str, int] = {}

    def set_fault(self, kind: str) -> None:
        now = time.monotonic()
        if self.fault != "none":
            for lease in self.leases.values():
                lease[0] += now - self.fault_since
        self.fault, self.fault_since = kind, now

    def expire(self) -> None:
        if self.fault != "none":
            return
        now = time.monotonic()
        for number in [n for n, (until, _) in self.leases.items() if until <= now]:
            self.end_lease(number)

    def end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        keys = [key for key, item in self.items.items() if item["lease"] == number]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.event({"key": key, "revision": self.revision, "deleted": True})

    def event(self, event: dict) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def txn(self, body: dict) -> tuple[int, dict]:
        expected, puts = body.get("expected", []), body.get("puts", [])
        removes = body.get("remove", [])
        if len(expected) + len(puts) + len(removes) > MAX_ENTRIES:
            return 400, {}
        if any(len(put["value"]) * 3 // 4 > VALUE_BYTES for put in puts):
            return 400, {}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items[one["key"]] for one in expected if one["key"] in self.items]
                return 412, {"items": current}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            before = self.items.get(put["key"])
            item = {
                "key": put["key"],
                "value": put["value"],
                "revision": self.revision,
                "created": before["created"] if before else self.revision,
                "lease": put.get("lease", 0),
            }
            self.items[put["key"]] = item
            self.event(item)
        for key in removes:
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.compacted:
                return 410, {}
            events = []
            for event in () if self.watches_mute else reversed(self.events):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            remaining = until - time.monotonic()
            if events or (remaining <= 0 and not self.watches_mute):
                return 200, {"events": events[::-1], "as_of": self.revision}
            if remaining <= 0:
                return 200, {"events": [], "as_of": after}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                pass

    def range(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        more = len(keys) > len(page)
        return 200, {"items": page, "has_more": more, "as_of": self.revision}

    async def handle(self, method, path, query, headers, body):
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "busy":
            return 503, {}
        await asyncio.sleep(ANSWER_S)
        self.expire()
        status, reply = await self.dispatch(method, path, query, body)
        if self.fault == "silent":
            # A watch that was waiting when the fault began gets no response either.
            await asyncio.sleep(3600)
        return status, reply

    async def dispatch(self, method, path, query, body):
        self.calls[path] = self.calls.get(path, 0) + 1
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"as_of": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            return self.range(query)
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.txn(json.loads(body))
        if path == "/-/kv-lease":
            ttl_ms = max(1000, int(json.loads(body)["ttl_ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        number = int(path.rpartition("/")[2])
        if number not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            self.leases[number][0] = time.monotonic() + self.leases[number][1] / 1000
            return 200, {"ttl_ms": self.leases[number][1]}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(number)
            return 200, {}
        return 400, {}

    async def control(self, method, path, query, headers, body):
        if path == "/fault":
            self.set_fault(query["kind"])
        if path == "/compact":
            self.watches_mute = True
            await asyncio.sleep(MUTE_S)
            self.watches_mute = False
            self.compacted = self.revision
            self.events.clear()
            self.changed.set()
            self.changed = asyncio.Event()
        count = sum(query.get("text", "") in key for key in self.items)
        return 200, {"fault": self.fault, "calls": self.calls, "count": count}


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int, required=True)
    options = parser.parse_args()
    store = Store()
    await http_server.serve(store.handle, port=options.port)
    await http_server.serve(store.control, port=options.control_port)
    while True:
        store.expire()
        await asyncio.sleep(0.05)


asyncio.run(main())
