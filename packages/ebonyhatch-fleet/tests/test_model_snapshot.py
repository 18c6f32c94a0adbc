from __future__ import annotations

import hashlib

import pytest
from ebonyhatch.fleet import interference, model_snapshot, run_times


def _image(number: int) -> str:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return f"registry.example/planning/frames/cutting-plan-service@sha256:{digest}"


def _learn(times: run_times.RunTimes, number: int, *, run_s: float = 2.0) -> None:
    times.learn(queue="q", image=_image(number), estimate_s=1.0, run_s=run_s)


def _restored(value: bytes) -> run_times.RunTimes:
    times = run_times.RunTimes()
    model_snapshot.restore(value, model=interference.InterferenceModel(), times=times)
    return times


@pytest.mark.parametrize("count", [100, 8_000])
def test_snapshot_of_many_images_stays_small(count):
    """Guards against a record that outgrows the largest value of the store and stops the journal."""
    times, model = run_times.RunTimes(), interference.InterferenceModel()
    for number in range(count):
        _learn(times, number)
    model.restore(tuple((_image(n), _image(n + 1), 0.5) for n in range(count)))
    value = model_snapshot.encode(model=model, times=times)
    assert 10_000 < len(value) <= model_snapshot.MAX_BYTES


def test_snapshot_holds_what_was_learned_last():
    times = run_times.RunTimes()
    _learn(times, 0, run_s=5.0)
    for number in range(1, 3_000):
        _learn(times, number)
        if number % 100 == 0:
            _learn(times, 0, run_s=5.0)
    value = model_snapshot.encode(model=interference.InterferenceModel(), times=times)
    restored = _restored(value)
    expected = times.expected_s(queue="q", image=_image(0), estimate_s=0.0)
    assert restored.expected_s(queue="q", image=_image(0), estimate_s=0.0) == pytest.approx(
        expected
    )
    assert _image(2_999).encode() in value and _image(1).encode() not in value
    assert restored.expected_s(queue="q", image="new", estimate_s=0.0) > 1.5, "that of the queue"


def test_snapshot_that_was_restored_keeps_its_order():
    times = run_times.RunTimes()
    for number in range(50):
        _learn(times, number)
    model = interference.InterferenceModel()
    value = model_snapshot.encode(model=model, times=times)
    assert model_snapshot.encode(model=model, times=_restored(value)) == value


def test_one_image_longer_than_the_limit_leaves_room_for_the_others():
    times = run_times.RunTimes()
    _learn(times, 1)
    times.learn(queue="q", image="i" * model_snapshot.MAX_BYTES, estimate_s=1.0, run_s=2.0)
    value = model_snapshot.encode(model=interference.InterferenceModel(), times=times)
    assert len(value) <= model_snapshot.MAX_BYTES and _image(1).encode() in value
