"""Rendezvous hashing: assigns keys to candidates so that few keys move when candidates change."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

_DIGEST_BYTES = 8


def score(*, key: str, candidate: str) -> int:
    """Returns the score of `candidate` for `key`; the candidate with the highest is preferred."""
    digest = hashlib.blake2b(f"{candidate}\x00{key}".encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def ranked(*, key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates without duplicates, by descending score for `key`."""
    return sorted(
        set(candidates),
        key=lambda candidate: (score(key=key, candidate=candidate), candidate),
        reverse=True,
    )


def cell_name(failure_domain: str, index: int) -> str:
    """Returns the name of cell `index` of a failure domain."""
    return f"{failure_domain}.{index}"


def domain_of_cell(cell: str) -> str:
    """Returns the failure domain of the workers of a cell."""
    return cell.rpartition(".")[0]


def cell_of_worker(failure_domain: str, worker_id: str, cells_per_domain: int) -> str:
    """Returns the cell of a worker.

    It depends only on the failure domain and id of the worker and on the number of cells.
    """
    index = score(key=worker_id, candidate=failure_domain) % max(cells_per_domain, 1)
    return cell_name(failure_domain, index)


def home_cell(key: str, cells: Sequence[str]) -> str:
    """Returns the cell that stores the record of `key`; empty if there are no cells."""
    return ranked(key=key, candidates=cells)[0] if cells else ""
