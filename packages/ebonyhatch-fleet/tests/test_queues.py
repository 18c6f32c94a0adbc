from __future__ import annotations

import msgspec
from ebonyhatch.fleet import queues


def _queue(name: str, *, host: str = "h", prefix: str = "/") -> queues.Queue:
    return queues.Queue(name=name, host=host, prefix=prefix, pool="p")


CONFIGURATION = queues.Configuration(
    version=1,
    queues=(
        _queue("a", prefix="/a/"),
        _queue("b", prefix="/a/b/"),
        _queue("c", host="other", prefix="/a/"),
        _queue("a", prefix="/later/"),
    ),
)


def test_the_first_queue_of_a_name_is_found():
    assert CONFIGURATION.queue("a").prefix == "/a/"
    assert CONFIGURATION.queue("d") is None


def test_the_longest_prefix_on_the_host_is_found():
    assert CONFIGURATION.queue_at(host="h", path="/a/b/1").name == "b"
    assert CONFIGURATION.queue_at(host="h", path="/a/c").name == "a"
    assert CONFIGURATION.queue_at(host="other", path="/a/b/1").name == "c"
    assert CONFIGURATION.queue_at(host="none", path="/a/") is None


def test_lookups_change_neither_the_encoding_nor_the_comparison():
    CONFIGURATION.queue("a")
    encoded = msgspec.json.encode(CONFIGURATION)
    assert msgspec.json.decode(encoded, type=queues.Configuration) == CONFIGURATION
    assert b"_by_" not in encoded
