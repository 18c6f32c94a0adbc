"""Reservations on a worker, a hard limit in every kind of capacity."""

from __future__ import annotations

from ebonyhatch.core import resources, rows

ROUNDING = 1e-9
"""Tolerance for sums of fractions of cores and gigabytes."""


def fits(worker: rows.Worker, demand: resources.Resources) -> bool:
    """Tell whether `demand` is within what is free on `worker`."""
    return (
        demand.slots <= worker.free_slots
        and demand.connections <= worker.free_connections
        and demand.cores <= worker.free_cores + ROUNDING
        and demand.memory_gb <= worker.free_memory_gb + ROUNDING
        and demand.accelerators <= worker.free_accelerators
    )


def reserve(worker: rows.Worker, demand: resources.Resources) -> None:
    """Take `demand` from what is free."""
    worker.free_slots -= demand.slots
    worker.free_connections -= demand.connections
    worker.free_cores -= demand.cores
    worker.free_memory_gb -= demand.memory_gb
    worker.free_accelerators -= demand.accelerators


def release(worker: rows.Worker, demand: resources.Resources) -> None:
    """Give `demand` back to what is free."""
    worker.free_slots += demand.slots
    worker.free_connections += demand.connections
    worker.free_cores += demand.cores
    worker.free_memory_gb += demand.memory_gb
    worker.free_accelerators += demand.accelerators


def recount(worker: rows.Worker) -> None:
    """Work out what is free from the capacity and all reservations."""
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
