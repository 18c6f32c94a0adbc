"""Access of operators by bearer tokens, of which only hashes are kept."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

SCHEME = "bearer"

TOKEN_LIMIT_CHARACTERS = 512
"""Longest token that is hashed."""


class Access:
    """Tells operators from others.

    Args:
        token_sha256: SHA-256 of each token in hexadecimal; without any nobody has access.
    """

    __slots__ = ("_hashes",)

    def __init__(self, *, token_sha256: Sequence[str]) -> None:
        self._hashes = tuple(text.encode("ascii", "replace") for text in token_sha256)

    def __repr__(self) -> str:
        return f"Access({len(self._hashes)} tokens)"

    def allows(self, *, authorization: str) -> bool:
        """Tell whether an `Authorization` header carries a known token.

        The time taken doesn't depend on which token matches, nor on how far.
        """
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != SCHEME or not 0 < len(token) <= TOKEN_LIMIT_CHARACTERS:
            return False
        presented = digest(token).encode("ascii")
        found = False
        for known in self._hashes:
            found |= hmac.compare_digest(known, presented)
        return found


def digest(token: str) -> str:
    """Hash a token as it stands in the settings."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
