import functools

import prometheus_client
from ebonyhatch.node import labels, metrics
from prometheus_client import parser
from twisted.internet import task


def test_pairs_beyond_the_bound_are_folded():
    counted = metrics.Metrics(label_sets=3)
    for number in range(50):
        counted.record_total_time(work_class=f"c{number % 2}", tenant=f"t{number}", seconds=0.02)
    lines = counted.render().decode().splitlines()
    counts = [line for line in lines if line.startswith("ebonyhatch_total_seconds_count")]
    assert len(counts) == 5
    assert sum(float(line.split()[-1]) for line in counts) == 50
    assert any('tenant="other"' in line for line in counts)


def test_slices_are_one_exposition(monkeypatch):
    monkeypatch.setattr(metrics, "SLICE_SAMPLES", 7)
    counted = metrics.Metrics()
    for number in range(20):
        counted.record_wait_time(work_class="c", tenant=f"t{number}", seconds=0.02)
    text = counted.render().decode()
    families = list(parser.text_string_to_metric_families(text))
    assert len({family.name for family in families}) == len(families)
    assert text == prometheus_client.generate_latest(counted._registry).decode()


def test_cooperative_rendering_gives_the_same():
    clock = task.Clock()
    cooperator = task.Cooperator(scheduler=functools.partial(clock.callLater, 0.0))
    counted = metrics.Metrics()
    counted.record_refusal(reason="deadline", outcome="not-run")
    rendered = []
    counted.render_cooperatively(cooperator=cooperator).addCallback(rendered.append)
    assert not rendered
    clock.pump([0.0] * 99)
    assert rendered == [counted.render()]


def test_reasons_and_long_values_are_bounded():
    folded = labels.LabelSet(limit=2)
    assert [folded.fold(value) for value in ("a", "b", "c", "a", "x" * 99)] == [
        "a",
        "b",
        "other",
        "a",
        "other",
    ]


def test_each_value_is_rendered():
    counted = metrics.Metrics()
    counted.record_refusal(reason="deadline", outcome="not-run")
    counted.record_eviction(work_class="c", redone_s=4.0)
    counted.record_peer_bytes("in", 10)
    counted.set_generation(generation=7, age_s=1.0)
    counted.set_reserve(slots=3, crest=True)
    text = counted.render().decode()
    for line in (
        'ebonyhatch_refusals_total{outcome="not-run",reason="deadline"} 1.0',
        'ebonyhatch_redone_seconds_total{work_class="c"} 4.0',
        'ebonyhatch_peer_bytes_total{direction="in"} 10.0',
        "ebonyhatch_generation 7.0",
        "ebonyhatch_crest 1.0",
    ):
        assert line in text
