"""Tests of reading callers' requests: forwarded parts, and errors with a remedy."""

from __future__ import annotations

import hypothesis
import pytest
from ebonyhatch.core import configuration, entities
from ebonyhatch.node import caller_errors, service_calls
from ebonyhatch.ports import workers
from hypothesis import strategies
from returns import result

IN_FORCE = configuration.InForce(
    generation=1,
    services=(
        configuration.Service(
            name="quotes", work_classes=("quote",), default_class="quote", body_limit_bytes=10
        ),
    ),
    classes=(
        entities.WorkClass(name="quote", urgency=entities.Urgency.URGENT, deadline_s=1.5),
        entities.WorkClass(name="other", urgency=entities.Urgency.URGENT, deadline_s=1.5),
    ),
    tenants=(entities.Tenant(name="workshop"),),
)


def read(*headers, service="quotes", body=b""):
    request = service_calls.CallerRequest(
        service=service,
        method="POST",
        path="a%20b?c=d",
        headers=tuple(workers.Header(name=name, value=value) for name, value in headers),
        body=body,
    )
    return service_calls.read(request=request, in_force=IN_FORCE)


def test_forwards_all_but_hop_by_hop_and_own_headers():
    call = read(
        ("Accept", "text/plain"),
        ("Connection", "close, X-Only-Here"),
        ("X-Only-Here", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Ebonyhatch-Tenant", "workshop"),
        ("Ebonyhatch-Timeout-Ms", "250"),
        ("Idempotency-Key", "k"),
        body=b"frames",
    ).unwrap()
    assert call.request.headers == (workers.Header(name="Accept", value="text/plain"),)
    assert call.request.path == "a%20b?c=d"
    assert call.request.body == b"frames"
    assert call.request.timeout_s == 0.25
    assert (call.tenant, call.work_class, call.idempotency_key) == ("workshop", "quote", "k")


def test_without_headers_the_class_sets_the_timeout():
    call = read().unwrap()
    assert call.request.timeout_s == 1.5
    assert call.tenant == service_calls.DEFAULT_TENANT


@pytest.mark.parametrize(
    ("headers", "options", "kind"),
    [
        ([], {"service": "none"}, caller_errors.UnknownServiceError),
        ([], {"body": b"x" * 11}, caller_errors.BodyTooLargeError),
        ([("Ebonyhatch-Class", "other")], {}, caller_errors.UnknownClassError),
        ([("Ebonyhatch-Tenant", "nobody")], {}, caller_errors.UnknownTenantError),
        ([("Ebonyhatch-Timeout-Ms", "-1")], {}, caller_errors.HeaderError),
        ([("Ebonyhatch-Timeout-Ms", "0")], {}, caller_errors.HeaderError),
        ([("Ebonyhatch-Timeout-Ms", "9" * 5000)], {}, caller_errors.HeaderError),
        ([("Ebonyhatch-Timeout-Ms", "²")], {}, caller_errors.HeaderError),
        ([("Idempotency-Key", "k" * 201)], {}, caller_errors.HeaderError),
        ([("Idempotency-Key", "a"), ("idempotency-key", "b")], {}, caller_errors.HeaderError),
        ([("Ebonyhatch-Class", "quote")] * 2, {}, caller_errors.HeaderError),
    ],
)
def test_refuses_with_a_remedy(headers, options, kind):
    outcome = read(*headers, **options)
    error = outcome.failure()
    assert type(error) is kind
    assert error.remedy
    assert 400 <= error.status < 500


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["Ebonyhatch-Class", "Ebonyhatch-Timeout-Ms", "Idempotency-Key", "X", "Connection"]
            ),
            strategies.text(max_size=30),
        ),
        max_size=6,
    )
)
def test_any_headers_give_a_call_or_a_typed_error(headers):
    match read(*headers):
        case result.Success(call):
            assert call.request.timeout_s > 0
        case result.Failure(error):
            assert isinstance(error, caller_errors.CallerError)
