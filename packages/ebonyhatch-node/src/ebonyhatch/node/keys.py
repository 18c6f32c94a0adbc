"""CURVE keys by which entries prove themselves to each other."""

from __future__ import annotations

import dataclasses
import struct
from collections.abc import Mapping

import zmq
import zmq.utils.z85

KEY_LENGTH = 40
"""Characters of a key in Z85."""

KEY_BYTES = 32


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class KeyPair:
    """A new pair in Z85; the secret half is not shown."""

    public: str
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class KeyRing:
    """This entry's pair and the public keys of its peers by entry id, in Z85."""

    pair: KeyPair
    peers: Mapping[str, str]

    def entry_of(self, *, public: bytes) -> str | None:
        """Name the peer that a raw public key of 32 bytes belongs to."""
        for entry_id, key in self.peers.items():
            if zmq.utils.z85.decode(key) == public:
                return entry_id
        return None


def new_pair() -> KeyPair:
    """Draw a new pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public.decode(), secret=secret.decode())


def is_pair(*, public: str, secret: str) -> bool:
    """Tell whether a public key belongs to a secret one."""
    if not is_public(secret):
        return False
    return zmq.curve_public(secret.encode()).decode() == public


def is_public(key: str) -> bool:
    """Tell whether a text is a key in Z85."""
    if len(key) != KEY_LENGTH or not key.isascii():
        return False
    try:
        return len(zmq.utils.z85.decode(key)) == KEY_BYTES
    except (ValueError, KeyError, ArithmeticError, struct.error):
        return False
