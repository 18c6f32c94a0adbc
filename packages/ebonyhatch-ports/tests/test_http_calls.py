"""Outcomes of HTTP calls to a server with scripted responses."""

import contextlib
import itertools

import pytest
from ebonyhatch.ports import addresses, connection_pool, http_calls, http_workers, workers
from ebonyhatch.testing import real_reactor, scripted_server
from twisted.internet import defer

REACTOR = real_reactor.reactor


@contextlib.contextmanager
def serving(script, *, closes=False):
    server = scripted_server.ScriptedServer(reactor=REACTOR, script=script, closes=closes)
    port = http_workers.HttpWorkers(reactor=REACTOR, timeout_s=0.6)
    real_reactor.run(server.start)
    real_reactor.run(port.start)
    try:
        yield server, port
    finally:
        real_reactor.run(port.close)
        real_reactor.run(server.close)
        real_reactor.clean()


def forward(server, port, *, request_id="r1", path="q", headers=(), method="POST", body=b"b"):
    request = workers.ServiceRequest(
        request_id=request_id,
        service="orders",
        method=method,
        path=path,
        headers=tuple(workers.Header(name=name, value=value) for name, value in headers),
        body=body,
        timeout_s=0.6,
    )
    address = workers.Address(worker_id="w1", host="127.0.0.1", port=server.port)
    return real_reactor.run(lambda: port.forward(address=address, epoch=1, request=request))


def respond(body=b"ok", **options):
    return lambda _, request: scripted_server.answer(request, body, **options)


def test_truncated_answers_are_unknown():
    full = b"HTTP/1.1 200 X\r\nEbonyhatch-Request-Id: r1\r\nContent-Length: 6\r\n\r\nframes"
    cuts = itertools.count(1)
    with serving(lambda *_: full[: next(cuts)], closes=True) as (server, port):
        for _ in range(len(full) - 1):
            error = forward(server, port).failure()
            assert isinstance(error, workers.OutcomeUnknownError)
        assert forward(server, port).unwrap().body == b"frames"


def test_answer_without_a_marked_end_is_unknown():
    cut = b"HTTP/1.1 200 X\r\nEbonyhatch-Request-Id: r1\r\n\r\nhalf of the fra"
    with serving(lambda *_: cut, closes=True) as (server, port):
        assert isinstance(forward(server, port).failure(), workers.OutcomeUnknownError)


@pytest.mark.parametrize("body", [b"", b"quote of another caller"])
def test_answer_to_another_request_is_unknown_and_its_connection_dropped(body):
    def script(number, request):
        if number == 1:
            request = request.replace(b"r1", b"r0")
        return scripted_server.answer(request, body)

    with serving(script) as (server, port):
        assert isinstance(forward(server, port).failure(), workers.OutcomeUnknownError)
        assert forward(server, port).unwrap().body == body
        assert server.connections == 2


def test_answer_without_an_id_or_with_two_is_unknown():
    for lines in (b"", b"Ebonyhatch-Request-Id: r1\r\nEbonyhatch-Request-Id: r1\r\n"):
        sent = b"HTTP/1.1 200 X\r\n" + lines + b"Content-Length: 0\r\n\r\n"
        with serving(lambda _, request, sent=sent: sent) as (server, port):
            assert isinstance(forward(server, port).failure(), workers.OutcomeUnknownError)


def test_connections_are_reused_and_cookies_are_not_sent():
    with serving(respond(headers=b"Set-Cookie: caller=1\r\n")) as (server, port):
        for n in range(5):
            answer = forward(server, port, request_id=f"r{n}").unwrap()
            assert workers.Header(name="Set-Cookie", value="caller=1") in answer.headers
        address = workers.Address(worker_id="w1", host="127.0.0.1", port=server.port)
        real_reactor.run(lambda: port.claim(address=address, epoch=1))
        real_reactor.run(lambda: port.claim(address=address, epoch=1))
        assert server.connections == 1
        assert not any(b"\r\ncookie:" in request.lower() for request in server.requests)


def test_hop_by_hop_headers_are_dropped_in_both_directions():
    response_headers = b"Keep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Keep: 2\r\n"
    sent = [
        ("Connection", "x-mine, keep-alive"),
        ("X-Mine", "1"),
        ("TE", "trailers"),
        ("Upgrade", "h2c"),
        ("Proxy-Authorization", "secret"),
        ("Ebonyhatch-Epoch", "99"),
        ("Ebonyhatch-Request-Id", "forged"),
        ("Host", "elsewhere"),
        ("Content-Length", "999"),
        ("X-Passed", "yes"),
        ("X-Passed", "twice"),
    ]
    with serving(respond(headers=response_headers)) as (server, port):
        answer = forward(server, port, headers=sent).unwrap()
        names = {line.name.lower() for line in answer.headers}
        assert "x-keep" in names
        assert names.isdisjoint({"keep-alive", "connection", "x-hop", "ebonyhatch-request-id"})
        request = server.requests[0].lower()
        assert request.count(b"\r\nx-passed:") == 2
        assert b"\r\nebonyhatch-epoch: 1\r\n" in request
        for dropped in (b"x-mine", b"te:", b"h2c", b"secret", b"forged", b"elsewhere", b"999"):
            assert dropped not in request.partition(b"\r\n")[2]


