import pytest
from ebonyhatch.cli import cli_errors, entry_client, exit_codes, views
from ebonyhatch.testing import command_line
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import defer, error
from twisted.web import resource

URL = "http://127.0.0.1:7110"
BODIES = st.binary(max_size=60) | st.sampled_from(
    [b"{}", b"[" * 10_000, b'{"detail":"no","remedy":"wait","faults":[{}]}', b'{"generation":"x"}']
)


class Page(resource.Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, status, body):
        super().__init__()
        self._status = status
        self._body = body

    def render_GET(self, request):  # noqa: N802
        request.setResponseCode(self._status)
        return self._body


class FailingHttp:
    def __init__(self, error):
        self._error = error

    def request(self, method, url, **options):
        return defer.fail(self._error)


def call(http):
    client = entry_client.EntryClient(base_url=URL, token="t", http=http)
    results = []
    defer.Deferred.fromCoroutine(client.call("GET", "/x")).addBoth(results.append)
    return results[0]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(body=BODIES, status=st.sampled_from([200, 202, 400, 404, 412, 500, 503, 504]))
def test_any_response_is_decoded_or_raises_a_typed_error(body, status):
    response = call(command_line.LossyHttp(root=Page(status, body)))
    if status >= 400:
        assert response.check(cli_errors.CliError)
        return
    for response_type in (views.Status, views.Records, views.Job, views.CheckResult):
        try:
            entry_client.decode(response, response_type)
        except cli_errors.NotAnEntryError as reason:
            assert reason.remedy


@pytest.mark.parametrize(
    ("reason", "exit_code"),
    [
        (error.ConnectionRefusedError(), exit_codes.UNAVAILABLE),
        (error.ConnectionLost(), exit_codes.UNKNOWN),
        (defer.TimeoutError(), exit_codes.UNKNOWN),
    ],
)
def test_only_unsent_requests_count_as_not_run(reason, exit_code):
    assert call(FailingHttp(reason)).value.exit_code == exit_code
