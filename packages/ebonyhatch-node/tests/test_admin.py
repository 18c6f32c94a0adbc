import json

import jsonschema
import msgspec
import pytest
from ebonyhatch.node import (
    access,
    admin,
    admin_answers,
    admin_view,
    configuration,
    problems,
)
from ebonyhatch.ports import memory_store
from ebonyhatch.testing import http_exchange, samples
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import task

TOKEN = "a-token"
BEARER = ("Authorization", f"Bearer {TOKEN}")
RECORDS = json.dumps(samples.RECORDS).encode()
BODY_LIMIT_BYTES = 20_000


class StubView(admin_view.AdminView):
    def status(self):
        return admin_view.EntryStatus(
            entry_id="entry-a", draining=False, store=admin_view.StoreStatus(reachable=True)
        )

    async def explain(self, *, subject_id):
        if subject_id != "job-1":
            return None
        return admin_view.Explanation(
            subject_id=subject_id, entry_id="entry-a", cell="c-0", text="it waits"
        )


class Entry:
    def __init__(self):
        self.clock = task.Clock()
        self.store = memory_store.MemoryStore(clock=self.clock)
        self.store.start()
        self.configuration = configuration.Configuration(
            store=self.store, clock=self.clock, seed=1, on_change=lambda new: None
        )
        self.configuration.start()
        self.clock.pump([0.1] * 30)
        api = admin.Admin(
            configuration=self.configuration,
            view=StubView(),
            access=access.Access(token_sha256=[access.digest("other"), access.digest(TOKEN)]),
        )
        self.exchange = http_exchange.Exchange(
            root=api.app.resource(), clock=self.clock, body_limit_bytes=BODY_LIMIT_BYTES
        )

    def call(self, method, path, *, headers=(BEARER,), body=b""):
        call = self.exchange.send(method, f"/v1/admin/{path}", headers=headers, body=body)
        self.clock.pump([0.1] * 300)
        return call.answer


@pytest.fixture
def entry():
    return Entry()


def document():
    return json.loads(admin.openapi_document())


def validate(answer, schema):
    whole = {**document(), "$ref": f"#/components/schemas/{schema}"}
    jsonschema.Draft202012Validator(whole).validate(answer.json())


def test_records_are_put_and_got(entry):
    written = entry.call("PUT", "records?expect=0", body=RECORDS)
    assert (written.status, written.headers["etag"]) == (200, '"1"')
    again = entry.call("PUT", "records", headers=[BEARER, ("If-Match", '"0"')], body=RECORDS)
    assert again.json() == {"generation": 1, "changed": False}
    got = entry.call("GET", "records").json()
    assert got["generation"] == 1
    assert len(got["records"]) == len(samples.RECORDS)


def test_conflict_names_the_generation(entry):
    entry.call("PUT", "records", body=RECORDS)
    answer = entry.call("PUT", "records", headers=[BEARER, ("If-Match", '"0"')], body=b"[]")
    assert (answer.status, answer.json()["generation"]) == (412, 1)
    assert answer.json()["outcome"] == "not-run"


def test_write_during_an_outage_is_not_run_and_can_be_retried(entry):
    entry.store.faults.down = True
    answer = entry.call("PUT", "records", body=RECORDS)
    assert (answer.status, answer.headers["retry-after"]) == (503, "5")
    assert answer.json()["outcome"] == "not-run"


def test_check_compares_and_changes_nothing(entry):
    answer = entry.call("POST", "records/check", body=RECORDS)
    assert len(answer.json()["changes"]["added"]) == len(samples.RECORDS)
    assert entry.configuration.generation == 0


def test_every_fault_is_in_the_problem(entry):
    answer = entry.call("PUT", "records", body=b'[{"kind":"x"},{"kind":"y"}]')
    assert answer.status == 422
    assert len(answer.json()["faults"]) == 2


