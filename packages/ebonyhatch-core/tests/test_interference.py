"""The interference model learns pairs of classes from noisy samples and tolerates outliers."""

from __future__ import annotations

import random

from ebonyhatch.core import interference

BASE_S = 0.1


def trained_model(mode="pairs", outlier_factor=1.0, load=0.4):
    source = random.Random(1)
    model = interference.Interference(mode=mode, seed=1)
    for number in range(2000):
        mild = float(source.randrange(5))
        harsh = float(source.randrange(5))
        slowdown = 1.0 + 0.0 * mild + 0.5 * harsh
        noise = source.gauss(1.0, 0.2) * (outlier_factor if number % 10 == 0 else 1.0)
        model.learn(
            urgent="quote",
            colocated_classes=(("harsh", harsh), ("mild", mild)),
            load=load,
            answers=10,
            mean_s=BASE_S * slowdown * max(0.1, noise),
        )
    model.fit()
    return model


def test_interference_is_attributed_to_the_class_that_causes_it():
    model = trained_model()
    assert 0.4 < model.slowdown("harsh", load=0.4) < 0.6
    assert model.slowdown("mild", load=0.4) < 0.1
    assert model.interferes("harsh", limit=0.15)
    assert not model.interferes("mild", limit=0.15)


def test_outliers_are_attributed_to_no_class():
    model = trained_model(outlier_factor=3.0)
    assert model.slowdown("mild", load=0.4) < 0.1
    assert model.interferes("harsh", limit=0.15)


def test_interference_at_high_load_is_predicted_there():
    model = trained_model(load=0.9)
    assert model.slowdown("harsh", load=0.9) > 0.4


def test_blind_model_predicts_no_slowdown():
    assert trained_model(mode="blind").slowdown("harsh", load=0.4) == 0.0


def test_unknown_class_does_not_interfere():
    assert not trained_model().interferes("new", limit=0.15)
