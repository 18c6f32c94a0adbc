"""Holds docs/operating.md against the settings, the metrics and the records."""

import pathlib
import re

import pytest
from ebonyhatch.core import record_schema, records
from ebonyhatch.node import metrics, settings_schema

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "operating.md"


@pytest.fixture
def page():
    return PAGE.read_text(encoding="utf-8")


def listed(page, section):
    body = page.split(f"\n## {section}\n")[1].split("\n## ")[0]
    cells = [line.split("|")[1] for line in body.splitlines() if line.startswith("| `")]
    return {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}


def test_every_setting_is_described_and_no_other(page):
    leaves = {".".join(leaf.path) for leaf in settings_schema.leaves()}
    assert listed(page, "Settings") == leaves


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
