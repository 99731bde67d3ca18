"""Mass reconnects: thousands of nodes connect to one relay at once."""

from __future__ import annotations

import heapq
from collections import Counter

import pytest
from tests.relay.scripted_replica import CLUSTER, base_operations, timeout_change

from peppershore.connection.codec import decode_message
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.node import (
    Current,
    Freshness,
    NodeHello,
    UpdateOffered,
)
from peppershore.connection.messages.relay import (
    CommittedEdit,
    ConfirmReply,
    EditsCommitted,
)
from peppershore.connection.messages.session import RetryAfter
from peppershore.process import events
from peppershore.process.commands import CloseLink, Command, SendEncoded, SendMessage
from peppershore.process.randomness import Randomness
from peppershore.process.relay.core import RelayCore
from peppershore.process.settings import PeerReplica, RelaySettings
from peppershore.process.token_bucket import MAX_RETRY_SECONDS, TokenBucket
from peppershore.version.model import Digest, Edit, Scope, Version

NODES = 9_000
SCOPES = tuple(Scope(service, "pasila") for service in ("kassa", "kuitti"))
REPLICA_LINK = 1
NOW = 100.0


@pytest.mark.parametrize("rate", [300, 600, 3_000])
def test_a_mass_reconnect_is_admitted_at_the_rate_and_no_node_starves(rate: int) -> None:
    bucket, randomness = TokenBucket(rate), Randomness(1)
    arrivals = [(0.0, node, 1) for node in range(NODES)]
    admitted: Counter[int] = Counter()
    attempts = 0
    last = 0.0
    while arrivals:
        now, node, attempt = heapq.heappop(arrivals)
        if bucket.admit(now):
            admitted[int(now)] += 1
            attempts, last = max(attempts, attempt), now
            continue
        wait = randomness.below(bucket.retry_after_seconds())
        heapq.heappush(arrivals, (now + wait, node, attempt + 1))
    assert admitted.total() == NODES
    assert max(admitted.values()) <= rate * 1.25 + 1
    assert last <= NODES / rate + MAX_RETRY_SECONDS
    assert attempts <= 16


class LoneRelay:
    """A relay without a network; 300 changes affect "kassa" and none "kuitti"."""

    def __init__(self, hellos_per_second: int) -> None:
        settings = RelaySettings(
            cluster=CLUSTER,
            relay="r",
            zone="pasila",
            listen="",
            replicas=(PeerReplica(name="replica", address="replica"),),
            hellos_per_second=hellos_per_second,
        )
        self.core = RelayCore(settings)
        self.core.step(events.Started(1), NOW)
        self.core.step(events.LinkOpened(REPLICA_LINK, "replica"), NOW)
        self._accept(1, Edit("first", base_operations()))
        for scope in SCOPES:
            self.core.follower.catalog.use(scope)
        self.first_digests = self.digests()
        for version in range(2, 302):
            change = timeout_change("kassa", "pay", 1_000 + version)
            self._accept(version, Edit(f"change-{version}", change))
        confirm = ConfirmReply(1, 301)
        self.core.step(events.MessageReceived(REPLICA_LINK, confirm), NOW)

    def _accept(self, version: Version, edit: Edit) -> None:
        message = EditsCommitted((CommittedEdit(version, edit),))
        self.core.step(events.MessageReceived(REPLICA_LINK, message), NOW)

    def digests(self) -> dict[Scope, Digest]:
        return {scope: self.core.follower.catalog.digest(scope) for scope in SCOPES}

    def reconnect_all(
        self, version: Version, digests: dict[Scope, Digest]
    ) -> list[Command]:
        """Send the hellos of all nodes at once; return the relay's commands."""
        done: list[Command] = []
        for number in range(NODES):
            scope = SCOPES[number % len(SCOPES)]
            hello = NodeHello(
                CLUSTER, f"n{number}", 1, scope, version, digests[scope], version, 0
            )
            link = 2 * number + 2
            done += self.core.step(events.LinkOpened(link, "x"), NOW)
            done += self.core.step(events.MessageReceived(link, hello), NOW)
        return done


def messages(commands: list[Command]) -> list[Message]:
    """Return the messages among ``commands`` that are sent to nodes."""
    found: list[Message] = []
    for command in commands:
        if isinstance(command, SendEncoded):
            found.append(decode_message(command.payload).unwrap())
        elif isinstance(command, SendMessage) and command.link != REPLICA_LINK:
            found.append(command.message)
    return found


def test_a_mass_reconnect_of_current_nodes_costs_tens_of_bytes_a_node() -> None:
    relay = LoneRelay(hellos_per_second=4 * NODES)
    commands = relay.reconnect_all(301, relay.digests())
    answers = messages(commands)
    assert [type(each) for each in answers] == [Current] * NODES
    sent = sum(len(each.payload) for each in commands if isinstance(each, SendEncoded))
    assert sent <= 32 * NODES
    assert relay.core.distributor.packed_updates.packed_count == 0


def test_a_mass_reconnect_after_hundreds_of_changes_shares_one_update() -> None:
    relay = LoneRelay(hellos_per_second=4 * NODES)
    answers = messages(relay.reconnect_all(1, relay.first_digests))
    kinds = Counter(type(each) for each in answers)
    behind = NODES // 2
    assert kinds == {Freshness: behind, UpdateOffered: behind, Current: NODES - behind}
    updates = relay.core.distributor.packed_updates
    assert updates.packed_count == 1
    assert updates.held_bytes < 1_000


def test_deferred_nodes_have_no_session_at_the_relay() -> None:
    relay = LoneRelay(hellos_per_second=100)
    commands = relay.reconnect_all(301, relay.digests())
    kinds = Counter(type(each) for each in messages(commands))
    deferred = kinds[RetryAfter]
    assert deferred == NODES - kinds[Current] > NODES - 100
    assert sum(isinstance(each, CloseLink) for each in commands) == deferred
    assert len(relay.core.distributor.sessions) == kinds[Current]
