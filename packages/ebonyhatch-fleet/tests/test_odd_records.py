from __future__ import annotations

import pytest
import world as world_module
from ebonyhatch.fleet import entry, jobs, keys, store

NESTED = b'{"unknown": ' + b"[" * 5_000 + b"]" * 5_000 + b"}"
ODD_KEYS = (
    keys.job("f" * 16),
    keys.progress("e" * 16),
    keys.cancel("d" * 16),
    keys.entry("odd"),
    keys.targets(3),
    keys.FORMER_TARGETS,
    keys.MODEL_SNAPSHOT,
    keys.SILENT_TARGETS,
)


@pytest.mark.parametrize(
    "value",
    [NESTED, b"\x00\xff", b"{}", b"[]", b""],
    ids=("nested", "not-utf-8", "object", "list", "empty"),
)
@pytest.mark.parametrize("key", ODD_KEYS)
def test_one_odd_record_in_the_store_holds_up_nothing(key, value):
    world = world_module.World(entries=3)
    world.run_until(lambda: world.owner is not None and world.owner.node.owner.recovered)
    world.store.commit((), (store.Put(key=key, value=value),), ())
    world.run(0.5)
    before = world.job(jobs.Step(count=2, cpu_millis=500), work_s=0.5)
    assert world.submit(before).verdict == entry.Verdict.DONE
    world.run_until(lambda: world.state(before.job_id) == "completed", limit_s=5.0)
    world.kill(world.owner.name)
    world.start("e9")
    after = world.job(jobs.Step(count=2, cpu_millis=500), work_s=0.5)
    assert world.submit(after).verdict == entry.Verdict.DONE
    world.run_until(lambda: world.state(after.job_id) == "completed", limit_s=15.0)
    world_module.check_all(world)
