"""Typed error kinds; each message says what went wrong and names the remedy."""

from __future__ import annotations


class EbonyhatchError(Exception):
    """Base of every error that the project raises or returns.

    Subclasses take keyword arguments only, keep them as attributes and give a message
    that ends with the remedy.
    """

    def __init__(self, *, problem: str, remedy: str) -> None:
        """Keep both halves of the message.

        Args:
            problem: What went wrong, with the values that explain it.
            remedy: What the reader can do about it.
        """
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy
