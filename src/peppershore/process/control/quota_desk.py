"""How a control replica answers asks for calls: as the leader, or through it."""

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

MILLISECONDS = 1_000

NOTHING_READ: Version = -1


class QuotaDesk:
    """Takes asks of relays that follow this replica, and what other replicas forward.

    Only a leader whose lease proves that no other can lead yet grants anything; it holds
    its buckets for one leadership and begins the next with empty ones.
    """

    def __init__(self, replica: ControlCore, quotas: QuotaSettings | None) -> None:
        """Without ``quotas`` nothing is granted, and nothing is asked for either."""
        self._replica = replica
        self._quotas = quotas
        self._decider: Decider | None = None
        self._read: Version = NOTHING_READ
        self._names: dict[LinkId, str] = {}
        self._links: dict[str, LinkId] = {}

    # --- relays

    def followed(self, link: LinkId, relay: str) -> None:
        """A relay follows this replica on that link."""
        self._names[link] = relay

    def closed(self, link: LinkId) -> None:
        """A link is gone."""
        if self._names.pop(link, None) is not None:
            self._links = {asker: at for asker, at in self._links.items() if at != link}

    def take_client(self, link: LinkId, message: QuotaAsked | TenantUsageQuery) -> None:
        """Answer a relay or an operator."""
        if isinstance(message, QuotaAsked):
            self._asked(link, message)
        else:
            self._usage_asked(link)

    def _asked(self, link: LinkId, message: QuotaAsked) -> None:
        """Answer a relay, or let the leader do it."""
        asker = f"{self._names.get(link, link)}/{message.life}"
        replica = self._replica
        if replica.consensus.leadership is not None:
            replica.send(link, self._decide(asker, message.number, message))
            return
        leader = replica.consensus.leader
        if not leader or replica.peers.link_to(leader) is None:
            replica.send(link, _unknown(message.number))
            return
        self._links[asker] = link
        forwarded = QuotaForwarded(asker, message.number, message.asks)
        replica.send_to_peer(leader, forwarded)

    # --- the other replicas

    def take(self, peer: str, message: Message) -> None:
        """Take what another replica forwards or returns."""
        if isinstance(message, QuotaForwarded):
            granted = self._decide(message.relay, message.number, message)
            self._replica.send_to_peer(peer, QuotaReturned(message.relay, granted))
        elif isinstance(message, QuotaReturned):
            link = self._links.get(message.relay)
            if link is not None:
                self._replica.send(link, message.granted)

    # --- operators

    def _usage_asked(self, link: LinkId) -> None:
        """Tell an operator how tenants use their limits, or who knows."""
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
        """Tell of limits that began and ended to refuse calls."""
        if self._decider is None:
            return
        for change in self._decider.limit_changes(self._replica.now):
            self._replica.report(_notice(change, self._decider.limit_of(change.tenant)))

    # --- leadership

    def leadership_gained(self) -> None:
        """Begin with empty buckets: the former leader may have granted all of its own."""
        if self._quotas is None:
            return
        replica = self._replica
        self._decider = Decider(self._quotas, replica.consensus.term, replica.now)
        self._read = NOTHING_READ
        self.tree_changed()

    def leadership_lost(self) -> None:
        """Another may grant now."""
        self._decider = None

    def tree_changed(self) -> None:
        """Go by the limits of the newest committed tree at once."""
        tree = self._replica.state.tree
        if self._decider is None or tree.version == self._read:
            return
        self._read = tree.version
        self._decider.use_limits(tenant_limits(tree), self._replica.now)

    def _decide(
        self, asker: str, number: int, message: QuotaAsked | QuotaForwarded
    ) -> QuotaGranted:
        replica = self._replica
        leadership = replica.consensus.leadership
        if self._decider is None or leadership is None:
            return _unknown(number)
        if not leadership.announced or not leadership.lease_valid(replica.now):
            return _unknown(number)
        return self._decider.answer(asker, number, message.asks, replica.now)


def _notice(change: LimitChange, limit: Limit) -> Notice:
    if isinstance(change, LimitBegan):
        return notices.TenantLimitBegan(change.tenant, limit.rate, limit.burst)
    return notices.TenantLimitEnded(
        change.tenant,
        int(change.seconds * MILLISECONDS),
        change.granted,
        change.refused,
    )


def _unknown(number: int) -> QuotaGranted:
    return QuotaGranted(number, (), 0, is_known=False)
