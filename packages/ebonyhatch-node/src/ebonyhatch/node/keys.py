"""CURVE keys with which entries authenticate to each other."""

from __future__ import annotations

import dataclasses
import struct
from collections.abc import Mapping

import zmq
import zmq.utils.z85

KEY_LENGTH = 40
"""Length of a key in Z85, characters."""

KEY_BYTES = 32


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class KeyPair:
    """A pair of keys in Z85; its repr omits the secret key."""

    public: str
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class KeyRing:
    """This entry's pair of keys and the public keys of its peers by entry id, in Z85."""

    pair: KeyPair
    peers: Mapping[str, str]

    def entry_of(self, *, public: bytes) -> str | None:
        """Returns the id of the peer that a raw public key of 32 bytes belongs to, or None."""
        for entry_id, key in self.peers.items():
            if zmq.utils.z85.decode(key) == public:
                return entry_id
        return None


def new_pair() -> KeyPair:
    """Generates a new pair of keys."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public.decode(), secret=secret.decode())


def is_pair(*, public: str, secret: str) -> bool:
    """Returns whether a public key belongs to a secret key."""
    if not is_valid_key(secret):
        return False
    return zmq.curve_public(secret.encode()).decode() == public


def is_valid_key(key: str) -> bool:
    """Returns whether a text is a key, public or secret, in Z85."""
    if len(key) != KEY_LENGTH or not key.isascii():
        return False
    try:
        return len(zmq.utils.z85.decode(key)) == KEY_BYTES
    except (ValueError, KeyError, ArithmeticError, struct.error):
        return False
