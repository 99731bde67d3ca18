"""Certificates that may request claims, answer such requests, and change the group."""

import pytest

from peppershore.connection.authorization import authorizer
from peppershore.connection.identity import PeerIdentity, format_identity
from peppershore.connection.messages.claims import (
    ClaimCompleted,
    ClaimGranted,
    ClaimNoted,
    ClaimRefused,
    ClaimReleased,
    ClaimRequest,
    ClaimTaken,
)
from peppershore.connection.messages.operators import MembershipChange

NODE = PeerIdentity("refund", "node", "kassa-1", "kassa", "pasila")
CLAIMS = PeerIdentity("refund", "claims", "claims-1")
CONTROL = PeerIdentity("refund", "control", "control-1")
RELAY = PeerIdentity("refund", "relay", "relay-1")
OPERATOR = PeerIdentity("refund", "operator", "anna")
FOREIGN_CLAIMS = PeerIdentity("guild", "claims", "claims-1")

ANSWERS = (ClaimGranted(1), ClaimTaken(1, None), ClaimRefused(1, "full"), ClaimNoted(1))
ASKS = (
    ClaimRequest(1, "k", "a"),
    ClaimCompleted(1, "k", "a", None),
    ClaimReleased(1, "k", "a"),
)


@pytest.mark.parametrize("answer", ANSWERS)
def test_only_a_claims_replica_of_the_cluster_answers(answer):
    allowed = authorizer(NODE)
    assert allowed(format_identity(CLAIMS), answer) == ""
    for peer in (NODE, CONTROL, RELAY, OPERATOR, FOREIGN_CLAIMS):
        assert allowed(format_identity(peer), answer)


@pytest.mark.parametrize("ask", ASKS)
def test_only_a_node_asks(ask):
    allowed = authorizer(CLAIMS)
    assert allowed(format_identity(NODE), ask) == ""
    for peer in (CLAIMS, CONTROL, RELAY, OPERATOR):
        assert allowed(format_identity(peer), ask)


def test_only_an_operator_changes_the_members():
    allowed = authorizer(CLAIMS)
    change = MembershipChange("remove", "claims-2", "")
    assert allowed(format_identity(OPERATOR), change) == ""
    for peer in (NODE, RELAY):
        assert allowed(format_identity(peer), change)
