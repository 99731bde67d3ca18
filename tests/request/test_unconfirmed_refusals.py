"""A final refusal requires a recently confirmed configuration.

Guards against a 404 for a route that had been added: a node that had received no
confirmation for longer than the operators' bound refused the call. Beyond the bound, the
refusal must be a temporary one, since another version may accept the call.
"""

from __future__ import annotations

import pytest
from returns.result import Result

from peppershore.connection.http_head import RequestHead
from peppershore.process.node.data.call_entry import CallEntry, EntryPlan, Freshness
from peppershore.process.randomness import Randomness
from peppershore.process.settings import NodeSettings
from peppershore.request.outcome import NotRun
from peppershore.request.running_calls import RunningCalls
from peppershore.request.wire_names import OWN_NAMES
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import RouteResource, RouteSettings, Scope

BOUND_SECONDS = 5.0
"""Time within which a change is in force everywhere, unless the settings say otherwise."""
NOW = 1_000.0
ROUTES = (
    ("open", RouteSettings(path_prefix="/open", audience=("public",), max_body_bytes=10)),
    ("closed", RouteSettings(path_prefix="/closed", audience=("member",))),
)
FINAL = {
    "no-route": (RequestHead(b"GET", b"/new", [], 0), 404),
    "body-too-large": (RequestHead(b"GET", b"/open", [], 11), 413),
    "audience-not-verifiable": (RequestHead(b"GET", b"/closed", [], 0), 403),
}


def planned(head: RequestHead, age_seconds: float) -> Result[EntryPlan, NotRun]:
    """Plan a call with a configuration that was confirmed ``age_seconds`` ago."""
    settings = NodeSettings(
        cluster="mesh",
        node="n1",
        service="kassa",
        zone="a",
        listen="10.0.0.5:81",
        relays=(),
    )
    freshness = Freshness()
    freshness.confirmed(NOW - age_seconds)
    entry = CallEntry(settings, freshness, Randomness(1), OWN_NAMES)
    routes = tuple(RouteResource("kassa", name, route) for name, route in ROUTES)
    active = ActiveConfiguration(Scope("kassa", "a"), 3, 1, routes, {}, {})
    return entry.plan(active, head, NOW, RunningCalls())


@pytest.mark.parametrize("reason", FINAL)
def test_a_final_refusal_is_given_by_a_confirmed_configuration(reason: str) -> None:
    head, status = FINAL[reason]
    refusal = planned(head, BOUND_SECONDS - 0.1).failure()
    assert (refusal.status, refusal.reason) == (status, reason)


@pytest.mark.parametrize("reason", FINAL)
def test_past_the_bound_the_refusal_is_temporary(reason: str) -> None:
    head, _ = FINAL[reason]
    refusal = planned(head, BOUND_SECONDS + 0.1).failure()
    assert (refusal.status, refusal.reason) == (503, "configuration-not-confirmed")
    assert refusal.retry_after_milliseconds > 0


def test_calls_allowed_by_an_old_configuration_are_served() -> None:
    head = RequestHead(b"GET", b"/open", [], 5)
    assert planned(head, 60.0).unwrap().plan.route == "open"
