import collections
import random

from ebonyhatch.core import scheduler
from ebonyhatch.node import forwarding

FULL = {"free_slots": 0, "wait_s": 0.2, "queued_urgent": 3}


def capacity(free_slots=0, wait_s=0.0, queued_urgent=0):
    return scheduler.CapacitySummary(
        free_slots=free_slots,
        total_slots=32,
        queued_urgent=queued_urgent,
        wait_s=wait_s,
        queued_batch=0,
    )


def target(cell):
    return forwarding.Target(entry_id=f"entry-of-{cell}", cell=cell)


def make(**summaries):
    chooser = forwarding.Forwarding(generator=random.Random(7))
    for cell, summary in summaries.items():
        chooser.update(target=target(cell), room=summary, reported_at=1.0)
    return chooser


def test_no_forwarding_while_own_cell_has_free_capacity():
    chooser = make(a=capacity(30))
    assert chooser.choose(now=1.0, own=capacity(1)) is None
    assert chooser.choose(now=1.0, own=capacity(**FULL)) == target("a")
    assert make().choose(now=1.0) is None


def test_choices_spread_over_cells_with_free_capacity_and_are_debited():
    chooser = make(a=capacity(20), b=capacity(18), c=capacity(16), full=capacity(**FULL))
    chosen = collections.Counter()
    for _ in range(54):
        found = chooser.choose(now=1.0, own=capacity(**FULL))
        chooser.record_sent(target=found)
        chosen[found.cell] += 1
    assert chosen == {"a": 20, "b": 18, "c": 16}


def test_credit_only_for_requests_that_the_summary_does_not_reflect():
    chooser = make(a=capacity(1))
    chooser.record_sent(target=target("a"))
    chooser.record_ended(target=target("a"), sent_at=0.5)
    assert chooser.choose(
        now=1.0,
        own=capacity(
            **FULL,
        ),
    ) == target("a")
    assert chooser.choose(now=1.0, own=capacity(wait_s=0.0)) is None
    chooser.record_ended(target=target("a"), sent_at=1.5)
    assert chooser.choose(now=1.0, own=capacity(wait_s=0.0)) == target("a")


def test_refusals_update_capacity_and_older_summaries_are_ignored():
    chooser = make(a=capacity(5), b=capacity(5))
    chooser.update(target=target("a"), room=capacity(**FULL), reported_at=2.0)
    chooser.update(target=target("a"), room=capacity(9), reported_at=1.5)
    own = capacity(**FULL)
    assert {chooser.choose(now=2.0, own=own) for _ in range(20)} == {target("b")}
    assert chooser.choose(now=2.0, own=own, tried=(target("a"), target("b"))) is None


def test_summaries_expire_and_are_discarded():
    chooser = make(a=capacity(5))
    assert chooser.choose(now=1.0 + forwarding.MAX_SUMMARY_AGE_S + 0.1) is None
    assert chooser.choose(now=1.0) == target("a")
    chooser.retain(targets=())
    assert chooser.choose(now=1.0) is None
