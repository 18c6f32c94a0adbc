from __future__ import annotations

import collections

import msgspec
import pytest
import world as world_module
from ebonyhatch.fleet import memory_peers, messages, queues

SMALLEST_LINK_BYTES_PER_S = 250_000
CONFIGURATION_MESSAGES = (messages.ConfigurationNotice, messages.NewerConfigurationCall)


def _large(version: int, *, routes: int = 1_000) -> queues.Configuration:
    return queues.Configuration(
        version=version,
        queues=tuple(
            msgspec.structs.replace(
                world_module.QUEUE, name=f"q{number}", host=f"h{number % 7}", prefix=f"/q{number}/"
            )
            for number in range(routes)
        ),
        pools=(world_module.POOL_ROW,),
    )


@pytest.fixture
def sent_bytes(monkeypatch):
    """Bytes of configuration messages that each entry has sent, by its name."""
    sent: dict[str, int] = collections.Counter()
    receive = memory_peers.MemoryPeers.receive
    complete = memory_peers._complete

    def count(port, sender, message, done):
        if isinstance(message, CONFIGURATION_MESSAGES):
            sent[sender] += len(msgspec.msgpack.encode(message))
        if isinstance(message, messages.NewerConfigurationCall):
            replying.append(port._entry_id)
        return receive(port, sender, message, done)

    def count_reply(done, outcome):
        reply = outcome.value_or(None)
        if isinstance(reply, messages.ConfigurationNotice):
            sent[replying.pop()] += len(msgspec.msgpack.encode(reply))
        complete(done, outcome)

    replying: list[str] = []
    monkeypatch.setattr(memory_peers.MemoryPeers, "receive", count)
    monkeypatch.setattr(memory_peers, "_complete", count_reply)
    return sent


def _world(entries: int) -> world_module.World:
    world = world_module.World(entries=entries, target_count=1, large=True)
    world.run_until(lambda: all(member.node.ready for member in world.members.values()))
    world.run(2.0)
    return world


def test_large_version_is_not_sent_whole_to_peers_that_the_store_serves(sent_bytes):
    world = _world(41)
    sent_bytes.clear()
    world.configure(_large(9))
    world.run(1.0)
    assert all(member.node.configuration.version == 9 for member in world.members.values())
    assert max(sent_bytes.values()) < 0.1 * SMALLEST_LINK_BYTES_PER_S


def test_large_version_reaches_entries_that_the_store_refuses_in_time(sent_bytes):
    world = _world(41)
    refused = [world.members[f"e{number}"] for number in range(0, 41, 3)]
    for member in refused:
        member.store.faults.refuse = True
    world.run(3.0)
    sent_bytes.clear()
    world.configure(_large(9))
    world.run_until(
        lambda: all(member.node.configuration.version == 9 for member in refused), limit_s=2.0
    )
    assert max(sent_bytes.values()) < SMALLEST_LINK_BYTES_PER_S


def test_damaged_value_of_a_peer_changes_nothing():
    world = world_module.World(entries=2)
    world.run_until(lambda: world.members["e0"].node.ready)
    peer = world.network.members["e1"]
    for value in (b"", b"damaged", b"\x78\x9c" + b"\x00" * 50):
        damaged = messages.ConfigurationNotice(version=7, deflated=value)
        peer.handle(messages.NewerConfigurationCall, lambda sender, call, reply=damaged: reply)
        world.run(2.0)
        assert world.members["e0"].node.configuration.version == 1
    world.configure(_large(8, routes=3))
    world.run(1.0)
    assert world.members["e0"].node.configuration.version == 8
