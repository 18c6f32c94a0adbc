from __future__ import annotations

import msgspec
import scripted
import world as world_module
from ebonyhatch.fleet import clocks, configuration_source, memory_store, queues, store
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
            on_change=lambda configuration, value: versions.append(configuration.version),
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
    source = configuration_source.ConfigurationSource(
        store_port=port,
        codec=world_module.Codec(),
        all_clocks=clocks.MemoryClocks(clock=clock),
        group=coroutines.CoroutineGroup(clock=clock),
        on_change=lambda configuration, value: None,
    )
    with scripted.logged() as lines:
        source.start()
        scripted.advance(clock, 1.0)
        port.fails = lambda call: True
        scripted.advance(clock, 5.0)
        assert source.silent_s > 3.0
        value = msgspec.json.encode(queues.Configuration(version=3))
        source.apply(value, source="peer e2")
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
