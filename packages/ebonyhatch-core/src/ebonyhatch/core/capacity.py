"""Reservations on a worker; its capacity is a hard limit in each kind of resource."""

from __future__ import annotations

from ebonyhatch.core import resources, rows

ROUNDING_TOLERANCE = 1e-9
"""Tolerance for rounding errors in sums of fractional cores and gigabytes."""


def fits(worker: rows.Worker, demand: resources.Resources) -> bool:
    """Returns whether `demand` is within the free capacity of `worker`."""
    return (
        demand.slots <= worker.free_slots
        and demand.connections <= worker.free_connections
        and demand.cores <= worker.free_cores + ROUNDING_TOLERANCE
        and demand.memory_gb <= worker.free_memory_gb + ROUNDING_TOLERANCE
        and demand.accelerators <= worker.free_accelerators
    )


def reserve(worker: rows.Worker, demand: resources.Resources) -> None:
    """Subtracts `demand` from the free capacity of `worker`."""
    worker.free_slots -= demand.slots
    worker.free_connections -= demand.connections
    worker.free_cores -= demand.cores
    worker.free_memory_gb -= demand.memory_gb
    worker.free_accelerators -= demand.accelerators


def release(worker: rows.Worker, demand: resources.Resources) -> None:
    """Adds `demand` to the free capacity of `worker`."""
    worker.free_slots += demand.slots
    worker.free_connections += demand.connections
    worker.free_cores += demand.cores
    worker.free_memory_gb += demand.memory_gb
    worker.free_accelerators += demand.accelerators


def recount(worker: rows.Worker) -> None:
    """Recomputes the free capacity of `worker` from its capacity and all its reservations."""
    worker.free_slots = worker.capacity.slots
    worker.free_connections = worker.capacity.connections
    worker.free_cores = worker.capacity.cores
    worker.free_memory_gb = worker.capacity.memory_gb
    worker.free_accelerators = worker.capacity.accelerators
    for task in worker.tasks.values():
        reserve(worker, task.demand)
    for request in worker.requests.values():
        reserve(worker, request.demand)
    for demand in worker.unresolved_reservations.values():
        reserve(worker, demand)
