"""Keys in the store."""

from __future__ import annotations

ROOT = "ebonyhatch/"

INTAKE = ROOT + "in/"
"""What entries write and the owner watches: submissions and cancellations."""

JOBS = INTAKE + "job/"
CANCELS = INTAKE + "cancel/"

PROGRESS = ROOT + "progress/"
"""Progress of each job, written by the owner."""

MEMBERSHIP = ROOT + "members/"
"""Who takes part and who is the owner; every entry watches it."""

OWNER = MEMBERSHIP + "owner"
ENTRIES = MEMBERSHIP + "entry/"

MODEL_SNAPSHOT = ROOT + "learnt"
"""What the owner's scheduler has learnt, for the next owner."""

TARGETS = ROOT + "targets"
"""Targets that the owner holds sessions with: the list is empty for seconds after an outage."""

HEAD = ROOT + "head"
"""Term and number of the owner's last write; each write replaces it under its revision."""


def job(job_id: str) -> str:
    """Key of a submission."""
    return JOBS + job_id


def cancel(job_id: str) -> str:
    """Key of a cancellation."""
    return CANCELS + job_id


def progress(job_id: str) -> str:
    """Key of a job's progress."""
    return PROGRESS + job_id


def entry(name: str) -> str:
    """Key of an entry."""
    return ENTRIES + name


JOB_KEYS = (job, progress, cancel)
"""Every key that a job may have."""