@pytest.mark.parametrize(
    ("headers", "path", "body", "status"),
    [
        ([], "records", b"[]", 401),
        ([("Authorization", "Bearer wrong")], "records", b"[]", 401),
        ([("Authorization", f"Basic {TOKEN}")], "records", b"[]", 401),
        ([BEARER, BEARER], "records", b"[]", 400),
        ([BEARER, ("Content-Type", "text/plain")], "records", b"[]", 415),
        ([BEARER, ("If-Match", "seven")], "records", b"[]", 400),
        ([BEARER, ("If-Match", "7")], "records?expect=8", b"[]", 400),
        ([BEARER], "records?expect=1&expect=1", b"[]", 400),
        ([BEARER], "records", b"[" * 10_000, 422),
        ([BEARER], "records", b" " * (BODY_LIMIT_BYTES + 1), 413),
        ([BEARER], "nothing", b"[]", 404),
        ([BEARER], "status", b"[]", 405),
    ],
)
def test_bad_calls_are_problems_with_a_remedy(entry, headers, path, body, status):
    answer = entry.call("PUT", path, headers=headers, body=body)
    assert answer.status == status
    assert answer.headers["content-type"] == problems.CONTENT_TYPE
    assert answer.json()["remedy"]
    assert answer.json()["outcome"] == "not-run"
    assert entry.configuration.generation == 0


def test_no_request_has_access_without_tokens():
    assert not access.Access(token_sha256=[]).allows(authorization="Bearer ")
    assert not access.Access(token_sha256=[]).allows(authorization="Bearer x")


def test_answers_match_the_document(entry):
    validate(entry.call("PUT", "records", body=RECORDS), "Written")
    validate(entry.call("GET", "records"), "Records")
    validate(entry.call("POST", "records/check", body=RECORDS), "Checked")
    validate(entry.call("GET", "records/history"), "History")
    validate(entry.call("GET", "status"), "Status")
    validate(entry.call("GET", "explain/job-1/2"), "Explanation")
    validate(entry.call("GET", "explain/none"), "Problem")
    assert entry.call("GET", "openapi").json() == document()


def test_attempt_is_explained_by_its_job(entry):
    assert entry.call("GET", "explain/job-1/2").json()["subject_id"] == "job-1"
    assert entry.call("GET", "explain/job-2/1").status == 404


def test_document_and_routes_agree_in_both_directions():
    routes = {
        (rule.rule.replace("<path:subject_id>", "{subject_id}"), method.lower())
        for rule in admin.Admin.app.url_map.iter_rules()
        for method in rule.methods - {"HEAD"}
    }
    described = {(path, method) for path, item in document()["paths"].items() for method in item}
    assert routes == described


def test_described_schemas_are_those_of_the_answers():
    _, schemas = msgspec.json.schema_components(
        [
            admin_answers.Records,
            admin_answers.Written,
            admin_answers.Checked,
            admin_answers.History,
            admin_answers.Status,
            admin_view.Explanation,
            problems.Problem,
        ],
        ref_template="#/components/schemas/{name}",
    )
    assert document()["components"]["schemas"] == json.loads(json.dumps(schemas))


def test_no_call_moves_work():
    changing = {
        (path, method)
        for path, item in document()["paths"].items()
        for method in item
        if method != "get"
    }
    assert changing == {
        ("/v1/admin/records", "put"),
        ("/v1/admin/records/check", "post"),
    }


HEADER_TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=255, exclude_characters="\x7f"))
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(["If-Match", "Content-Type", "Authorization", "Transfer-Encoding"]),
        HEADER_TEXT,
    ),
    max_size=3,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    headers=HEADERS,
    body=st.binary(max_size=60) | st.sampled_from([RECORDS, b"[{}]", b"[1e999]", b'"\\ud800"']),
    path=st.sampled_from(["records", "records?expect=%ff", "records?expect=0", "records/check"]),
    method=st.sampled_from(["GET", "PUT", "POST"]),
)
def test_any_call_ends_in_a_client_error_or_success(headers, body, path, method):
    answer = Entry().call(method, path, headers=[BEARER, *headers], body=body)
    assert answer.status < 500
