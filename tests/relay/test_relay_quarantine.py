"""Records of requests under which back ends crash spread from one node to all."""

from __future__ import annotations

from tests.relay.site import Site

from peppershore.connection.messages.crashes import CrashesDigest, CrashesTold
from peppershore.connection.messages.node import UpdateOffered
from peppershore.process.node.core import NodeCore
from peppershore.process.node.inputs import BackEndEnded, SuspectEndedWell
from peppershore.process.quarantine.notices import RequestQuarantined
from peppershore.process.relay.core import RequestReleased
from peppershore.request.quarantine import HOLD_SECONDS, Suspect

KEY = b"marked"
MARKED = Suspect(b"head", KEY)
BYSTANDER = Suspect(b"head-2", b"bystander")
SPREAD_SECONDS = 0.05


def site_of(nodes: int = 6) -> Site:
    site = Site()
    for index in range(nodes):
        site.start_node(f"n{index}", "kuitti", seed=index + 1)
    site.network.run(12.0)
    return site


def crash_at(site: Site, *nodes: str) -> None:
    for node in nodes:
        event = BackEndEnded(f"life-of-{node}", (MARKED,))
        site.network.give(node, event)


def standings(site: Site) -> set[str]:
    now = site.network.now
    return {core.quarantine.table.standing(KEY, now) for core in site.nodes.values()}


def test_ends_seen_by_three_nodes_hold_a_request_at_all() -> None:
    site = site_of()
    assert len({site.relay_of(name) for name in site.nodes}) > 1
    crash_at(site, "n0", "n1")
    site.network.run(SPREAD_SECONDS)
    assert standings(site) == {"suspect"}
    crash_at(site, "n2")
    site.network.run(SPREAD_SECONDS)
    assert standings(site) == {"held"}
    assert site.notices("n5", RequestQuarantined)


def test_a_single_crash_is_not_sent_to_other_nodes() -> None:
    site = site_of()
    crash_at(site, "n0")
    site.network.run(SPREAD_SECONDS)
    reporting = [name for name in site.nodes if site.count_sent(name, CrashesTold)]
    assert reporting == ["n0"]
    assert all(
        not any(isinstance(each, CrashesTold) for each in process.received)
        for name, process in site.network.processes.items()
        if name in site.nodes
    )


def test_a_successful_run_at_one_node_clears_a_request_at_all() -> None:
    site = site_of()
    crash_at(site, "n0", "n1", "n2")
    site.network.run(SPREAD_SECONDS)
    site.network.give("n4", SuspectEndedWell(KEY))
    site.network.run(SPREAD_SECONDS)
    assert standings(site) == {"clear"}


def test_an_operator_can_release_a_request_at_any_relay() -> None:
    site = site_of()
    crash_at(site, "n0", "n1", "n2")
    site.network.run(SPREAD_SECONDS)
    site.network.give("r3", RequestReleased(KEY))
    site.network.run(SPREAD_SECONDS)
    assert standings(site) == {"clear"}


def test_a_starting_node_receives_the_quarantine_before_its_configuration() -> None:
    site = site_of()
    crash_at(site, "n0", "n1", "n2")
    site.network.run(1.0)
    late = site.start_node("late", "kuitti", seed=9)
    site.network.run(1.0)
    assert late.quarantine.table.standing(KEY, site.network.now) == "held"
    received = [type(each) for each in site.network.processes["late"].received]
    assert received.index(CrashesTold) < received.index(UpdateOffered)


def test_a_starting_relay_receives_the_quarantine_from_relays_and_nodes() -> None:
    site = site_of()
    crash_at(site, "n0", "n1", "n2")
    site.network.run(SPREAD_SECONDS)
    relay = site.restart_relay("r1", seed=7)
    site.network.run(3.0)
    assert relay.quarantine.table.standing(KEY, site.network.now) == "held"
    for name in site.relays:
        site.network.kill(name)
    for name in site.relays:
        site.restart_relay(name, seed=8)
    site.network.run(3.0)
    tables = [each.quarantine.table for each in site.relays.values()]
    assert {each.standing(KEY, site.network.now) for each in tables} == {"held"}


def test_records_lost_between_relays_are_recovered_by_the_digest() -> None:
    site = site_of()
    for node in ("n0", "n1", "n2"):
        site.network.lose_next(site.relay_of(node), CrashesTold)
        crash_at(site, node)
        site.network.run(SPREAD_SECONDS)
    site.network.run(4.5)
    tables = [each.quarantine.table for each in site.relays.values()]
    assert len({each.digest() for each in tables}) == 1
    assert any(site.count_sent(name, CrashesDigest) for name in site.relays)


def test_a_hold_expires_at_all_nodes() -> None:
    site = site_of()
    crash_at(site, "n0", "n1", "n2")
    site.network.run(HOLD_SECONDS + 1.0)
    assert standings(site) == {"suspect"}


def test_a_request_present_at_a_single_crash_is_not_suspected() -> None:
    site = site_of()
    event = BackEndEnded("life-of-n0", (MARKED, BYSTANDER))
    site.network.give("n0", event)
    crash_at(site, "n1", "n2")
    site.network.run(SPREAD_SECONDS)
    nodes: list[NodeCore] = list(site.nodes.values())
    now = site.network.now
    assert {each.quarantine.table.standing(BYSTANDER.key, now) for each in nodes} == {
        "clear"
    }
