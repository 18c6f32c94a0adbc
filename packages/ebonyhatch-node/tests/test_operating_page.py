"""The operators' pages describe exactly the settings, the metrics and the records."""

import json
import pathlib
import re

import msgspec
import pytest
from ebonyhatch.core import record_schema, records
from ebonyhatch.node import metrics, settings, settings_schema

DOCS = pathlib.Path(__file__).parents[3] / "docs"


@pytest.fixture
def page():
    return (DOCS / "operating.md").read_text(encoding="utf-8")


def listed(page, section):
    body = page.split(f"\n## {section}\n")[1].split("\n## ")[0]
    cells = [line.split("|")[1] for line in body.splitlines() if line.startswith("| `")]
    return {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}


def defaults():
    endpoint = {"host": "127.0.0.1", "port": 1}
    needed = {
        "entry": {"id": "a", "region": "r", "failure_domain": "d", "rack": "k"},
        "listen": {"callers": endpoint, "admin": endpoint, "peers": endpoint},
        "platform": {"store": endpoint, "instances": endpoint},
    }
    return json.loads(msgspec.json.encode(msgspec.convert(needed, settings.Settings)))


def test_every_setting_is_described_and_no_other(page):
    described = listed((DOCS / "settings.md").read_text(encoding="utf-8"), "All settings")
    assert described == {".".join(leaf.path) for leaf in settings_schema.leaves()}
    named = set(re.findall(r"`([a-z]+\.[a-z0-9_]+)`", page.split("## Records")[0]))
    assert {name for name in named if name.split(".")[0] in settings_schema.SECTIONS} <= (
        described | {"keys.peers", "listen.callers", "listen.admin", "listen.peers"}
    )


def test_defaults_of_the_settings_page_are_those_of_the_code():
    text = (DOCS / "settings.md").read_text(encoding="utf-8")
    rows = re.findall(r"\| `([a-z_0-9.]+)` \| `[A-Z_0-9]+` \| ([^|]+) \|", text)
    for name, default in rows:
        if default not in ("required", "no keys"):
            section, setting = name.split(".")
            assert json.loads(default.strip("`")) == defaults()[section][setting]


def test_every_metric_is_described_and_no_other(page):
    names = {
        family.split()[2].removesuffix("_total")
        for family in metrics.Metrics().render().decode().splitlines()
        if family.startswith("# TYPE") and not family.split()[2].endswith("_created")
    }
    assert {
        name.removesuffix("_total") for name in listed(page, "Metrics, and what to do")
    } == names


def test_every_kind_of_record_is_described(page):
    assert listed(page, "Records") == set(record_schema.kinds())
    assert records.read([]).unwrap().entries == ()
