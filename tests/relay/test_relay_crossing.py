"""Messages of a node that are reordered with updates of its relay.

A node that moves between relays receives versions from both. Scope "kassa" changes from
its first content to another, and in the next version back to the first.
"""

from __future__ import annotations

from tests.relay.scripted_replica import CLUSTER, timeout_change
from tests.relay.site import Site

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.endpoints import Endpoint, EndpointAnnounced
from peppershore.connection.messages.node import (
    Current,
    Freshness,
    NodeHello,
    UpdateApplied,
    UpdateOffered,
)
from peppershore.connection.update_packing import unpack_update
from peppershore.process import events
from peppershore.process.endpoints.table import as_gone
from peppershore.process.node.core import NodeMemory
from peppershore.version.model import Digest, Scope, Version

LINK = 1_000
RELAY = "r1"
SCOPE = Scope("kassa", "pasila")
ENDPOINT = Endpoint("x", "kassa", "pasila", 1, 1, "ready", "x:80", "x:81", 20, 130)
BASE_MILLISECONDS = 10_000
OTHER_MILLISECONDS = 1_234


class OneSession:
    """A relay of a test cluster and a node whose messages the test sends."""

    def __init__(self) -> None:
        self.site = Site()
        self.site.network.run(10.0)
        self.edit(BASE_MILLISECONDS)
        self.site.network.run(0.1)
        self.first_version = self.version
        self.first_digest = self.digest

    @property
    def version(self) -> Version:
        return self.site.relays[RELAY].follower.version

    @property
    def digest(self) -> Digest:
        return self.site.relays[RELAY].follower.catalog.digest(SCOPE)

    @property
    def in_force(self) -> Version:
        """Version in force in the relay's next progress report."""
        self.site.network.run(1.2)
        return self.site.replica.reports[RELAY].in_force

    def edit(self, milliseconds: int) -> None:
        """Accept a change of the scope's only route and let it reach the relay."""
        self.site.edit(timeout_change("kassa", "pay", milliseconds))
        self.site.network.run(0.01)

    def give(self, message: Message) -> None:
        self.site.network.give(RELAY, events.MessageReceived(LINK, message))

    def hello(self, version: Version, digest: Digest) -> None:
        self.site.network.give(RELAY, events.LinkOpened(LINK, "x"))
        self.give(NodeHello(CLUSTER, "x", 1, SCOPE, version, digest, version, 0))

    def sent(self, kind: type[Message]) -> list[Message]:
        sent = self.site.network.processes[RELAY].sent
        return [each for each in sent if isinstance(each, kind)]

    def offered_versions(self) -> list[Version]:
        return [
            unpack_update(each.packed_update, SCOPE, 0).unwrap().version
            for each in self.sent(UpdateOffered)
            if isinstance(each, UpdateOffered)
        ]


def test_an_older_report_does_not_answer_an_outstanding_update() -> None:
    relay = OneSession()
    first, digest = relay.first_version, relay.first_digest
    relay.hello(first, digest)
    relay.edit(OTHER_MILLISECONDS)
    relay.give(UpdateApplied(first, digest))
    assert relay.offered_versions() == [first + 1]
    assert relay.in_force == first
    relay.edit(BASE_MILLISECONDS)
    relay.give(UpdateApplied(first, digest))
    assert relay.in_force == first
    assert relay.offered_versions() == [first + 1]


def test_an_older_report_does_not_change_the_base_of_the_next_update() -> None:
    relay = OneSession()
    first, digest = relay.first_version, relay.first_digest
    relay.hello(first, digest)
    relay.edit(OTHER_MILLISECONDS)
    other_digest = relay.digest
    relay.give(UpdateApplied(first, digest))
    relay.edit(BASE_MILLISECONDS)
    relay.give(UpdateApplied(first + 1, other_digest))
    assert relay.offered_versions() == [first + 1, first + 2]
    relay.give(UpdateApplied(first + 2, digest))
    assert relay.in_force == first + 2


def test_a_node_that_skipped_a_change_counts_as_current_once_it_reports() -> None:
    relay = OneSession()
    first, digest = relay.first_version, relay.first_digest
    relay.edit(OTHER_MILLISECONDS)
    relay.edit(BASE_MILLISECONDS)
    relay.hello(first, digest)
    (answer,) = relay.sent(Current)
    assert isinstance(answer, Current)
    assert (answer.version, answer.digest) == (first + 2, digest)
    assert relay.in_force == first
    relay.give(UpdateApplied(first + 2, digest))
    assert relay.in_force == first + 2
    assert relay.sent(UpdateOffered) == []


