"""Keys of all records in the store."""

from __future__ import annotations

ROOT = "ebonyhatch/"

INTAKE = ROOT + "in/"
"""Prefix of submissions and cancellations, which entries write and the owner watches."""

JOBS = INTAKE + "job/"
CANCELS = INTAKE + "cancel/"

PROGRESS = ROOT + "progress/"
"""Prefix of the progress of each job, which the owner writes."""

MEMBERSHIP = ROOT + "members/"
"""Prefix of the entries and of the owner's key, which every entry watches."""

OWNER = MEMBERSHIP + "owner"
ENTRIES = MEMBERSHIP + "entry/"

MODEL_SNAPSHOT = ROOT + "learnt"
"""Learned model of the owner's scheduler, for the next owner."""

TARGETS = ROOT + "targets/"
"""Prefix of the targets that the owner has sessions with, for the next owner; a key holds a group of
them. The list of registered targets is empty for seconds after an outage."""

FORMER_TARGETS = ROOT + "targets"
"""Record of all known targets as entries before the groups write it; see `known_targets.merge`."""

SILENT_TARGETS = ROOT + "silent"
"""Marks of targets whose leases no owner renews; written only together with the head."""

HEAD = ROOT + "head"
"""Term and number of the owner's last write. Each write replaces it on condition of its revision."""


def job(job_id: str) -> str:
    """Returns the key of a submission."""
    return JOBS + job_id


def cancel(job_id: str) -> str:
    """Returns the key of a cancellation."""
    return CANCELS + job_id


def progress(job_id: str) -> str:
    """Returns the key of a job's progress."""
    return PROGRESS + job_id


def targets(group: int) -> str:
    """Returns the key of a group of known targets."""
    return f"{TARGETS}{group:02d}"


def entry(name: str) -> str:
    """Returns the key of an entry."""
    return ENTRIES + name


JOB_KEYS = (job, progress, cancel)
"""Functions that return the keys that a job may have."""
