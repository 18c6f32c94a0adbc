from __future__ import annotations

import hypothesis
import pytest
from ebonyhatch.node import chunked_body
from hypothesis import strategies
from twisted.web import http


def _decoder():
    data, ends = [], []
    return chunked_body.ChunkedBody(on_data=data.append, on_end=ends.append), data, ends


def _encode(parts):
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


@pytest.mark.parametrize("step", [1, 2, 7, 2_048, 10_000_000])
@pytest.mark.parametrize("size", [1, 3, 15, 16, 1_000])
def test_body_is_the_same_however_it_arrives(size, step):
    """Guards against payload that is lost where a chunk is cut by the network."""
    payload = bytes(number % 251 for number in range(5_000))
    wire = _encode([payload[start : start + size] for start in range(0, 5_000, size)]) + b"GET"
    decoder, data, ends = _decoder()
    for start in range(0, len(wire), step):
        if ends:
            ends[0] += wire[start : start + step]
        else:
            decoder.receive(wire[start : start + step])
    assert b"".join(data) == payload
    assert ends == [b"GET"]


@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=20), max_size=50),
    strategies.integers(1, 40),
)
def test_it_decodes_as_the_library_does(parts, step):
    """Guards against runs of small chunks that are taken for other chunks."""
    wire = _encode(parts)
    decoder, data, ends = _decoder()
    library_data, library_ends = [], []
    library = http._ChunkedTransferDecoder(library_data.append, library_ends.append)
    for start in range(0, len(wire), step):
        decoder.receive(wire[start : start + step])
        library.dataReceived(wire[start : start + step])
    assert b"".join(data) == b"".join(library_data)
    assert len(ends) == len(library_ends) == 1


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [b"1", b"2", b"a", b"0", b"\r\n", b"\r", b"\n", b"x", b";", b"+", b" ", b"_", b"10"]
        ),
        max_size=30,
    )
)
def test_what_it_accepts_the_library_accepts(pieces):
    """Guards against framing that another server on the path reads in another way."""
    wire = b"".join(pieces)
    decoder, data, ends = _decoder()
    library_data, library_ends = [], []
    library = http._ChunkedTransferDecoder(library_data.append, library_ends.append)
    try:
        decoder.receive(wire)
    except chunked_body.MalformedError:
        return
    library.dataReceived(wire)
    assert b"".join(data) == b"".join(library_data)
    assert ends == library_ends


@pytest.mark.parametrize(
    "wire",
    [b"x\r\n", b"-1\r\na\r\n", b"0x1\r\na\r\n", b"1 \r\na\r\n", b"\r\n", b"1\r\nabc", b"1;\x00\r\n"]
    + [b"1" * 17 + b"\r\n", b"1;" + b"e" * 1_100],
)
def test_malformed_bodies_are_rejected(wire):
    """Guards against framing that two servers on a path read differently."""
    decoder, _, _ = _decoder()
    with pytest.raises(chunked_body.MalformedError):
        decoder.receive(wire)


@pytest.mark.parametrize("size", [b"1", b"01"])
def test_largest_body_in_chunks_of_one_byte_has_no_more_framing_than_is_allowed(size):
    """Guards against a limit that refuses a client that meets the documented ones."""
    decoder, data, ends = _decoder()
    decoder.receive((size + b"\r\nx\r\n") * 262_144 + b"0\r\n\r\n")
    assert sum(map(len, data)) == 262_144
    assert ends == [b""]


@pytest.mark.parametrize("chunk", [b"00000001\r\nx\r\n", b"1;padding\r\nx\r\n"])
def test_framing_beyond_the_limit_is_rejected(chunk):
    """Guards against clients that make the process parse many bytes for each byte of a body."""
    decoder, _, _ = _decoder()
    with pytest.raises(chunked_body.MalformedError):
        decoder.receive(chunk * 1_000)


def test_trailers_without_end_are_rejected():
    """Guards against framing without a limit after the last chunk."""
    decoder, _, _ = _decoder()
    decoder.receive(b"0\r\n")
    with pytest.raises(chunked_body.MalformedError):
        decoder.receive(b"a: b\r\n" * 1_000)
