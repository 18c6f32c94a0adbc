from ebonyhatch.core import configuration as in_force
from ebonyhatch.node import configuration_current, configuration_head
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result
from twisted.internet import task


def heads():
    raw = configuration_head.encode(
        configuration_head.successor(
            former=None, records=b"[]", nonce="n", written_at_s=0.0, generation=3
        )
    )
    cut = st.integers(0, len(raw)).map(lambda size: raw[:size])
    flipped = st.tuples(st.integers(0, len(raw) - 1), st.binary(min_size=1, max_size=2)).map(
        lambda edit: raw[: edit[0]] + edit[1] + raw[edit[0] + len(edit[1]) :]
    )
    other = st.sampled_from([raw.replace(b'"format":1', b'"format":2'), b"[" * 99_999, b"\xff"])
    return cut | flipped | other | st.binary(max_size=60)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(raw=heads())
def test_any_head_is_taken_or_noted(raw):
    seen = []
    current = configuration_current.Current(clock=task.Clock(), on_change=seen.append)
    taken = current.take(raw, source="a peer")
    if isinstance(taken, result.Success):
        assert current.raw == raw
        assert seen == [in_force.InForce(generation=current.generation)]
    else:
        assert current.faults[0].remedy
        assert seen == []
