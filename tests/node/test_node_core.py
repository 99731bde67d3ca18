"""The node core without a shell: which versions it accepts, refuses and puts into use."""

from __future__ import annotations

import math
from typing import TypeVar

import pytest

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.endpoints import EndpointsPacked
from peppershore.connection.messages.node import (
    Current,
    Freshness,
    NodeAlive,
    NodeHello,
    UpdateApplied,
    UpdateOffered,
    UpdateRefused,
)
from peppershore.connection.messages.session import Goodbye, RetryAfter
from peppershore.connection.update_packing import pack_update
from peppershore.process import events
from peppershore.process.commands import (
    CloseLink,
    Command,
    OpenLink,
    SendMessage,
    SetTimer,
)
from peppershore.process.node.commands import ConfigurationSwapped, PersistSnapshot
from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.process.node.relay_sessions import CONNECT_TIMER, WATCH_TIMER
from peppershore.process.settings import NodeSettings, PeerRelay
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Edit, Overrides, Scope, SetOverrides, SetZone, Tree
from peppershore.version.tree import apply_edit, empty_tree

SCOPE = Scope("kassa", "pasila")
LONGEST_ANSWER_SECONDS = 1.6
"""Time to send 200 KB over a full link of 1 Mbit/s, on which an answer may wait."""
START_MILLISECONDS = 100_000
"""Time of the node's clock at its start."""
CommandType = TypeVar("CommandType", bound=Command)
MessageType = TypeVar("MessageType", bound=Message)


def trees(count: int) -> list[Tree]:
    """Return versions 1 to ``count``, each with a different time-out."""
    operations = (
        SetZone("pasila", "uusimaa"),
        SetOverrides("/kassa/*/pay", Overrides(path_prefix="/pay", target="kassa")),
    )
    found = [apply_edit(empty_tree("c"), Edit("e", operations), 1).unwrap().tree]
    for version in range(2, count + 1):
        change = SetOverrides("/kassa", Overrides(timeout_milliseconds=version * 1_000))
        edit = Edit(f"e{version}", (change,))
        found.append(apply_edit(found[-1], edit, version).unwrap().tree)
    return found


TREES = trees(4)


def offer(
    version: int, base: int = 0, confirmed_at: int | None = START_MILLISECONDS
) -> UpdateOffered:
    """Return the offer from version ``base`` (0: full state) to ``version``."""
    catalog = ScopeCatalog()
    catalog.load(TREES[max(base, 1) - 1])
    digest = catalog.digest(SCOPE) if base else 0
    if version > max(base, 1):
        catalog.load(TREES[version - 1])
    update = catalog.update_since(SCOPE, base, digest)
    assert update is not None
    return UpdateOffered(pack_update(update), confirmed_at)


def digest_of(version: int) -> int:
    """Return the digest of the node's snapshot at a version."""
    catalog = ScopeCatalog()
    catalog.load(TREES[version - 1])
    return catalog.digest(SCOPE)


class NodeHarness:
    """A node whose first link is open and which has sent its hello."""

    def __init__(
        self,
        data_folder: str = "",
        memory: NodeMemory | None = None,
        reconnect_milliseconds: int = 4_000,
    ) -> None:
        relays = tuple(
            PeerRelay(name=name, zone="pasila", address=name) for name in ("r1", "r2")
        )
        settings = NodeSettings(
            cluster="c",
            node="n",
            service="kassa",
            zone="pasila",
            listen="",
            relays=relays,
            data_folder=data_folder,
            reconnect_milliseconds=reconnect_milliseconds,
        )
        self.core = NodeCore(settings, memory or NodeMemory(1))
        self.now = START_MILLISECONDS / 1_000
        self.out = self.core.step(events.Started(1), self.now)
        self.open_candidate()

    def open_candidate(self) -> int:
        """Open the link that the last step requested; return its number."""
        link = self.only(OpenLink).link
        self.dispatch(events.LinkOpened(link, "relay"))
        return link

    def dispatch(self, event: events.Event) -> list[Command]:
        """Step the core with an event; return its commands."""
        self.out = self.core.step(event, self.now)
        return self.out

    def receive(self, message: Message, link: int = 1) -> list[Command]:
        """Step the core with a received message; return its commands."""
        return self.dispatch(events.MessageReceived(link, message))

    def only(self, kind: type[CommandType]) -> CommandType:
        """Return the only command of this type from the last step."""
        (found,) = [each for each in self.out if isinstance(each, kind)]
        return found

    def has(self, kind: type[Command]) -> bool:
        """Return whether the last step produced a command of this type."""
        return any(isinstance(each, kind) for each in self.out)

    def sent(self, kind: type[MessageType]) -> list[MessageType]:
        """Return the messages of this type that the last step sent."""
        messages = [each.message for each in self.out if isinstance(each, SendMessage)]
        return [each for each in messages if isinstance(each, kind)]


