"""Base class of typed errors; each message states the problem and the remedy."""

from __future__ import annotations


class EbonyhatchError(Exception):
    """Base class of all errors that the project raises or returns.

    Subclasses accept keyword arguments only, store them as attributes and build a message that
    ends with the remedy.
    """

    def __init__(self, *, problem: str, remedy: str) -> None:
        """Builds the message from its two parts and stores both.

        Args:
            problem: What went wrong, including the values that explain it.
            remedy: What the reader of the message can do about it.
        """
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy
