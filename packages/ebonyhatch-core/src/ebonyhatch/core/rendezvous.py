"""Rendezvous hashing: which candidate a key prefers, with few moves when candidates change."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

_DIGEST_BYTES = 8


def score(*, key: str, candidate: str) -> int:
    """Weight of `candidate` for `key`; the largest is preferred."""
    digest = hashlib.blake2b(f"{candidate}\x00{key}".encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def ranked(*, key: str, candidates: Iterable[str]) -> list[str]:
    """Candidates in the order in which `key` prefers them."""
    return sorted(
        set(candidates),
        key=lambda candidate: (score(key=key, candidate=candidate), candidate),
        reverse=True,
    )


def cell_name(failure_domain: str, index: int) -> str:
    """Name of a cell of a failure domain."""
    return f"{failure_domain}.{index}"


def domain_of_cell(cell: str) -> str:
    """Failure domain whose workers a cell holds."""
    return cell.rpartition(".")[0]


def cell_of_worker(failure_domain: str, worker_id: str, cells_per_domain: int) -> str:
    """Cell of a worker; depends only on its failure domain and its id."""
    index = score(key=worker_id, candidate=failure_domain) % max(cells_per_domain, 1)
    return cell_name(failure_domain, index)


def home_cell(key: str, cells: Sequence[str]) -> str:
    """Cell that keeps the record of `key`; empty when there are no cells."""
    return ranked(key=key, candidates=cells)[0] if cells else ""
