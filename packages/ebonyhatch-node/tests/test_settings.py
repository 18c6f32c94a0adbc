import json
import pathlib

import pytest
from ebonyhatch.node import keys, settings, settings_schema
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

MINIMAL = """{
  // who this is
  "entry": {"id": "entry-1", "region": "r1", "failure_domain": "d1", "rack": "k1"},
  "listen": {
    "callers": {"host": "127.0.0.1", "port": 8080},
    "admin": {"host": "127.0.0.1", "port": 8081},
    "peers": {"host": "::1", "port": 8082},
  },
  "platform": {
    "store": {"host": "127.0.0.1", "port": 1},
    "instances": {"host": "127.0.0.1", "port": 2},
  },
}"""


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "settings.json"
    file.write_text(MINIMAL)
    return file


def load(path, environment=(), overrides=()):
    return settings.load(path=path, environment=dict(environment), overrides=dict(overrides))


def faults(path, environment=(), overrides=()):
    found = load(path, environment, overrides).failure().faults
    return {fault.path: fault for fault in found}


def test_defaults_fill_the_rest(path):
    loaded = load(path).unwrap()
    assert loaded.listen.peers == settings.Endpoint(host="::1", port=8082)
    assert loaded.limits == settings.Limits() and loaded.keys is None


def test_flag_overrides_variable_and_variable_overrides_file(path):
    environment = {
        "EBONYHATCH_ENTRY_ID": "from-variable",
        "EBONYHATCH_LIMITS_STOP_S": "2.5",
        "EBONYHATCH_ACCESS_TOKEN_SHA256": json.dumps(["0" * 64]),
        "EBONYHATCH_TOKEN": "belongs to the command line",
        "PATH": "/bin",
    }
    loaded = load(path, environment, {"entry.id": "from-flag"}).unwrap()
    assert (loaded.entry.id, loaded.limits.stop_s) == ("from-flag", 2.5)
    assert loaded.access.token_sha256 == ("0" * 64,)


def test_every_fault_is_listed_with_its_remedy(path):
    text = MINIMAL.replace('"id": "entry-1", ', "").replace('"port": 8080', '"port": 70000')
    text = text.replace('"::1"', '"peer.example"').replace(
        '"platform"', '"plattform": 1, "platform"'
    )
    path.write_text(text)
    found = faults(path, {"EBONYHATCH_LOG_COLOUR": "1"}, {"limits.stop_s": "soon"})
    assert set(found) == {
        "entry.id",
        "listen.callers.port",
        "listen.peers.host",
        "plattform",
        "EBONYHATCH_LOG_COLOUR",
        "limits.stop_s",
    }
    assert all(fault.remedy for fault in found.values())


def test_addresses_must_differ_and_keys_must_match(path):
    one, two = keys.new_pair(), keys.new_pair()
    pair = {"keys.public": one.public, "keys.secret": two.secret, "keys.peers": '{"b": "%s"}'}
    pair["keys.peers"] %= "~" * 40
    found = faults(path, (), {"listen.admin.port": "8080", **pair})
    assert set(found) == {"listen.admin", "keys.public", "keys.peers.b"}
    assert two.secret not in str(load(path, (), pair).failure())
    right = {"keys.public": one.public, "keys.secret": one.secret, "keys.peers": "{}"}
    loaded = load(path, (), right).unwrap()
    assert one.secret not in repr(loaded)


@pytest.mark.parametrize(
    "text",
    ["", "[]", "{", "{} {}", '{"a": 1, "a": 2}', "{a: NaN}", "[" * 9000, "\x00", "{a: -Infinity}"],
)
def test_file_that_is_not_an_object_is_one_fault(path, text):
    path.write_text(text)
    assert len(faults(path)) == 1


def test_unreadable_and_oversized_files(path):
    assert load(path.parent / "missing.json").failure().faults
    path.write_bytes(b"\xff\xfe")
    assert load(path).failure().faults
    path.write_text(" " * (settings.FILE_LIMIT_BYTES + 1))
    assert load(path).failure().faults


def test_each_setting_has_one_variable():
    leaves = settings_schema.leaves()
    assert len({leaf.variable for leaf in leaves}) == len(leaves)


def test_the_page_names_each_setting():
    page = (pathlib.Path(__file__).parents[3] / "docs" / "settings.md").read_text()
    for leaf in settings_schema.leaves():
        assert f"| `{'.'.join(leaf.path)}` | `{leaf.variable}` |" in page
        assert leaf.description in page


TREES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from([*settings_schema.SECTIONS, "id", "host", "port"]) | st.text(max_size=5),
        inner,
        max_size=5,
    ),
    max_leaves=12,
)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(
    tree=TREES,
    mutations=st.dictionaries(
        st.sampled_from([leaf.variable for leaf in settings_schema.leaves()]), st.text(max_size=12)
    ),
)
def test_fuzz_gives_only_typed_errors(tmp_path_factory, tree, mutations):
    file = tmp_path_factory.getbasetemp() / "fuzzed.json"
    for text in (json.dumps(tree), MINIMAL, str(tree)):
        file.write_bytes(text.encode("utf-8", "surrogatepass"))
        outcome = load(file, mutations)
        assert isinstance(outcome.value_or(None), settings.Settings) or outcome.failure().faults
