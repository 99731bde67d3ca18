"""Endpoints while relays fail: none is lost, and no removed endpoint returns."""

from __future__ import annotations

from tests.relay.site import Site

from peppershore.connection.codec import encode_message
from peppershore.connection.messages.endpoints import EndpointDigest, EndpointsChanged
from peppershore.process import events
from peppershore.process.node.core import LEAVING_ANNOUNCED_SECONDS, NodeMemory


def test_a_resumed_relay_advertises_only_nodes_it_hears_again() -> None:
    site = Site()
    site.start_node("a", "kuitti")
    other = site.start_node("b", "kuitti")
    site.network.run(10.0)
    silent = site.relay_of("a")
    site.network.freeze(silent)
    site.network.run(0.1)
    site.network.cut(silent, "a")
    site.network.run(8.0)
    site.network.kill("a")
    site.network.run(700.0)
    site.network.thaw(silent)
    for _ in range(30):
        site.network.run(0.1)
        assert {each.node for each in other.known.endpoints} == {"b"}
        for name in site.relays.keys() - {silent}:
            assert site.shown(name, "kuitti") == {"b"}
    site.network.run(5.0)
    assert site.shown(silent, "kuitti") == {"b"}


def test_a_stopping_back_end_is_leaving_after_a_second_and_does_not_return() -> None:
    site = Site()
    site.start_node("a", "kuitti")
    other = site.start_node("b", "kuitti")
    site.make_ready("a", "b")
    site.network.run(10.0)
    site.network.give("a", events.StopRequested())
    site.network.run(LEAVING_ANNOUNCED_SECONDS - 0.01)
    states = {each.node: each.state for each in other.known.endpoints}
    assert states == {"a": "ready", "b": "ready"}
    site.network.run(0.02)
    states = {each.node: each.state for each in other.known.endpoints}
    assert states == {"a": "leaving", "b": "ready"}
    site.network.kill("a")
    site.network.run(60.0)
    assert {each.node for each in other.known.endpoints} == {"b"}


def test_endpoints_of_a_dead_relay_stay_while_its_nodes_register_elsewhere() -> None:
    site = Site()
    watcher = site.start_node("w", "kuitti")
    for index in range(6):
        site.start_node(f"n{index}", "kuitti", seed=index)
    site.network.run(12.0)
    lost = next(name for name in site.relays if name != site.relay_of("w"))
    gone_before = site.gone_endpoints_received("w")
    site.network.kill(lost)
    site.network.run(60.0)
    assert site.gone_endpoints_received("w") == gone_before
    assert len(watcher.known.endpoints) == 7


def test_a_relay_that_is_cut_off_removes_no_endpoints() -> None:
    site = Site()
    watcher = site.start_node("w", "kuitti")
    for index in range(6):
        site.start_node(f"n{index}", "kuitti", seed=index)
    site.network.run(12.0)
    cut = site.relay_of("w")
    for name in ("replica", *site.relays):
        site.network.cut(cut, name)
        site.network.cut("w", name)
    site.network.cuts.discard(frozenset(("w", cut)))
    site.network.run(120.0)
    assert len(watcher.known.endpoints) == 7


def test_a_restarted_relay_does_not_empty_its_nodes_tables() -> None:
    site = Site()
    watcher = site.start_node("w", "kuitti")
    for index in range(6):
        site.start_node(f"n{index}", "kuitti", seed=index)
    site.network.run(12.0)
    for name in list(site.relays):
        site.network.kill(name)
    for relay in list(site.relays):
        site.restart_relay(relay)
    smallest = 7
    for _ in range(300):
        site.network.run(0.1)
        smallest = min(smallest, len(watcher.known.endpoints))
    assert smallest == 7


def test_a_node_with_a_lower_incarnation_supersedes_its_remembered_state() -> None:
    site = Site()
    other = site.start_node("b", "kuitti")
    site.start_node("a", "kuitti", NodeMemory(incarnation=900))
    site.network.run(10.0)
    site.network.kill("a")
    site.network.run(0.5)
    site.start_node("a", "kuitti", NodeMemory(incarnation=5))
    site.make_ready("a")
    site.network.run(1.0)
    mine = {each.node: each for each in other.known.endpoints}["a"]
    assert (mine.incarnation, mine.state) == (901, "ready")


def test_a_lost_endpoint_message_between_relays_is_found_by_the_digest() -> None:
    site = Site()
    site.start_node("a", "kuitti")
    site.network.run(10.0)
    home = site.relay_of("a")
    others = [name for name in site.relays if name != home]
    site.network.lose_next(home, EndpointsChanged)
    site.make_ready("a")
    site.network.run(5.0)
    for name in others:
        known = site.relays[name].exchange.table.get("a")
        assert known is not None
        assert known.state == "ready"


def test_a_suspended_node_is_shown_as_gone_until_it_resumes() -> None:
    site = Site()
    other = site.start_node("b", "kuitti")
    site.start_node("a", "kuitti")
    site.network.run(10.0)
    site.network.freeze("a")
    site.network.run(20.0)
    assert {each.node for each in other.known.endpoints} == {"b"}
    site.network.thaw("a")
    site.network.run(12.0)
    assert {each.node for each in other.known.endpoints} == {"a", "b"}


def test_relays_that_only_hear_each_other_through_a_third_hide_nothing() -> None:
    site = Site()
    names = [f"n{index}" for index in range(8)]
    for index, name in enumerate(names):
        site.start_node(name, "kuitti", seed=index)
    site.network.run(12.0)
    site.network.cut("r1", "r2")
    site.network.run(60.0)
    for relay in site.relays:
        assert site.shown(relay, "kuitti") == set(names)


def test_a_digest_is_one_number_while_nothing_differs() -> None:
    site = Site()
    for index in range(40):
        site.start_node(f"n{index}", "kuitti", seed=index)
    site.network.run(20.0)
    sent = site.network.processes["r1"].sent
    before = len(sent)
    site.network.run(60.0)
    digests = [each for each in sent[before:] if isinstance(each, EndpointDigest)]
    assert len(digests) >= 20
    assert not any(each.buckets for each in digests)
    assert sum(each.hears is not None for each in digests) <= len(digests) / 3
    plain = [encode_message(each) for each in digests if each.hears is None]
    assert max(map(len, plain)) <= 32
