from ebonyhatch.node import keys


def test_pairs_belong_together():
    one, two = keys.new_pair(), keys.new_pair()
    assert keys.is_pair(public=one.public, secret=one.secret)
    assert not keys.is_pair(public=one.public, secret=two.secret)
    for wrong in ("", "x" * 40, "\u00e9" * 40, "~" * 40, one.public[:-1]):
        assert not keys.is_valid_key(wrong) or len(wrong) == keys.KEY_LENGTH
        assert not keys.is_pair(public=one.public, secret=wrong)


def test_secret_is_not_in_the_repr():
    pair = keys.new_pair()
    ring = keys.KeyRing(pair=pair, peers={"a": pair.public})
    assert pair.secret not in repr(ring) and pair.secret not in repr(pair)
