"""The callers' API as HTTP bytes: whole responses, correct outcomes, bounded bodies."""

from __future__ import annotations

import json

from ebonyhatch.core import commands, configuration, entities
from ebonyhatch.node import gateway, http_server, messages, metrics
from ebonyhatch.ports import workers
from twisted.internet import defer, task, testing

IN_FORCE = configuration.InForce(
    generation=1,
    services=(
        configuration.Service(name="quotes", work_classes=("quote",), default_class="quote"),
    ),
    classes=(
        entities.WorkClass(name="quote", urgency=entities.Urgency.URGENT, deadline_s=1.0),
        entities.WorkClass(name="cutting", urgency=entities.Urgency.BATCH),
    ),
)
LIMIT_BYTES = 100
FAR_FACTOR = 5


class StubRouter:
    """Answers immediately, or after `held` fires if it is set."""

    def __init__(self):
        self.calls = []
        self.held = None
        self.reply = None

    async def request(self, *, call):
        self.calls.append(call)
        if self.held is not None:
            await self.held
        return self.reply or messages.RequestReply(
            request_id=call.request.request_id,
            answer=workers.ServiceResponse(
                request_id=call.request.request_id,
                status=201,
                headers=(
                    workers.Header(name="X-A", value="1"),
                    workers.Header(name="Set-Cookie", value="a=1"),
                    workers.Header(name="Set-Cookie", value="b=2"),
                    workers.Header(name="Connection", value="close"),
                    workers.Header(name="Server", value="worker"),
                ),
                body=b"whole answer",
            ),
        )

    async def submit(self, *, job):
        return messages.JobReply(view=messages.JobView(job_id=job.job_id, state="queued"))

    async def show(self, *, job_id):
        return messages.JobReply(status=404, reason="unknown-job")


class Harness:
    def __init__(self, requests_limit=10):
        self.router = StubRouter()
        self.gateway = gateway.Gateway(
            router=self.router,
            in_force=lambda: IN_FORCE,
            measures=metrics.Metrics(),
            clock=task.Clock(),
            requests_limit=requests_limit,
        )
        self.site = http_server.bounded_site(
            root=self.gateway.app.resource(), body_limit_bytes=LIMIT_BYTES
        )
        self.site.reactor = task.Clock()

    def send(self, head, body=b"", length=None):
        transport = testing.StringTransport()
        channel = self.site.buildProtocol(None)
        channel.makeConnection(transport)
        size = len(body) if length is None else length
        lines = [*head, "Host: x", f"Content-Length: {size}", "", ""]
        channel.dataReceived("\r\n".join(lines).encode() + body)
        return transport


def status_of(transport):
    return int(transport.value().split(b" ", 2)[1])


def problem_of(transport):
    head, _, body = transport.value().partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    return json.loads(body[body.index(b"{") : body.rindex(b"}") + 1])


def test_passes_a_whole_answer_back():
    harness = Harness()
    sent = harness.send(["POST /v1/services/quotes/a%2Fb?c=%20 HTTP/1.1"], b"frames")
    text = sent.value()
    assert status_of(sent) == 201
    assert b"whole answer" in text and b"X-A: 1" in text
    assert text.count(b"Set-Cookie") == 2 and b"onnection: close" not in text
    assert text.count(b"Server: ") == 1 and b"Content-Length: 12" in text
    assert harness.router.calls[0].request.path == "a%2Fb?c=%20"
    assert harness.router.calls[0].request.body == b"frames"


def test_outcome_unknown_is_504_without_retry_after():
    harness = Harness()
    harness.router.reply = messages.RequestReply(
        request_id="r", outcome=commands.Outcome.UNKNOWN, reason="worker-lost"
    )
    sent = harness.send(["GET /v1/services/quotes/x HTTP/1.1"])
    assert status_of(sent) == 504
    assert problem_of(sent)["outcome"] == "unknown"
    assert b"Retry-After" not in sent.value()


def test_body_over_the_limit_is_refused_and_not_retained():
    harness = Harness()
    sent = harness.send(["POST /v1/services/quotes/x HTTP/1.1"], b"x" * (LIMIT_BYTES + 1))
    assert status_of(sent) == 413
    assert problem_of(sent)["outcome"] == "not-run"
    assert harness.router.calls == []


def test_body_far_over_the_limit_ends_the_connection():
    harness = Harness()
    size = LIMIT_BYTES * (FAR_FACTOR)
    sent = harness.send(["POST /v1/services/quotes/x HTTP/1.1"], b"x" * size, length=10 * size)
    assert sent.disconnecting or sent.disconnected
    assert harness.router.calls == []


def test_refuses_beyond_the_limit_of_requests():
    harness = Harness(requests_limit=1)
    harness.router.held = defer.Deferred()
    first = harness.send(["GET /v1/services/quotes/x HTTP/1.1"])
    second = harness.send(["GET /v1/services/quotes/x HTTP/1.1"])
    assert first.value() == b""
    assert status_of(second) == 503 and b"Retry-After" in second.value()
    harness.router.held.callback(None)
    assert status_of(first) == 201


def test_drain_waits_for_what_is_in_progress_and_refuses_the_rest():
    harness = Harness()
    harness.router.held = defer.Deferred()
    first = harness.send(["GET /v1/services/quotes/x HTTP/1.1"])
    drained = harness.gateway.drain()
    late = harness.send(["GET /v1/services/quotes/x HTTP/1.1"])
    assert status_of(late) == 503 and problem_of(late)["outcome"] == "not-run"
    assert not drained.called
    harness.router.held.callback(None)
    assert drained.called and status_of(first) == 201


def test_jobs():
    harness = Harness()
    body = json.dumps({"class": "cutting", "job_id": "j"}).encode()
    assert status_of(harness.send(["POST /v1/jobs HTTP/1.1"], body)) == 202
    assert problem_of(harness.send(["POST /v1/jobs HTTP/1.1"], b"{"))["outcome"] == "not-run"
    missing = harness.send(["GET /v1/jobs/none HTTP/1.1"])
    assert status_of(missing) == 404 and problem_of(missing)["type"].endswith("unknown-job")
    assert "check the id" in problem_of(missing)["remedy"]
