from __future__ import annotations

import msgspec
import pytest
from ebonyhatch.fleet import decoding


class Record(msgspec.Struct):
    name: str = ""
    amount: int = 0


NESTED = b'{"name": "a", "unknown": ' + b"[" * 5_000 + b"]" * 5_000 + b"}"


@pytest.mark.parametrize(
    "value",
    [NESTED, b"[" * 100_000, b'{"name": "\xff"}', b'{"amount": 1' + b"0" * 5_000 + b"}", b"", b"{"],
)
def test_bytes_that_no_record_can_hold_are_unreadable(value):
    with pytest.raises(decoding.UnreadableError):
        decoding.decode(value, Record)


def test_a_record_is_decoded():
    assert decoding.decode(b'{"name": "a", "more": 1}', Record) == Record(name="a")