def test_a_node_that_got_the_skipped_change_from_another_relay_is_sent_the_next() -> None:
    relay = OneSession()
    first, digest = relay.first_version, relay.first_digest
    relay.edit(OTHER_MILLISECONDS)
    other_digest = relay.digest
    relay.edit(BASE_MILLISECONDS)
    relay.hello(first, digest)
    relay.give(UpdateApplied(first + 1, other_digest))
    assert relay.offered_versions() == [first + 2]
    assert relay.in_force < first + 2


def test_a_repeated_report_is_answered_once() -> None:
    relay = OneSession()
    first, digest = relay.first_version, relay.first_digest
    relay.edit(OTHER_MILLISECONDS)
    relay.edit(BASE_MILLISECONDS)
    relay.hello(first, digest)
    for _ in range(3):
        relay.give(UpdateApplied(first, digest))
    assert len(relay.sent(Current)) == 1
    relay.site.network.run(2.5)
    beats = [each for each in relay.sent(Freshness) if isinstance(each, Freshness)]
    assert beats[-1].version == first


def test_a_node_seen_at_another_relay_counts_here_until_that_relay_has_reported() -> None:
    relay = OneSession()
    site, first = relay.site, relay.first_version
    relay.hello(first, relay.first_digest)
    site.network.give(RELAY, events.LinkClosed(LINK, "reset"))
    site.start_node("x", "kassa", NodeMemory(incarnation=1))
    site.network.cut("x", RELAY)
    relay.edit(OTHER_MILLISECONDS)
    site.network.run(0.3)
    assert site.relays[RELAY].exchange.table.get("x") is not None
    assert site.replica.reports[RELAY].in_force == first
    site.network.run(2.5)
    assert site.replica.reports[RELAY].in_force == first + 1


def test_a_hidden_endpoint_does_not_count_as_seen_at_another_relay() -> None:
    relay = OneSession()
    first = relay.first_version
    relay.hello(first, relay.first_digest)
    relay.give(EndpointAnnounced(ENDPOINT))
    relay.site.network.run(0.1)
    relay.edit(OTHER_MILLISECONDS)
    relay.site.network.give(RELAY, events.LinkClosed(LINK, "reset"))
    relay.site.relays[RELAY].exchange.table.hide("x", relay.site.network.now)
    relay.site.relays[RELAY].exchange.changed["x"] = as_gone(ENDPOINT)
    relay.site.network.run(4.0)
    assert relay.site.replica.reports[RELAY].in_force == first


def test_a_node_ahead_of_its_relay_is_checked_again_when_the_relay_catches_up() -> None:
    """Guards against a node that keeps an old version and is told that it is current.

    In a simulated run, a node held version 965 while its relay reported 1079 as in
    effect. The node had its version from another relay. Its own relay was far behind
    and counted it as current. The relay then loaded a complete tree in which the scope
    was as the relay last knew it, so that nothing seemed to have changed for the node.
    """
    relay = OneSession()
    held, digest = relay.first_version, relay.first_digest
    relay.hello(held, digest)
    relay.site.replica.loses_edits = True
    relay.edit(OTHER_MILLISECONDS)
    relay.give(UpdateApplied(held + 1, digest ^ 1))
    relay.edit(BASE_MILLISECONDS)
    assert relay.version == held
    relay.site.replica.forgets_log = True
    relay.site.network.kill("replica")
    relay.site.network.start("replica", relay.site.replica)
    relay.site.network.run(3.0)
    assert relay.version == held + 2
    assert relay.offered_versions() == [held + 2]


def test_a_heartbeat_precedes_the_first_update_after_a_hello() -> None:
    """On a slow link an update can take a second, and nodes leave silent relays."""
    relay = OneSession()
    first, digest = relay.first_version, relay.first_digest
    relay.edit(OTHER_MILLISECONDS)
    relay.hello(first, digest)
    sent = relay.site.network.processes[RELAY].sent
    kinds = [type(each) for each in sent if isinstance(each, Freshness | UpdateOffered)]
    assert kinds[-2:] == [Freshness, UpdateOffered]