def test_the_hello_says_what_is_held() -> None:
    harness = NodeHarness(memory=NodeMemory(1, floor=7))
    (hello,) = harness.sent(NodeHello)
    assert (hello.version, hello.digest, hello.floor) == (0, 0, 7)


def test_a_node_without_memory_refuses_what_was_confirmed_before_its_hello() -> None:
    harness = NodeHarness()
    harness.now += 0.5
    harness.receive(offer(1, confirmed_at=START_MILLISECONDS - 200))
    assert [each.reason for each in harness.sent(UpdateRefused)] == ["unconfirmed"]
    assert harness.core.holder.holds_nothing
    harness.receive(offer(1, confirmed_at=START_MILLISECONDS + 100))
    assert harness.sent(UpdateApplied) == [UpdateApplied(1, digest_of(1))]


def test_a_node_with_a_floor_takes_unconfirmed_versions_at_or_above_it() -> None:
    harness = NodeHarness(memory=NodeMemory(1, floor=2))
    harness.receive(offer(1, confirmed_at=None))
    assert [each.reason for each in harness.sent(UpdateRefused)] == ["below-floor"]
    harness.receive(offer(2, confirmed_at=None))
    assert harness.core.holder.snapshot.version == 2


def test_an_older_version_on_any_link_is_answered_with_what_is_held() -> None:
    harness = NodeHarness()
    harness.receive(offer(3))
    harness.receive(offer(2))
    assert harness.sent(UpdateApplied) == [UpdateApplied(3, digest_of(3))]
    assert not harness.has(ConfigurationSwapped)


@pytest.mark.parametrize("packed", [b"", b"garbage", offer(1).packed_update[:-3]])
def test_an_undecodable_update_ends_the_link_and_changes_nothing(packed: bytes) -> None:
    harness = NodeHarness()
    harness.receive(UpdateOffered(packed, 0))
    assert harness.has(CloseLink)
    assert harness.core.holder.holds_nothing


def test_a_version_is_used_only_once_it_is_on_disk() -> None:
    harness = NodeHarness(data_folder="somewhere")
    harness.receive(offer(1))
    token = harness.only(PersistSnapshot).token
    assert not harness.has(ConfigurationSwapped)
    assert not harness.sent(UpdateApplied)
    harness.dispatch(events.RecordsPersisted(token))
    assert harness.only(ConfigurationSwapped).active.version == 1
    assert harness.sent(UpdateApplied) == [UpdateApplied(1, digest_of(1))]


def test_a_version_the_disk_refuses_is_not_used_and_tried_again() -> None:
    harness = NodeHarness(data_folder="somewhere")
    harness.receive(offer(1))
    token = harness.only(PersistSnapshot).token
    harness.dispatch(events.RecordsFailed(token, "disk full"))
    assert harness.core.holder.holds_nothing
    harness.dispatch(events.TimerFired("node.persist"))
    again = harness.only(PersistSnapshot).token
    assert again != token
    harness.dispatch(events.RecordsPersisted(token))
    assert harness.core.holder.holds_nothing
    harness.dispatch(events.RecordsPersisted(again))
    assert harness.core.holder.snapshot.version == 1


def test_a_heartbeat_raises_the_version_in_effect_and_is_answered() -> None:
    harness = NodeHarness()
    harness.receive(offer(1))
    harness.now += 0.25
    harness.receive(Freshness(9, START_MILLISECONDS + 100, digest_of(1)))
    assert harness.core.holder.effective_version == 9
    assert harness.core.confirmed_at == 100.1
    assert harness.sent(NodeAlive) == [NodeAlive(9, START_MILLISECONDS + 250)]


def test_a_heartbeat_raises_nothing_while_a_version_is_being_stored() -> None:
    harness = NodeHarness(data_folder="somewhere")
    harness.receive(offer(1))
    harness.dispatch(events.RecordsPersisted(harness.only(PersistSnapshot).token))
    harness.receive(offer(2, base=1))
    token = harness.only(PersistSnapshot).token
    harness.receive(Freshness(9, START_MILLISECONDS, digest_of(1)))
    assert harness.core.holder.effective_version == 1
    harness.dispatch(events.RecordsPersisted(token))
    assert harness.core.holder.effective_version == 2


