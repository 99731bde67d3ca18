"""Progress reports of a relay to its replica, about itself and its nodes."""

from __future__ import annotations

from tests.relay.scripted_replica import CLUSTER, timeout_change
from tests.relay.site import Site

from peppershore.connection.messages.node import NodeHello
from peppershore.connection.messages.relay import ProgressReported
from peppershore.process import events
from peppershore.process.commands import SendMessage
from peppershore.process.node.core import NodeMemory
from peppershore.process.relay import notices
from peppershore.process.relay.core import RelayCore
from peppershore.process.relay.departures import VERIFIER_SECONDS
from peppershore.process.relay.progress import MAX_LAGGING_NODES
from peppershore.process.settings import PeerReplica, RelaySettings
from peppershore.version.model import Overrides, Scope, SetOverrides

REPLICAS = (PeerReplica(name="replica", address="replica"),)
ALL_RELAYS = ("r1", "r2", "r3")


def report_of(site: Site, relay: str) -> ProgressReported:
    """Return the newest report of a relay after running 1.1 s, at most 1.1 s old."""
    site.network.run(1.1)
    return site.replica.reports[relay]


def test_a_relay_is_settled_one_lease_time_after_its_start() -> None:
    site = Site()
    assert not report_of(site, "r1").settled
    site.network.run(5.0)
    assert not report_of(site, "r1").settled
    site.network.run(2.0)
    assert report_of(site, "r1").settled


def test_a_restarted_relay_reports_a_new_incarnation_and_restarts_numbering() -> None:
    site = Site()
    site.network.run(10.0)
    former = report_of(site, "r1")
    site.restart_relay("r1", seed=7)
    later = report_of(site, "r1")
    assert later.incarnation != former.incarnation
    assert later.number < former.number
    assert not later.settled


def test_a_resumed_relay_is_not_settled() -> None:
    site = Site()
    site.network.run(10.0)
    assert report_of(site, "r1").settled
    site.network.freeze("r1")
    site.network.run(4.0)
    site.network.thaw("r1")
    assert site.notices("r1", notices.ProcessPaused)
    assert not report_of(site, "r1").settled


def test_a_relay_that_deferred_hellos_is_not_settled_before_they_are_due() -> None:
    site = Site(hellos_per_second=2)
    site.network.run(10.0)
    assert report_of(site, "r1").settled
    for index in range(12):
        site.start_node(f"n{index}", "kuitti", seed=index)
    site.network.run(0.1)
    deferring = [name for name in ("r1", "r2") if site.notices(name, notices.HelloDeferred)]
    assert deferring
    for name in deferring:
        assert not report_of(site, name).settled
    site.network.run(40.0)
    for name in deferring:
        assert report_of(site, name).settled


def test_a_report_names_the_relays_that_are_heard_and_is_numbered() -> None:
    site = Site()
    site.network.run(10.0)
    first = report_of(site, "r1")
    assert first.relays == ALL_RELAYS
    site.network.cut("r1", "r3")
    site.network.run(10.0)
    second = report_of(site, "r1")
    assert second.relays == ("r1", "r2")
    assert (second.incarnation, second.number > first.number) == (first.incarnation, True)


def test_a_held_scope_is_reported_however_many_nodes_are_slow() -> None:
    site = Site(hold_milliseconds=60_000)
    names = [f"n{index}" for index in range(4 * MAX_LAGGING_NODES)]
    for index, name in enumerate(names):
        site.start_node(name, "kuitti", seed=index)
    site.network.run(10.0)
    site.start_node("a", "kassa", seed=99)
    site.network.run(10.0)
    home = site.relay_of("a")
    for name in names:
        site.network.cut(name, home)
    site.edit(timeout_change("kuitti", "find", 1_234))
    site.edit((SetOverrides("/kassa/*/pay", Overrides(target="kuitti")),))
    site.network.run(1.5)
    reasons = [each.reason for each in site.replica.reports[home].lagging]
    assert reasons.count("route:kassa/pay waits for a ready endpoint of kuitti") == 1


def test_before_the_first_version_no_node_is_lagging() -> None:
    relay = RelayCore(
        RelaySettings(cluster=CLUSTER, relay="r", zone="z", listen="", replicas=REPLICAS)
    )
    relay.step(events.Started(1), 0.0)
    relay.step(events.LinkOpened(1, "replica"), 0.0)
    relay.step(events.LinkOpened(2, "x"), 0.0)
    hello = NodeHello(CLUSTER, "x", 1, Scope("kassa", "pasila"), 0, 0, 0, 0)
    relay.step(events.MessageReceived(2, hello), 0.0)
    commands = relay.step(events.TimerFired("relay.progress"), 1.0)
    (report,) = [each.message for each in commands if isinstance(each, SendMessage)]
    assert isinstance(report, ProgressReported)
    assert (report.nodes, report.lagging) == (1, ())


def test_version_in_force_precedes_the_first_of_several_edits_received_together() -> None:
    site = Site()
    site.start_node("a", "kassa")
    site.network.run(5.0)
    distributor = site.relays[site.relay_of("a")].distributor
    held = distributor.version
    assert distributor.in_force() == held
    distributor.tree_changed(held + 9, [Scope("kassa", "pasila")])
    assert distributor.in_force() == held


def test_progress_is_also_reported_while_it_changes_continuously() -> None:
    site = Site()
    site.network.run(10.0)
    before = site.count_sent("r1", ProgressReported)
    for index in range(200):
        site.start_node(f"n{index}", "kuitti", seed=index)
        site.network.run(0.005)
    assert site.count_sent("r1", ProgressReported) - before >= 20


def test_a_new_node_that_does_not_wait_is_not_named_for_a_held_scope() -> None:
    site = Site(hold_milliseconds=60_000)
    waiting = site.start_node("a", "kassa")
    site.network.run(10.0)
    former = NodeMemory(2, floor=1, snapshot=waiting.holder.snapshot)
    home = site.relay_of("a")
    site.edit((SetOverrides("/kassa/*/pay", Overrides(target="kuitti")),))
    site.network.run(0.1)
    site.network.kill("a")
    for index in range(8):
        site.start_node(f"n{index}", "kassa", seed=index)
    site.network.run(0.5)
    assert any(site.relay_of(f"n{index}") == home for index in range(8))
    site.start_node("a", "kassa", former)
    site.network.run(1.5)
    assert site.relay_of("a") == home
    assert [each.node for each in site.replica.reports[home].lagging] == ["a"]


def test_a_silent_node_delays_rotations_after_it_stops_counting_for_in_force() -> None:
    site = Site()
    site.start_node("n1", "kassa")
    site.network.run(10.0)
    relay = site.relay_of("n1")
    site.network.freeze("n1")
    site.edit(timeout_change("kassa", "pay", 77))
    site.network.run(25.0)
    report = report_of(site, relay)
    assert report.in_force == report.version
    assert [each.node for each in report.silent] == ["n1"]
    site.network.run(VERIFIER_SECONDS)
    assert report_of(site, relay).silent == ()
