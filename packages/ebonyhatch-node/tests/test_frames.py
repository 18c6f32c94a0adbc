import msgspec
from ebonyhatch.node import frames, messages
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import pipeline

CALL = messages.OwnershipReply(version=3, record=b"record")
GOOD = frames.encode(kind=frames.Kind.CALL, sender="a", correlation=b"id", message=CALL)


def test_round_trip():
    frame = frames.decode(GOOD).unwrap()
    assert (frame.kind, frame.sender, frame.correlation) == (frames.Kind.CALL, "a", b"id")
    assert frames.decode_message(frame).unwrap() == CALL


def test_newer_version_with_other_fields_is_named():
    newer = msgspec.msgpack.encode([2, {"quite": "different"}])
    assert isinstance(frames.decode(newer).failure(), frames.UnknownVersionError)


def test_names_and_ids_are_bounded():
    for sender, correlation in (("x" * 65, b""), ("x", bytes(33))):
        data = frames.encode(kind=frames.Kind.PING, sender=sender, correlation=correlation)
        assert isinstance(frames.decode(data).failure(), frames.BadFrameError)


MUTATIONS = st.builds(
    lambda cut, at, byte: (GOOD[:at] + bytes([byte]) + GOOD[at + 1 :])[:cut],
    st.integers(0, len(GOOD)),
    st.integers(0, len(GOOD) - 1),
    st.integers(0, 255),
)
NESTED = st.integers(1, 5000).map(lambda depth: b"\x95\x01\x01\xa1a\xc4\x00" + b"\x91" * depth)
PACKED = st.recursive(
    st.none() | st.booleans() | st.floats() | st.binary(max_size=9) | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=12,
).map(lambda value: msgspec.msgpack.encode([1, 1, "a", b"", value]))


@settings(derandomize=True, deadline=None, max_examples=400)
@given(data=st.binary(max_size=60) | MUTATIONS | NESTED | PACKED)
def test_fuzz_gives_only_typed_errors(data):
    outcome = frames.decode(data)
    if not pipeline.is_successful(outcome):
        assert isinstance(outcome.failure(), frames.FrameError)
        return
    message = frames.decode_message(outcome.unwrap())
    assert isinstance(
        message.value_or(None) or message.failure(), messages.Message | frames.FrameError
    )
