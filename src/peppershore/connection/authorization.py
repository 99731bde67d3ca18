"""Authorization of messages by the identity in the sender's certificate.

A link without TLS has no identity and allows every message, so it is suitable only for
trials on one machine. With TLS, a peer may send the messages of its role only, and the
node, relay, service, zone and cluster by which a message identifies its sender must match
the sender's certificate.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from returns.result import Failure

from peppershore.connection.identity import PeerIdentity, parse_identity
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import CallLinkHello
from peppershore.connection.messages.endpoints import EndpointAnnounced, RelayHello
from peppershore.connection.messages.node import NodeHello
from peppershore.connection.messages.relay import FollowRequest, ProgressReported
from peppershore.connection.messages.rollouts import EvidenceTold

Authorize = Callable[[str, Message], str]
"""Maps a peer's identity (a URI) and a message to the reason for refusal, or ""."""

SESSION_TAGS = frozenset(range(1, 20))
CONSENSUS_TAGS = frozenset(range(70, 90))
OPERATOR_TAGS = frozenset(range(90, 120))
CLAIM_REQUEST_TAGS = frozenset({120, 124, 125})
CLAIM_REPLY_TAGS = frozenset({121, 122, 123, 126})
CALL_TAGS = frozenset(range(140, 160))
CRASH_TAGS = frozenset(range(160, 170))
QUOTA_REQUEST_TAG, QUOTA_REPLY_TAG = 170, 171
QUOTA_PEER_TAGS = frozenset({172, 173})
GROUP_TAGS = CONSENSUS_TAGS | QUOTA_PEER_TAGS
"""Tags of the messages exchanged only between the replicas of one group."""

SENDER_TAGS: dict[str, frozenset[int]] = {
    "control": frozenset({51, 52, 54, QUOTA_REPLY_TAG}) | GROUP_TAGS | OPERATOR_TAGS,
    "relay": frozenset({21, 22, 25, 41, 42, 43, 44, 45, 46, 47, 50, 53, 55, 56})
    | CRASH_TAGS
    | {QUOTA_REQUEST_TAG, QUOTA_REPLY_TAG},
    "node": frozenset({20, 23, 24, 26, 28, 40, 46, 160, QUOTA_REQUEST_TAG})
    | CLAIM_REQUEST_TAGS
    | CALL_TAGS,
    "claims": frozenset({92, 98, 101}) | CONSENSUS_TAGS | CLAIM_REPLY_TAGS,
    "operator": OPERATOR_TAGS,
}
"""Tags of the messages that each role may send, besides ``SESSION_TAGS``."""


def authorizer(own: PeerIdentity) -> Authorize:
    """Return the authorization check of a process whose certificate names ``own``.

    A peer of another cluster may send nothing, even if the same certificate authority
    issued its certificate. Consensus messages are accepted only from a peer of the same
    role, so that a claims replica never votes in the control group.
    """

    def authorize(uri: str, message: Message) -> str:
        parsed = parse_identity(uri)
        if isinstance(parsed, Failure):
            return f"the certificate's identity {parsed.failure().reason}"
        return _refusal(own, parsed.unwrap(), message)

    return authorize


def allow_all(uri: str, message: Message) -> str:
    """Allow every message. Used for links without TLS."""
    del uri, message
    return ""


def _refusal(own: PeerIdentity, peer: PeerIdentity, message: Message) -> str:
    if peer.cluster != own.cluster:
        return f"the peer is of cluster {peer.cluster!r}, not {own.cluster!r}"
    tag = int(message.__struct_config__.tag or 0)
    if tag not in SESSION_TAGS | SENDER_TAGS[peer.role]:
        return f"a {peer.role} may not send {type(message).__name__}"
    if tag in GROUP_TAGS and peer.role != own.role:
        return f"a {peer.role} has no vote in a group of {own.role} replicas"
    return _identity_mismatch(peer, message)


def _identity_mismatch(peer: PeerIdentity, message: Message) -> str:
    for claimed, own, what in _asserted_identities(peer, message):
        if claimed != own:
            return f"{what} {claimed!r} is not the certificate's {own!r}"
    return ""


def _asserted_identities(
    peer: PeerIdentity, message: Message
) -> Iterable[tuple[str, str, str]]:
    if isinstance(message, CallLinkHello):
        yield message.cluster, peer.cluster, "the cluster"
        yield message.node, peer.name, "the node"
    if isinstance(message, NodeHello):
        yield message.cluster, peer.cluster, "the cluster"
        yield message.node, peer.name, "the node"
        yield message.scope.service, peer.service, "the service"
        yield message.scope.zone, peer.zone, "the zone"
    if isinstance(message, EndpointAnnounced):
        yield message.endpoint.node, peer.name, "the node"
        yield message.endpoint.service, peer.service, "the service"
    if isinstance(message, EvidenceTold):
        yield message.evidence.node, peer.name, "the node"
        yield message.evidence.service, peer.service, "the service"
    if isinstance(message, FollowRequest | RelayHello):
        yield message.cluster, peer.cluster, "the cluster"
    if isinstance(message, FollowRequest | RelayHello | ProgressReported):
        yield message.relay, peer.name, "the relay"