def test_a_deferred_hello_comes_back_within_the_time_the_relay_gave() -> None:
    harness = NodeHarness()
    harness.receive(RetryAfter(4_000))
    assert harness.has(CloseLink)
    (timer,) = [each for each in harness.out if hasattr(each, "delay_seconds")]
    assert 0 <= timer.delay_seconds <= 4.0


def test_what_the_disk_held_is_used_at_once_and_said_in_the_hello() -> None:
    first = NodeHarness()
    first.receive(offer(2))
    stored = first.core.holder.snapshot
    harness = NodeHarness(memory=NodeMemory(2, floor=2, snapshot=stored))
    (hello,) = harness.sent(NodeHello)
    assert (hello.version, hello.digest, hello.floor) == (2, digest_of(2), 2)
    harness.receive(Current(5, START_MILLISECONDS, digest_of(2)))
    assert harness.core.holder.effective_version == 5


def test_an_answer_to_a_hello_counts_for_what_the_hello_named() -> None:
    harness = NodeHarness()
    harness.receive(offer(2))
    harness.receive(Goodbye("stopping"))
    harness.dispatch(events.TimerFired("relay.connect"))
    other = harness.open_candidate()
    harness.receive(offer(3, base=2))
    harness.receive(Current(4, START_MILLISECONDS, digest_of(2)), other)
    assert harness.core.holder.effective_version == 3
    assert harness.sent(UpdateApplied) == [UpdateApplied(3, digest_of(3))]
    harness.receive(Freshness(4, START_MILLISECONDS, digest_of(2)), other)
    assert harness.core.holder.effective_version == 3


def test_an_answer_to_a_hello_is_acknowledged_with_what_is_held_now() -> None:
    first = NodeHarness()
    first.receive(offer(2))
    harness = NodeHarness(
        memory=NodeMemory(2, floor=2, snapshot=first.core.holder.snapshot)
    )
    harness.receive(Current(4, START_MILLISECONDS, digest_of(2)))
    assert harness.sent(UpdateApplied) == [UpdateApplied(4, digest_of(2))]


def test_a_relay_whose_endpoints_cannot_be_read_is_left() -> None:
    harness = NodeHarness()
    harness.receive(offer(1))
    harness.receive(EndpointsPacked(b"not packed"))
    assert harness.only(CloseLink).reason == "undecodable endpoints"


def test_what_waited_in_a_socket_while_the_node_stood_still_confirms_nothing() -> None:
    harness = NodeHarness()
    harness.receive(offer(1))
    confirmed_at = harness.core.confirmed_at
    assert confirmed_at > 0.0
    harness.now += 60.0
    out = harness.receive(Freshness(2, START_MILLISECONDS + 60_000, digest_of(1)))
    assert harness.core.confirmed_at == confirmed_at
    closed = [each for each in out if isinstance(each, CloseLink)]
    opened = [each for each in out if isinstance(each, OpenLink)]
    assert (len(closed), len(opened)) == (1, 1)


def test_an_offer_confirms_nothing_before_it_is_used() -> None:
    """Otherwise a node long out of contact would reject tokens by outdated keys."""
    harness = NodeHarness(data_folder="data")
    harness.receive(offer(1))
    assert harness.core.confirmed_at == -math.inf
    token = harness.only(PersistSnapshot).token
    harness.now += 1.0
    harness.receive(Freshness(1, START_MILLISECONDS + 900, digest_of(1)))
    assert harness.core.confirmed_at == -math.inf
    harness.dispatch(events.RecordsPersisted(token))
    assert harness.core.confirmed_at == 100.0


def test_heartbeats_confirm_only_what_relay_and_node_agree_on() -> None:
    """A relay may hold an update back without reporting it."""
    held = NodeHarness()
    held.receive(offer(1))
    memory = NodeMemory(2, floor=1, snapshot=held.core.holder.snapshot)
    harness = NodeHarness(memory=memory)
    harness.receive(Freshness(1, START_MILLISECONDS, 0))
    assert harness.core.confirmed_at == -math.inf
    harness.receive(Freshness(1, START_MILLISECONDS, digest_of(2)))
    assert harness.core.confirmed_at == -math.inf
    harness.receive(Current(1, START_MILLISECONDS, digest_of(1)))
    assert harness.core.confirmed_at == harness.now
    harness.now += 1.0
    harness.receive(Freshness(1, START_MILLISECONDS + 750, digest_of(1)))
    assert harness.core.confirmed_at == harness.now - 0.25


