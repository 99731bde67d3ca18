"""Answers requests for shares of tenants' limits, as the leader or through the leader.

A relay asks for a number of calls that its nodes may let through.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import (
    NotLeader,
    TenantUsageAnswered,
    TenantUsageQuery,
)
from peppershore.connection.messages.quotas import (
    QuotaAsked,
    QuotaForwarded,
    QuotaGranted,
    QuotaReturned,
)
from peppershore.process.commands import Notice
from peppershore.process.control import notices
from peppershore.process.events import LinkId
from peppershore.process.quotas.decider import Decider
from peppershore.process.quotas.limits import Limit, tenant_limits
from peppershore.process.quotas.usage import LimitBegan, LimitChange
from peppershore.process.settings import QuotaSettings
from peppershore.version.model import Version

if TYPE_CHECKING:
    from peppershore.process.control.core import ControlCore

MILLISECONDS_PER_SECOND = 1_000

NO_VERSION_READ: Version = -1


class QuotaService:
    """Handles quota requests of relays that follow this replica or another one.

    Only a leader grants calls, and only while its lease proves that no other replica can
    lead yet. It counts the calls still to be granted in a token bucket for each limit; each
    leadership starts with empty buckets.
    """

    def __init__(self, replica: ControlCore, quotas: QuotaSettings | None) -> None:
        """Start as a follower; without ``quotas`` the leader grants no calls."""
        self._replica = replica
        self._quotas = quotas
        self._decider: Decider | None = None
        self._limits_version: Version = NO_VERSION_READ
        self._relay_names: dict[LinkId, str] = {}
        self._requester_links: dict[str, LinkId] = {}

    # --- relays

    def relay_followed(self, link: LinkId, relay: str) -> None:
        """Store the name of the relay that follows this replica on that link."""
        self._relay_names[link] = relay

    def link_closed(self, link: LinkId) -> None:
        """Drop the relay and the requests of a closed link."""
        if self._relay_names.pop(link, None) is not None:
            self._requester_links = {
                requester: at
                for requester, at in self._requester_links.items()
                if at != link
            }

    def handle_client(self, link: LinkId, message: QuotaAsked | TenantUsageQuery) -> None:
        """Answer a relay's quota request or an operator's query of tenants' usage."""
        if isinstance(message, QuotaAsked):
            self._answer_request(link, message)
        else:
            self._answer_usage_query(link)

    def _answer_request(self, link: LinkId, message: QuotaAsked) -> None:
        """Answer a relay, or forward its request to the leader.

        Without a link to a leader the relay is sent a grant marked as unknown.
        """
        requester = f"{self._relay_names.get(link, link)}/{message.life}"
        replica = self._replica
        if replica.consensus.leadership is not None:
            replica.send(link, self._decide(requester, message.number, message))
            return
        leader = replica.consensus.leader
        if not leader or replica.peers.link_to(leader) is None:
            replica.send(link, _unknown_grant(message.number))
            return
        self._requester_links[requester] = link
        forwarded = QuotaForwarded(requester, message.number, message.asks)
        replica.send_to_peer(leader, forwarded)

    # --- the other replicas

    def handle_peer(self, peer: str, message: Message) -> None:
        """Handle a request or an answer that another replica forwards."""
        if isinstance(message, QuotaForwarded):
            granted = self._decide(message.relay, message.number, message)
            self._replica.send_to_peer(peer, QuotaReturned(message.relay, granted))
        elif isinstance(message, QuotaReturned):
            link = self._requester_links.get(message.relay)
            if link is not None:
                self._replica.send(link, message.granted)

    # --- operators

    def _answer_usage_query(self, link: LinkId) -> None:
        """Send an operator the tenants' usage of their limits, or the leader's address."""
        replica = self._replica
        if not replica.leads:
            replica.send(link, NotLeader(replica.leader_address))
            return
        decider, now = self._decider, replica.now
        if decider is None:
            answer = TenantUsageAnswered(replica.name, False, 0.0, ())
        else:
            age, usage = decider.age_seconds(now), decider.usage(now)
            answer = TenantUsageAnswered(replica.name, True, age, usage)
        replica.send(link, answer)

    def tick(self) -> None:
        """As leader, report tenants' limits that have begun or ceased to refuse calls."""
        if self._decider is None:
            return
        for change in self._decider.limit_changes(self._replica.now):
            self._replica.report(_notice(change, self._decider.limit_of(change.tenant)))

    # --- leadership

    def leadership_gained(self) -> None:
        """Start to grant calls, with empty token buckets.

        The former leader may have granted all that its buckets held.
        """
        if self._quotas is None:
            return
        replica = self._replica
        self._decider = Decider(self._quotas, replica.consensus.term, replica.now)
        self._limits_version = NO_VERSION_READ
        self.tree_changed()

    def leadership_lost(self) -> None:
        """Stop granting: another replica may grant from now on."""
        self._decider = None

    def tree_changed(self) -> None:
        """As leader, apply the tenants' limits of the newest committed tree at once."""
        tree = self._replica.state.tree
        if self._decider is None or tree.version == self._limits_version:
            return
        self._limits_version = tree.version
        self._decider.use_limits(tenant_limits(tree), self._replica.now)

    def _decide(
        self, requester: str, number: int, message: QuotaAsked | QuotaForwarded
    ) -> QuotaGranted:
        replica = self._replica
        leadership = replica.consensus.leadership
        if self._decider is None or leadership is None:
            return _unknown_grant(number)
        if not leadership.announced or not leadership.lease_valid(replica.now):
            return _unknown_grant(number)
        return self._decider.answer(requester, number, message.asks, replica.now)


def _notice(change: LimitChange, limit: Limit) -> Notice:
    if isinstance(change, LimitBegan):
        return notices.TenantLimitBegan(change.tenant, limit.rate, limit.burst)
    return notices.TenantLimitEnded(
        change.tenant,
        int(change.seconds * MILLISECONDS_PER_SECOND),
        change.granted,
        change.refused,
    )


def _unknown_grant(number: int) -> QuotaGranted:
    return QuotaGranted(number, (), 0, is_known=False)
