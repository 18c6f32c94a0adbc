from __future__ import annotations

import hypothesis
from ebonyhatch.fleet.evacuation import domains
from hypothesis import strategies


def test_request_is_in_force_until_its_key_is_removed():
    subject = domains.Domains()
    subject.request("a", revision=5)
    subject.request("b", revision=6)
    assert dict(subject.requested) == {"a": 5, "b": 6}
    subject.end("a", revision=7, now=1.0)
    assert dict(subject.requested) == {"b": 6}


def test_removal_that_is_older_than_the_request_ends_nothing():
    """Guards against a return to service by a history that is read after a newer listing."""
    subject = domains.Domains()
    subject.request("a", revision=9)
    subject.end("a", revision=7, now=1.0)
    subject.end_all_except((), as_of=8, now=1.0)
    subject.request("a", revision=4)
    assert dict(subject.requested) == {"a": 9}
    subject.end_all_except((), as_of=9, now=1.0)
    assert not subject.requested


def test_end_of_a_domain_without_a_request_changes_nothing():
    subject = domains.Domains()
    subject.end("a", revision=3, now=1.0)
    assert not subject.requested


def test_domain_is_known_for_good_once_a_target_of_it_was_listed():
    subject = domains.Domains()
    assert not subject.is_known("a")
    subject.add_known("a")
    assert subject.is_known("a")


@hypothesis.given(
    strategies.lists(strategies.sampled_from(("put", "remove")), min_size=1, max_size=8),
    strategies.data(),
)
def test_history_that_is_replayed_after_a_listing_leads_to_the_last_state(changes, data):
    """Guards against a watch from before a listing that repeats what the listing already showed."""
    listed_at = data.draw(strategies.integers(0, len(changes)))
    as_of = data.draw(strategies.integers(0, listed_at))
    subject = domains.Domains()
    history = list(enumerate(changes, start=1))
    present = {"a": listed_at} if listed_at and changes[listed_at - 1] == "put" else {}
    for domain, revision in present.items():
        subject.request(domain, revision=revision)
    subject.end_all_except(present, as_of=as_of, now=1.0)
    for revision, change in history[as_of:]:
        if change == "put":
            subject.request("a", revision=revision)
        else:
            subject.end("a", revision=revision, now=1.0)
    expected = {"a": len(changes)} if changes[-1] == "put" else {}
    assert dict(subject.requested) == expected
