"""The capacity model, and the parts of the benches whose results do not depend on timing."""

import msgspec
import pytest
from ebonyhatch.testing.benches import (
    capacity_entries,
    capacity_model,
    capacity_peers,
    capacity_slopes,
    forwarding,
)


def line(name, fixed, per_unit):
    points = [(size, fixed + per_unit * size) for size in (1.0, 2.0, 4.0)]
    return capacity_slopes.slope(name=name, unit="", per="", points=points)


def test_slope_is_the_line_through_the_points():
    slope = line("x", 3.0, 0.5)
    assert (slope.fixed, slope.per_unit) == pytest.approx((3.0, 0.5))
    assert slope.at(100.0) == pytest.approx(53.0)


def test_entries_needed_follow_from_what_they_share():
    slopes = {
        name: line(name, fixed, per_unit)
        for name, fixed, per_unit in (
            ("daemon: at rest", 10.0, 1.0),
            ("daemon: gateway and owner", 0.0, 2.0),
            ("daemon: jobs", 14.0, 1.0),
            ("peer call: both sides", 0.0, 0.0),
            ("scheduler: one report", 0.0, 0.0),
            ("scheduler: idle tick", 0.0, 0.0),
            ("gossip, six regions, keys: processor time", 0.0, 0.0),
            ("instance list: read unchanged", 0.0, 0.0),
            ("entries: ownership and watches", 0.0, 0.0),
            ("configuration: an entry's time for changes", 0.0, 0.0),
        )
    }
    model = capacity_model.Model(slopes=slopes, fleet=capacity_model.DESIGN_SIX_ENTRIES)
    assert model.renewal_cores() == pytest.approx(3.3)
    assert model.request_cores() == pytest.approx(1.52)
    assert model.batch_peak_cores() == pytest.approx(0.76)
    assert model.entries_needed() == 9
    assert model.workers_within_control_limit() == 9


@pytest.mark.parametrize("entries", [20, 30, 60])
def test_traffic_of_peers_is_within_the_limit_at_the_design_size(entries):
    slopes = {slope.name: slope for slope in capacity_peers.gossip_frame(seed=1, quick=True)}
    slopes["instance list: size"] = line("instance list: size", 0.0, 0.0)
    fleet = msgspec.structs.replace(capacity_model.DESIGN_SIX_ENTRIES, entries=entries)
    rows = capacity_model.Model(slopes=slopes, fleet=fleet).traffic()
    assert all(row.met for row in rows), rows


def test_cells_of_a_lost_domain_are_owned_again():
    fleet = capacity_entries.Fleet(entries=6, domains=3)
    fleet.cut_off_domain("domain-00")
    fleet.run_until(lambda: fleet.owns_cell_count(6), limit_s=capacity_entries.LOSS_LIMIT_S)
    assert fleet.owned_cells == 6 and len(fleet.connected) == 4
    fleet.reconnect()
    fleet.run_until(fleet.all_cells_home, limit_s=capacity_entries.LOSS_LIMIT_S)
    assert fleet.all_cells_home()


@pytest.mark.parametrize("skew", forwarding.SKEWS)
def test_two_choices_waste_little_of_what_one_view_would_use(skew):
    case = forwarding.Case(seed=1, load=1.0, skew=skew, queueing=True, run_s=6.0)
    assert forwarding.waste_by_chooser(case)["two choices"] < forwarding.WASTE_LIMIT
