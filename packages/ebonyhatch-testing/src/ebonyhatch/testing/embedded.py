"""One entry in the current process over in-memory twins of the platform."""

from __future__ import annotations

from typing import Any

from ebonyhatch.core import resources
from ebonyhatch.node import daemon, settings
from ebonyhatch.ports import instances, memory_instances, memory_store, memory_workers
from ebonyhatch.testing import processes

HOST = "127.0.0.1"
SEED = 1
WORKER_CAPACITY = resources.Resources(slots=8, connections=64, cores=16.0, memory_gb=63.0)


class EmbeddedEntry:
    """A daemon with an in-memory store and in-memory workers, listening on free ports.

    Attributes:
        daemon: The daemon of the entry.
        platform: The in-memory twins.
    """

    def __init__(self, *, reactor: Any, worker_ids: tuple[str, ...]) -> None:
        twins = memory_workers.MemoryWorkers(clock=reactor)
        listed = memory_instances.MemoryInstances(clock=reactor)
        for worker_id in worker_ids:
            twins.add(worker_id=worker_id, capacity=WORKER_CAPACITY)
            listed.directory.put(_instance(worker_id))
        self.platform = daemon.Platform(
            store=memory_store.MemoryStore(clock=reactor), workers=twins, instances=listed
        )
        self.daemon = daemon.Daemon(
            chosen=_settings(), reactor=reactor, platform=self.platform, seed=SEED
        )

    async def start(self) -> None:
        """Starts the entry."""
        await self.daemon.start()

    async def close(self) -> None:
        """Stops the entry gracefully."""
        await self.daemon.close()

    def caller_url(self, path: str) -> str:
        """Returns a URL of the callers' API."""
        return f"http://{HOST}:{self.daemon.callers_port}{path}"

    def admin_url(self, path: str) -> str:
        """Returns a URL of the administration API."""
        return f"http://{HOST}:{self.daemon.admin_port}{path}"


def _settings() -> settings.Settings:
    anywhere = settings.Endpoint(host=HOST, port=0)
    return settings.Settings(
        entry=settings.Entry(
            id="entry-a", region="region-1", failure_domain="domain-1", rack="rack-1"
        ),
        listen=settings.Listen(callers=anywhere, admin=anywhere, peers=anywhere),
        platform=settings.Platform(store=anywhere, instances=anywhere, workers_fenced=True),
        access=settings.Access(token_sha256=(processes.TOKEN_SHA256,)),
    )


def _instance(worker_id: str) -> instances.Instance:
    return instances.Instance(
        instance_id=worker_id,
        role=instances.Role.WORKER,
        state=instances.InstanceState.LIVE,
        host=HOST,
        port=1,
        region="region-1",
        failure_domain="domain-1",
        rack="rack-1",
    )
