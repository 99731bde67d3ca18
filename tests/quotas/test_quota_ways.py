"""Path of quota requests from a node through its relay to the group, and back."""

from __future__ import annotations

import pytest
from tests.relay.scripted_replica import ScriptedReplica
from tests.relay.site import Site

from peppershore.connection.authorization import authorizer
from peppershore.connection.identity import PeerIdentity, format_identity
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.quotas import (
    QuotaAsked,
    QuotaForwarded,
    QuotaGranted,
    QuotaReturned,
    TenantAsk,
    TenantGrant,
)
from peppershore.process import events
from peppershore.process.commands import Command, SendMessage
from peppershore.process.node.commands import QuotaAnswered
from peppershore.process.node.inputs import QuotaWanted
from peppershore.process.settings import QuotaSettings

QUOTAS = QuotaSettings(window_seconds=5.0, overshoot=0.1, slack=20.0)
ASK = QuotaAsked(1, (TenantAsk("studio", 3),))

NODE = PeerIdentity("refund", "node", "kassa-1", "kassa", "pasila")
CONTROL = PeerIdentity("refund", "control", "control-1")
RELAY = PeerIdentity("refund", "relay", "relay-1")
CLAIMS = PeerIdentity("refund", "claims", "claims-1")
OPERATOR = PeerIdentity("refund", "operator", "anna")
EVERYBODY = (NODE, CONTROL, RELAY, CLAIMS, OPERATOR)


class GrantingReplica(ScriptedReplica):
    """A replica that grants all requested calls."""

    def step(self, event: events.Event, now: float) -> list[Command]:
        if isinstance(event, events.MessageReceived) and isinstance(
            event.message, QuotaAsked
        ):
            asked = event.message
            grants = tuple(TenantGrant(each.tenant, each.calls) for each in asked.asks)
            granted = QuotaGranted(asked.number, grants, 400)
            return [SendMessage(event.link, granted)]
        return super().step(event, now)


class GrantingSite(Site):
    """A site whose replica grants all requested calls."""

    def __init__(self, **relay_settings: object) -> None:
        super().__init__(**relay_settings)  # type: ignore[arg-type]
        self.network.processes["replica"].core = self._granting()

    def _granting(self) -> GrantingReplica:
        granting = GrantingReplica()
        granting.__dict__.update(self.replica.__dict__)
        return granting


def answers(site: Site, node: str) -> list[QuotaGranted]:
    others = site.network.processes[node].others
    return [each.granted for each in others if isinstance(each, QuotaAnswered)]


def with_node(site: Site) -> None:
    site.start_node("n1", "kassa")
    site.network.run(3.0)
    assert site.relay_of("n1")


def test_a_request_is_granted_through_relay_and_replica() -> None:
    site = GrantingSite(quotas=QUOTAS)
    with_node(site)
    site.network.give("n1", QuotaWanted(ASK))
    site.network.run(0.05)
    (answer,) = answers(site, "n1")
    assert answer.number == ASK.number
    assert answer.grants == (TenantGrant("studio", 3),)
    assert 300 < answer.lease_milliseconds <= 400


def test_a_relay_without_a_replica_sends_its_request_once_it_has_one() -> None:
    site = GrantingSite(quotas=QUOTAS)
    with_node(site)
    relay = site.relay_of("n1")
    site.network.cut(relay, "replica")
    site.network.give("n1", QuotaWanted(ASK))
    site.network.run(0.05)
    assert answers(site, "n1") == []
    site.network.cuts.clear()
    site.network.give("n1", QuotaWanted(QuotaAsked(2, ASK.asks)))
    site.network.run(0.3)
    assert sum(grant.calls for each in answers(site, "n1") for grant in each.grants) >= 3


def test_a_node_without_a_relay_sends_nothing() -> None:
    site = GrantingSite(quotas=QUOTAS)
    site.start_node("n1", "kassa")
    site.network.give("n1", QuotaWanted(ASK))
    site.network.run(0.5)
    assert site.count_sent("n1", QuotaAsked) == 0


def test_a_relay_without_the_setting_sends_no_request() -> None:
    site = GrantingSite()
    with_node(site)
    relay = site.relay_of("n1")
    site.network.give("n1", QuotaWanted(ASK))
    site.network.run(0.5)
    assert site.count_sent(relay, QuotaAsked) == 0
    assert [each.is_known for each in answers(site, "n1")] == [False]


@pytest.mark.parametrize(
    ("own", "message", "senders"),
    [
        (RELAY, ASK, {NODE, RELAY}),
        (CONTROL, QuotaForwarded("r", 1, ASK.asks), {CONTROL}),
        (CONTROL, QuotaReturned("r", QuotaGranted(1, (), 1)), {CONTROL}),
        (NODE, QuotaGranted(1, (), 400), {RELAY, CONTROL}),
        (CLAIMS, QuotaForwarded("r", 1, ASK.asks), set[PeerIdentity]()),
    ],
)
def test_only_these_roles_may_send_it(
    own: PeerIdentity, message: Message, senders: set[PeerIdentity]
) -> None:
    allowed = authorizer(own)
    found = {peer for peer in EVERYBODY if not allowed(format_identity(peer), message)}
    assert found == senders
