"""The example files of the README are valid."""

from __future__ import annotations

import pathlib

import json5
import msgspec
import pytest
from ebonyhatch.core import records
from ebonyhatch.node import settings
from ebonyhatch.ports import instances
from ebonyhatch.testing import samples

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["entry-a.json", "entry-b.json"])
def test_settings(name):
    loaded = settings.load(path=EXAMPLES / name, environment={}, overrides={})
    assert loaded.unwrap().entry.id == name.removesuffix(".json")


def test_records_are_the_samples():
    written = json5.loads((EXAMPLES / "records.json").read_text(encoding="utf-8"))
    assert written == samples.RECORDS
    records.read(written).unwrap()


def test_instances():
    raw = (EXAMPLES / "instances.json").read_bytes()
    listed = msgspec.json.decode(raw, type=list[instances.Instance])
    assert len({(item.host, item.port) for item in listed}) == len(listed)
