"""The scale run's layout, its judge of convergence, and its least possible bytes."""

from __future__ import annotations

from collections import Counter

import pytest
from benchmarks.measuring import fitted_line

from peppershore.version.model import Edit, Scope
from peppershore_lab.hollow.ideal import IdealBytes
from peppershore_lab.hollow.layout import (
    ChangePlan,
    FleetLayout,
    PlacedNode,
    called_services,
    placed_nodes,
)
from peppershore_lab.hollow.measure import (
    AcceptedChange,
    AppliedTimes,
    convergence,
    distribution,
)
from peppershore_lab.hollow.protocol import Applied, HollowReport

SMALL = FleetLayout(services=21, zones=3, nodes=200, relays=2)
SCOPE = Scope("service000", "zone00")


def report(*applied: Applied) -> HollowReport:
    return HollowReport(
        at=0.0,
        nodes=2,
        holding=2,
        connected=2,
        lowest_version=1,
        applied=applied,
        steps_back=0,
        traffic=(),
        bytes_received=0,
        bytes_sent=0,
        cpu_seconds=0.0,
        resident_bytes=0,
    )


def change(version: int, submitted_at: float) -> AcceptedChange:
    return AcceptedChange(
        edit=Edit(f"change-{version}", operations=()),
        version=version,
        submitted_at=submitted_at,
        accepted_at=submitted_at + 0.010,
        scopes=frozenset({SCOPE}),
    )


def test_nodes_are_spread_evenly_and_calls_are_as_deep_as_said() -> None:
    layout = FleetLayout()
    by_zone = Counter(node.scope.zone for node in placed_nodes(layout))
    by_service = Counter(node.scope.service for node in placed_nodes(layout))
    assert len(by_zone) == layout.zones
    assert len(by_service) == layout.services
    assert max(by_zone.values()) - min(by_zone.values()) <= layout.services
    assert max(by_service.values()) - min(by_service.values()) <= 1
    assert _depth(layout, 0) == layout.depth


def _depth(layout: FleetLayout, service: int) -> int:
    below = [_depth(layout, called) for called in called_services(layout, service)]
    return 1 + max(below, default=0)


def test_a_planned_change_is_needed_by_each_scope_it_names() -> None:
    plan = ChangePlan(SMALL, seed=3)
    ideal = IdealBytes(SMALL, version=1)
    for version in range(2, 42):
        planned = plan.next_change()
        size = ideal.size(planned.edit, version, planned.scopes)
        assert size.nodes == sum(
            node.scope in planned.scopes for node in placed_nodes(SMALL)
        )
        assert (size.bytes > 0) == (size.nodes > 0)


def test_a_change_is_in_force_when_its_last_node_has_it_and_missing_ones_are_counted() -> (
    None
):
    nodes = [PlacedNode(number, f"node{number}", SCOPE) for number in range(3)]
    times = AppliedTimes()
    times.add([report(Applied(0, 2, 1.020)), report(Applied(1, 3, 1.050))])
    found = convergence([change(2, 1.0)], nodes, times)
    assert found.missing == 1
    assert found.needed == 3
    assert found.per_change.max == pytest.approx(40.0)
    assert found.per_node.p50 == pytest.approx(10.0)
    assert found.from_submit.max == pytest.approx(50.0)


def test_an_earlier_hold_of_a_version_does_not_count_for_a_later_change() -> None:
    times = AppliedTimes()
    times.add([report(Applied(0, 2, 1.0), Applied(0, 3, 4.0))])
    assert times.first_holding(0, 3, after=2.0) == 4.0
    assert times.first_holding(0, 4, after=0.0) is None


def test_quantiles_are_by_nearest_rank() -> None:
    found = distribution(float(value) for value in range(1, 201))
    assert (found.p50, found.p99, found.max) == (100.0, 198.0, 200.0)
    assert distribution([]).count == 0


def test_a_line_through_points_gives_them_back() -> None:
    line = fitted_line([0.0, 10.0, 20.0], [5.0, 25.0, 45.0])
    assert (line.at_zero, line.slope) == (pytest.approx(5.0), pytest.approx(2.0))
    assert line.at(30.0) == pytest.approx(65.0)
    assert line.residual == pytest.approx(0.0)
