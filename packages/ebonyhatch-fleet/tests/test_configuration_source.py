from __future__ import annotations

import msgspec
import scripted
import world as world_module
from ebonyhatch.fleet import (
    clocks,
    configuration_source,
    memory_link,
    memory_store,
    queues,
    store,
)
from ebonyhatch.node import coroutines
from twisted.internet import task


def test_failed_watches_do_not_make_the_configuration_be_read_anew():
    clock = task.Clock()
    engine = memory_store.StoreEngine(clock=clock)
    port = scripted.ScriptedStore(engine=engine)
    versions: list[int] = []

    def configure(version: int) -> None:
        value = msgspec.json.encode(queues.Configuration(version=version))
        put = store.Put(key=world_module.CONFIGURATION_KEY, value=value)
        engine.commit((), (put,), ())

    with scripted.logged() as lines:
        configure(1)
        configuration_source.ConfigurationSource(
            store_port=port,
            codec=world_module.Codec(),
            all_clocks=clocks.MemoryClocks(clock=clock),
            group=coroutines.CoroutineGroup(clock=clock),
            on_change=lambda configuration: versions.append(configuration.version),
        ).start()
        scripted.advance(clock, 1.0)
        port.fails = lambda call: True
        scripted.advance(clock, 5.0)
        configure(2)
        port.fails = lambda call: False
        scripted.advance(clock, 1.0)
    assert versions == [1, 2]
    assert len(port.of("list_page")) == 1
    in_force = [line for line in lines if line["message_type"] == "configuration.in_force"]
    assert [line["version"] for line in in_force] == [1, 2]


def test_failed_watches_and_the_way_of_a_version_are_logged():
    clock = task.Clock()
    engine = memory_store.StoreEngine(clock=clock)
    port = scripted.ScriptedStore(engine=engine)
    with scripted.logged() as lines:
        source = _follow(engine, port=port)
        scripted.advance(clock, 1.0)
        port.fails = lambda call: True
        scripted.advance(clock, 5.0)
        assert source.silent_s > 3.0
        value = msgspec.json.encode(queues.Configuration(version=3))
        source.apply_from_peer(value, revision=7, peer="e2")
        port.fails = lambda call: False
        scripted.advance(clock, 2.5)
    assert source.silent_s < 2.0
    events = [line["message_type"] for line in lines]
    assert events.count("configuration.watch_failed") == 1
    assert events.count("configuration.watch_answered") == 1
    in_force = next(line for line in lines if line["message_type"] == "configuration.in_force")
    assert in_force["source"] == "peer e2"
    assert in_force["bytes"] == len(value)
    assert in_force["store_silent_s"] > 3.0


class FailingCodec(world_module.Codec):
    """Fails with an error that no decoder documents on one version."""

    def __init__(self, *, version: int) -> None:
        self._version = version

    def decode(self, value: bytes) -> queues.Configuration | None:
        configuration = super().decode(value)
        if configuration is not None and configuration.version == self._version:
            raise RecursionError("maximum recursion depth exceeded")
        return configuration


def _follow(engine, *, port=None, codec=None, on_change=lambda configuration: None):
    clock = engine.clock
    source = configuration_source.ConfigurationSource(
        store_port=port or memory_store.MemoryStore(engine=engine),
        codec=codec or world_module.Codec(),
        all_clocks=clocks.MemoryClocks(clock=clock),
        group=coroutines.CoroutineGroup(clock=clock),
        on_change=on_change,
    )
    source.start()
    return source


class PaddedCodec(world_module.Codec):
    """Reads versions that are padded to a size, and none of other bytes."""

    def decode(self, value: bytes) -> queues.Configuration | None:
        try:
            return super().decode(value.rstrip())
        except msgspec.DecodeError:
            return None


def _configure(engine, version: int, *, padding: int = 0) -> None:
    value = msgspec.json.encode(queues.Configuration(version=version)) + b" " * padding
    engine.commit((), (store.Put(key=world_module.CONFIGURATION_KEY, value=value),), ())


def test_entry_still_receives_versions_after_an_unexpected_error_of_the_decoder():
    clock = task.Clock()
    engine = memory_store.StoreEngine(clock=clock)
    _configure(engine, 1)
    source = _follow(engine, codec=FailingCodec(version=2))
    scripted.advance(clock, 1.0)
    _configure(engine, 2)
    scripted.advance(clock, 5.0)
    _configure(engine, 3)
    scripted.advance(clock, 2.0)
    assert source.current.version == 3


def test_version_whose_announcement_failed_is_announced_again():
    clock = task.Clock()
    engine = memory_store.StoreEngine(clock=clock)
    announced: list[int] = []

    def announce(configuration: queues.Configuration) -> None:
        announced.append(configuration.version)
        if len(announced) == 1:
            raise RuntimeError("the owner failed")

    _configure(engine, 1)
    source = _follow(engine, on_change=announce)
    scripted.advance(clock, 1.0)
    assert announced == [1, 1]
    _configure(engine, 2)
    scripted.advance(clock, 1.0)
    assert announced == [1, 1, 2]
    assert source.current.version == 2


def test_watch_on_a_thin_link_goes_on_after_the_version_of_a_peer():
    clock = task.Clock()
    engine = memory_store.StoreEngine(clock=clock)
    link = memory_link.Link(clock=clock, bytes_per_s=250_000)
    _configure(engine, 1)
    port = memory_store.MemoryStore(engine=engine, link=link)
    source = _follow(engine, port=port, codec=PaddedCodec())
    scripted.advance(clock, 1.0)
    for version in range(2, 14):
        _configure(engine, version, padding=200_000)
        scripted.advance(clock, 0.33)
    item = engine.items[world_module.CONFIGURATION_KEY]
    source.apply_from_peer(item.value, revision=item.revision, peer="e2")
    scripted.advance(clock, 0.5)
    _configure(engine, 14)
    scripted.advance(clock, 1.0)
    assert source.current.version == 14
    assert link.received_bytes < 1_500_000


def test_last_readable_version_of_several_is_in_force():
    clock = task.Clock()
    engine = memory_store.StoreEngine(clock=clock)
    applied: list[int] = []
    _configure(engine, 1)
    source = _follow(
        engine,
        codec=PaddedCodec(),
        on_change=lambda configuration: applied.append(configuration.version),
    )
    scripted.advance(clock, 1.0)
    _configure(engine, 2)
    _configure(engine, 3)
    engine.commit((), (store.Put(key=world_module.CONFIGURATION_KEY, value=b"{"),), ())
    scripted.advance(clock, 1.0)
    assert source.current.version == 3
    assert applied == [1, 3]
