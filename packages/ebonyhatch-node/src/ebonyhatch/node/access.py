"""Access control for operators by bearer tokens, of which only hashes are stored."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

SCHEME = "bearer"

TOKEN_LIMIT_CHARACTERS = 512
"""Maximum length of a token; longer ones are refused without being hashed."""


class Access:
    """Authenticates operators.

    Args:
        token_sha256: SHA-256 of each token in hexadecimal; if empty, all access is denied.
    """

    __slots__ = ("_hashes",)

    def __init__(self, *, token_sha256: Sequence[str]) -> None:
        self._hashes = tuple(text.encode("ascii", "replace") for text in token_sha256)

    def __repr__(self) -> str:
        return f"Access({len(self._hashes)} tokens)"

    def allows(self, *, authorization: str) -> bool:
        """Returns whether an `Authorization` header has a known token.

        The duration does not depend on which token matches, nor on the length of a partial match.
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
    """Returns the hash of a token in the form that the settings use."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
