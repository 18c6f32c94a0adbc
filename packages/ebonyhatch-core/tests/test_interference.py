"""Interference: pairs learnt from noisy samples; what wrong samples do."""

from __future__ import annotations

import random

from ebonyhatch.core import interference

BASE_S = 0.1


def learnt(mode="pairs", wave=1.0, load=0.4):
    source = random.Random(1)
    model = interference.Interference(mode=mode, seed=1)
    for number in range(2000):
        mild = float(source.randrange(5))
        harsh = float(source.randrange(5))
        slowdown = 1.0 + 0.0 * mild + 0.5 * harsh
        noise = source.gauss(1.0, 0.2) * (wave if number % 10 == 0 else 1.0)
        model.learn(
            urgent="quote",
            sharers=(("harsh", harsh), ("mild", mild)),
            load=load,
            answers=10,
            mean_s=BASE_S * slowdown * max(0.1, noise),
        )
    model.fit()
    return model


def test_harm_is_told_apart_by_class():
    model = learnt()
    assert 0.4 < model.slowdown("harsh", load=0.4) < 0.6
    assert model.slowdown("mild", load=0.4) < 0.1
    assert model.harmful("harsh", limit=0.15)
    assert not model.harmful("mild", limit=0.15)


def test_waves_of_noise_blame_nobody():
    model = learnt(wave=3.0)
    assert model.slowdown("mild", load=0.4) < 0.1
    assert model.harmful("harsh", limit=0.15)


def test_harm_at_high_load_counts_there_only():
    model = learnt(load=0.9)
    assert model.slowdown("harsh", load=0.9) > 0.4


def test_blind_model_knows_nothing():
    assert learnt(mode="blind").slowdown("harsh", load=0.4) == 0.0


def test_unknown_class_is_harmless():
    assert not learnt().harmful("new", limit=0.15)