def test_what_a_heartbeat_waited_on_its_way_is_not_counted_as_fresh() -> None:
    harness = NodeHarness()
    harness.receive(offer(1))
    harness.now += 1.2
    harness.receive(Freshness(1, START_MILLISECONDS + 300, digest_of(1)))
    assert harness.core.confirmed_at == 100.3
    harness.receive(Freshness(1, None, digest_of(1)))
    assert harness.core.confirmed_at == 100.3


def test_a_refused_offer_ends_the_agreement() -> None:
    held = NodeHarness()
    held.receive(offer(1))
    memory = NodeMemory(2, floor=3, snapshot=held.core.holder.snapshot)
    harness = NodeHarness(memory=memory)
    harness.receive(Current(1, START_MILLISECONDS, digest_of(1)))
    agreed_at = harness.core.confirmed_at
    harness.now += 1.0
    harness.receive(offer(2))
    assert [each.reason for each in harness.sent(UpdateRefused)] == ["below-floor"]
    harness.receive(Freshness(1, START_MILLISECONDS + 900, 0))
    assert harness.core.confirmed_at == agreed_at


def test_after_a_long_cut_a_node_is_back_soon_after_its_relays_are_reached() -> None:
    harness = NodeHarness(reconnect_milliseconds=250)
    harness.receive(offer(1))
    waits: list[float] = []
    for _ in range(60):
        timers = [each for each in harness.out if isinstance(each, SetTimer)]
        waits += [each.delay_seconds for each in timers if each.timer == CONNECT_TIMER]
        harness.now += 0.25
        harness.dispatch(events.TimerFired(WATCH_TIMER))
        if any(each.timer == CONNECT_TIMER for each in timers):
            harness.dispatch(events.TimerFired(CONNECT_TIMER))
    assert len(waits) >= 8
    assert max(waits) <= 0.25


def without_relay() -> NodeHarness:
    """Return a node that lost its first relay and is dialling the other."""
    harness = NodeHarness(reconnect_milliseconds=250)
    harness.dispatch(events.LinkClosed(1, "connection refused"))
    harness.dispatch(events.TimerFired(CONNECT_TIMER))
    assert harness.has(OpenLink)
    return harness


def watch_until_given_up(harness: NodeHarness) -> float:
    """Advance time until the link in progress is given up; return the seconds."""
    began = harness.now
    while not harness.has(CloseLink):
        assert harness.now < began + 5.0
        timers = [each for each in harness.out if isinstance(each, SetTimer)]
        waits = [each.delay_seconds for each in timers if each.timer == WATCH_TIMER]
        harness.now += waits[0] if waits else 0.05
        harness.dispatch(events.TimerFired(WATCH_TIMER))
    return harness.now - began


def test_without_a_relay_a_machine_that_says_nothing_is_soon_passed_over() -> None:
    """A machine without power never answers; the next relay may be available."""
    harness = without_relay()
    assert watch_until_given_up(harness) <= 0.5
    harness.dispatch(events.TimerFired(CONNECT_TIMER))
    assert harness.has(OpenLink)


def test_relays_that_are_far_away_are_given_more_time_each_round() -> None:
    harness = without_relay()
    given = []
    for _ in range(4):
        given.append(watch_until_given_up(harness))
        harness.dispatch(events.TimerFired(CONNECT_TIMER))
    assert given[0] < given[-1]
    assert 0.9 <= given[-1] <= 1.5


def test_relays_whose_answers_wait_on_a_full_link_are_given_more_time_each_round() -> None:
    harness = without_relay()
    given: list[float] = []
    for _ in range(4):
        harness.open_candidate()
        given.append(watch_until_given_up(harness))
        harness.dispatch(events.TimerFired(CONNECT_TIMER))
    assert given[0] <= 0.7
    assert given[-1] >= LONGEST_ANSWER_SECONDS


def test_with_a_relay_in_use_another_is_given_its_full_time() -> None:
    harness = NodeHarness()
    harness.receive(offer(1))
    harness.receive(Goodbye("stopping"))
    harness.dispatch(events.TimerFired(CONNECT_TIMER))
    assert harness.has(OpenLink)
    harness.now += 0.5
    harness.dispatch(events.TimerFired(WATCH_TIMER))
    assert not harness.has(CloseLink)


def test_a_node_that_is_cut_off_for_hours_goes_on_dialling() -> None:
    harness = without_relay()
    for _ in range(1_100):
        watch_until_given_up(harness)
        harness.dispatch(events.TimerFired(CONNECT_TIMER))
    assert harness.has(OpenLink)