@pytest.mark.parametrize(
    ("path", "sent"),
    [
        ("a//b", b"/service/orders/a//b"),
        ("/a%2Fb?x=1&y=%20", b"/service/orders/a%2Fb?x=1&y=%20"),
        ("ö#f", b"/service/orders/%C3%B6%23f"),
        ("a b\r\nX: 1", b"/service/orders/a%20b%0D%0AX:%201"),
    ],
)
def test_path_is_passed_on_verbatim_or_quoted(path, sent):
    with serving(respond()) as (server, port):
        forward(server, port, path=path).unwrap()
        assert server.requests[0].split(b" ")[1] == sent


@pytest.mark.parametrize(
    "changes",
    [
        {"path": "../../v1/claim"},
        {"path": "a/%2e%2E/b"},
        {"method": "BAD METHOD"},
        {"request_id": "a\r\nb"},
        {"headers": [("Bad Name\r\n", "x")]},
        {"headers": [("X-A", "\u20ac")]},
    ],
)
def test_request_that_can_not_be_sent_is_not_run(changes):
    with serving(respond()) as (server, port):
        assert isinstance(forward(server, port, **changes).failure(), workers.NotRunError)
        assert server.requests == []


def test_marker_of_the_worker_is_not_run_and_epoch_is_stale():
    with serving(respond(status=503, headers=b"Ebonyhatch-Not-Run: full\r\n")) as (server, port):
        error = forward(server, port).failure()
        assert isinstance(error, workers.NotRunError)
        assert error.reason == "full"
    with serving(respond(status=409, headers=b"Ebonyhatch-Newest-Epoch: 7\r\n")) as (server, port):
        assert isinstance(forward(server, port).failure(), workers.StaleEpochError)
    for malformed in (b"x", b"-1", b"1", b"9" * 400):
        headers = b"Ebonyhatch-Newest-Epoch: " + malformed + b"\r\n"
        with serving(respond(status=409, headers=headers)) as (server, port):
            assert isinstance(forward(server, port).failure(), workers.OutcomeUnknownError)


def test_body_that_stalls_is_unknown_within_the_progress_limit(monkeypatch):
    monkeypatch.setattr(http_calls, "PROGRESS_TIMEOUT_S", 0.1)
    stalled = b"HTTP/1.1 200 X\r\nEbonyhatch-Request-Id: r1\r\nContent-Length: 9\r\n\r\nhalf"
    with serving(lambda *_: stalled) as (server, port):
        assert "progress" in forward(server, port).failure().reason


def test_body_beyond_the_limit_is_unknown(monkeypatch):
    monkeypatch.setattr(http_calls, "RESPONSE_LIMIT_BYTES", 10)
    with serving(respond(b"x" * 11)) as (server, port):
        assert "10 bytes" in forward(server, port).failure().reason


def test_unresponsive_old_connections_are_dropped_and_new_ones_used(monkeypatch):
    monkeypatch.setattr(connection_pool, "PROBE_IDLE_S", 0.0)
    monkeypatch.setattr(connection_pool, "PROBE_TIMEOUT_S", 0.1)
    unresponsive = set()

    def script(number, request):
        return None if number in unresponsive else scripted_server.answer(request, b"ok")

    with serving(script) as (server, port):
        for _ in range(3):
            forward(server, port).unwrap()
        assert server.connections == 1
        unresponsive.add(1)
        assert forward(server, port).unwrap().body == b"ok"
        assert server.connections == 2
        assert port.calls.pool.dropped == 1
        posts = [request for request in server.requests if request.startswith(b"POST")]
        assert len(posts) == 4


def test_ipv6_address_is_called_and_probed(monkeypatch):
    monkeypatch.setattr(connection_pool, "PROBE_IDLE_S", 0.0)
    server = scripted_server.ScriptedServer(
        reactor=REACTOR, script=respond(b"{}"), closes=False, host="::1"
    )
    calls = http_calls.HttpCalls(reactor=REACTOR)
    real_reactor.run(server.start)
    url = addresses.base_url(host="::1", port=server.port) + "/x"
    call = http_calls.Call(method="GET", url=url, timeout_s=2.0)
    for _ in range(2):
        assert real_reactor.run(lambda: calls.call(call)).unwrap().body == b"{}"
    real_reactor.run(calls.close)
    real_reactor.run(server.close)
    real_reactor.clean()
    assert [request.split(b" ")[1] for request in server.requests] == [
        b"/x",
        b"/health/live",
        b"/x",
    ]
    assert server.connections == 1


def test_timeout_on_one_connection_has_the_others_probed():
    unresponsive = set()

    def script(number, request):
        return None if number in unresponsive else scripted_server.answer(request, b"ok")

    with serving(script) as (server, port):
        address = workers.Address(worker_id="w1", host="127.0.0.1", port=server.port)
        request = workers.ServiceRequest(
            request_id="r1",
            service="s",
            method="POST",
            path="p",
            headers=(),
            body=b"",
            timeout_s=0.3,
        )

        def together():
            return defer.gatherResults(
                port.forward(address=address, epoch=1, request=request) for _ in range(3)
            )

        real_reactor.run(together)
        assert server.connections == 3
        unresponsive.update({1, 2, 3})
        assert isinstance(forward(server, port).failure(), workers.OutcomeUnknownError)
        assert forward(server, port).unwrap().body == b"ok"
        assert port.calls.pool.dropped == 2
