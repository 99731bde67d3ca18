"""Relays that just started: they connect to one another and share what they know."""

from __future__ import annotations

from tests.relay.site import RELAYS, Site

from peppershore.connection.messages.relay import ConfirmRequest
from peppershore.process.endpoints.exchange import (
    BACKOFF_CEILING_SECONDS,
    DIGEST_SECONDS,
    LEASE_SECONDS,
)
from peppershore.process.endpoints.notices import RelayPeerConnected
from peppershore.process.relay.source import CONFIRM_SECONDS, UNCONFIRMED_SECONDS

NAMES = [relay.name for relay in RELAYS]


def test_relays_that_start_together_find_one_another_before_the_next_digest() -> None:
    assert BACKOFF_CEILING_SECONDS < DIGEST_SECONDS
    site = Site()
    for late in NAMES[1:]:
        site.network.kill(late)
    site.network.run(0.1)
    for late in NAMES[1:]:
        site.restart_relay(late)
    site.network.run(BACKOFF_CEILING_SECONDS + 0.1)
    for name in NAMES:
        found = {each.relay for each in site.notices(name, RelayPeerConnected)}
        assert found == set(NAMES) - {name}


def test_a_node_receives_endpoints_from_a_relay_that_just_started() -> None:
    site = Site()
    watcher = site.start_node("w", "kuitti")
    site.make_ready("w")
    site.network.run(1.5)
    first = site.relay_of("w")
    for other in NAMES:
        if other != first:
            site.network.cut(first, other)
    site.network.cut(first, "x")
    site.start_node("x", "kuitti")
    site.network.run(0.5)
    site.make_ready("x")
    site.network.run(1.0)
    assert {each.node for each in watcher.known.endpoints} == {"w"}
    site.network.kill(first)
    site.network.run(2.0)
    assert site.relay_of("w") not in {"", first}
    assert {each.node for each in watcher.known.endpoints} == {"w", "x"}
    assert LEASE_SECONDS > 1.5 + 0.5 + 1.0 + 2.0, "the relays are not settled yet"


def test_a_relay_is_fresh_soon_after_its_replica_can_confirm() -> None:
    """A relay that starts during an election asks before any leader can confirm."""
    site = Site()
    site.replica.has_quorum = False
    site.restart_relay("r1")
    site.network.run(0.73)
    site.replica.has_quorum = True
    site.network.run(2 * UNCONFIRMED_SECONDS)
    assert site.relays["r1"].source.is_fresh(site.network.now)


def test_a_fresh_relay_requests_confirmations_at_the_normal_interval() -> None:
    site = Site()
    site.network.run(1.0)
    before = site.count_sent("r1", ConfirmRequest)
    site.network.run(10 * CONFIRM_SECONDS)
    assert site.count_sent("r1", ConfirmRequest) - before <= 11
