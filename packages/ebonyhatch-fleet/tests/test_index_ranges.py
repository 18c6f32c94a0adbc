from __future__ import annotations

import random

import pytest
from ebonyhatch.fleet import index_ranges


@pytest.mark.parametrize("seed", range(20))
def test_ranges_hold_what_a_set_holds(seed):
    pick = random.Random(seed)
    subject, expected = index_ranges.IndexRanges(), set()
    for _ in range(150):
        index = pick.randrange(120)
        assert subject.add(index) is (index not in expected)
        expected.add(index)
        assert list(subject) == sorted(expected) and len(subject) == len(expected)
        probe = pick.randrange(121)
        assert (probe in subject) is (probe in expected)
        assert subject.next_absent(probe) == next(
            one for one in range(probe, 200) if one not in expected
        )
