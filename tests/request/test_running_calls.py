"""Whether a call is made by the local back end for a request it runs, or by a caller."""

from __future__ import annotations

import pytest

from peppershore.connection.http_head import RequestHead
from peppershore.process.node.data.call_entry import CallEntry, Freshness
from peppershore.process.randomness import Randomness
from peppershore.process.settings import NodeSettings
from peppershore.request.running_calls import RunningCalls
from peppershore.request.wire_names import OWN_NAMES
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import RouteResource, RouteSettings, Scope

MACHINE = "10.0.0.5"


def _plan_class(request_id: bytes, peer: str, running: RunningCalls) -> str:
    settings = NodeSettings(
        cluster="mesh",
        node="n1",
        service="kassa",
        zone="a",
        listen=f"{MACHINE}:81",
        relays=(),
        internal_listen=f"{MACHINE}:82",
        admin_listen=f"{MACHINE}:83",
        backend=f"{MACHINE}:80",
    )
    entry = CallEntry(settings, Freshness(), Randomness(1), OWN_NAMES)
    route = RouteSettings(path_prefix="/ledger", methods=("GET",), audience=("public",))
    routes = (RouteResource("kassa", "ledger", route),)
    active = ActiveConfiguration(Scope("kassa", "a"), 3, 1, routes, {}, {})
    fields = [(OWN_NAMES.request_id, request_id)]
    head = RequestHead(b"GET", b"/ledger/1", fields, 0, peer_address=peer)
    return entry.plan(active, head, 5.0, running).unwrap().plan.call_class


@pytest.mark.parametrize(
    ("request_id", "peer", "expected"),
    [
        (b"aa.bb", MACHINE, "critical"),
        (b"aa.bb", "10.0.0.6", "normal"),
        (b"cc.bb", MACHINE, "normal"),
        (b"aa", MACHINE, "normal"),
        (b"", MACHINE, "normal"),
        (b".", MACHINE, "normal"),
    ],
)
def test_another_caller_on_the_machine_is_not_taken_for_the_back_end(
    request_id: bytes, peer: str, expected: str
) -> None:
    running = RunningCalls()
    running.began(b"aa")
    assert _plan_class(request_id, peer, running) == expected


def test_an_id_counts_until_its_last_run_is_over() -> None:
    running = RunningCalls()
    running.began(b"aa")
    running.began(b"aa")
    running.ended(b"aa")
    assert running.includes_parent_of(b"aa.1")
    assert running.includes_parent_of(b"aa.b")
    running.ended(b"aa")
    assert not running.includes_parent_of(b"aa.1")


def test_nested_calls_name_their_nearest_parent() -> None:
    running = RunningCalls()
    running.began(b"aa.bb")
    assert running.includes_parent_of(b"aa.bb.cc")
    assert not running.includes_parent_of(b"aa.cc")
