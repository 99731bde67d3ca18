"""A process of the fleet starts with whatever figures the platform fills in.

One that refuses them would end at every start on every machine.
"""

from __future__ import annotations

import copy
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from tests.platform_adapter.templates import filled
from tests.platform_adapter.test_adapter import FILLED

from peppershore.process.node.profile import retry_bound
from peppershore.process.settings import HubSettings, NodeSettings
from peppershore.process.settings_loader import KINDS, adjust_settings

FIGURES = {
    "faultTolerance": ("machines",),
    "limits": ("linkBandwidthMbps",),
    "bounds": (
        "gracePeriodS",
        "retryBudgetRatio",
        "budgetWindowS",
        "retryBudgetSlack",
        "quotaWindowS",
        "quotaOvershoot",
        "quotaSlack",
        "revocationMs",
    ),
}
"""The numbers that the templates take, by their table."""

NUMBERS = st.one_of(
    st.none(),
    st.sampled_from([0, -1, 1e308, 10**400, 29.285714285714285, 0.5, -0.0]),
    st.integers(-(10**30), 10**30),
    st.floats(allow_nan=False, allow_infinity=False),
)
SEEDS = st.lists(
    st.integers(1, 200).map(lambda number: f"10.4.0.{number}:8400"),
    max_size=30,
    unique=True,
)


@st.composite
def platform_values(draw: st.DrawFn) -> dict[str, Any]:
    values = copy.deepcopy(FILLED)
    for table, names in FIGURES.items():
        values[table] = {name: draw(NUMBERS) for name in names}
    values["seedNodes"] = draw(SEEDS)
    values["firstStart"] = draw(st.sampled_from(["true", "false"]))
    return values


@pytest.mark.parametrize("role", ["node", "hub"])
@given(values=platform_values())
def test_any_figures_give_settings_to_start_with(role: str, values: dict[str, Any]) -> None:
    found = adjust_settings(KINDS[role], filled(role, values), {})
    assert isinstance(found, Success), found


def with_bounds(**bounds: Any) -> dict[str, Any]:
    return FILLED | {"bounds": FILLED["bounds"] | bounds}


def test_a_fraction_is_kept_where_it_can_be_used() -> None:
    text = filled("node", with_bounds(retryBudgetSlack=29.285714285714285))
    found = adjust_settings(NodeSettings, text, {}).unwrap()
    bound = retry_bound(found.settings.shared_retries)
    assert bound is not None
    assert bound.slack == 29.285714285714285
    assert found.adjustments == ()


def test_the_nearest_value_is_used_and_told() -> None:
    text = filled("node", with_bounds(retryBudgetRatio=3, budgetWindowS=0))
    found = adjust_settings(NodeSettings, text, {}).unwrap()
    told = {each.key: (each.given, each.used) for each in found.adjustments}
    assert told == {
        "shared_retries.ratio": ("3", "1.0"),
        "shared_retries.window_seconds": ("0", "0.1"),
    }
    assert found.settings.shared_retries is not None
    assert found.settings.shared_retries.ratio == 1.0


def test_a_fraction_of_a_machine_becomes_a_whole_number() -> None:
    values = FILLED | {"faultTolerance": {"machines": 1.6}}
    found = adjust_settings(HubSettings, filled("hub", values), {}).unwrap()
    assert found.settings.tolerated_losses == 2


@pytest.mark.parametrize("role", ["node", "hub"])
def test_without_seeds_a_process_waits_for_changed_settings(role: str) -> None:
    found = adjust_settings(KINDS[role], filled(role, FILLED | {"seedNodes": []}), {})
    assert [each.given for each in found.unwrap().adjustments] == ["nothing"]


@pytest.mark.parametrize("missing", ["listenAddresses", "nodeName", "zone"])
def test_what_a_node_cannot_live_without_ends_it(missing: str) -> None:
    values = {name: value for name, value in FILLED.items() if name != missing}
    text = filled("node", values)
    assert isinstance(adjust_settings(NodeSettings, text, {}), Failure)
