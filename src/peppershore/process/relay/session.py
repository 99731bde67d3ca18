"""One node's session at a relay."""

from __future__ import annotations

from dataclasses import dataclass

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.events import LinkId
from peppershore.process.relay.node_clock import NodeClock
from peppershore.version.model import Digest, Scope, Version


@dataclass(slots=True)
class NodeSession:
    """What a relay knows of one connected node.

    ``version`` is in effect at the node and ``digest`` is what it holds, by its
    own last word; 0 after it refused an update, so that it is sent full state.
    Times are monotonic seconds of the relay.
    """

    link: LinkId
    node: str
    incarnation: int
    scope: Scope
    version: Version
    digest: Digest
    floor: Version
    hello_at: float
    last_heard: float
    clock: NodeClock | None
    """The node's clock by its last word; None while it can't be trusted."""
    needs_confirmation: bool
    """Holds nothing and has no floor: takes only what was confirmed after its hello."""
    outstanding_version: Version = 0
    """Version of the update sent and not yet answered; 0 when there is none."""
    current_told: Version = 0
    """Version up to which the node was last told that what it holds is right."""
    behind_since: Version = 0
    """First version whose change the node lacks; 0 when it lacks none."""
    answered: bool = False
    """The hello was answered by ``Current`` or ``UpdateOffered``."""
    endpoint: Endpoint | None = None
    """The back end as the node announced it last."""
    services_told: frozenset[str] | None = None
    """Services whose endpoints the node was told of; None while nobody knows."""
    is_leaving: bool = False
    """The node said that its back end is leaving: a planned stop."""
    is_vouched: bool = True
    """Whether the node was heard since this relay last went on after a pause."""

    @property
    def holds_nothing(self) -> bool:
        """Tell whether the node has no configuration at all."""
        return self.version == 0

    def confirmed_at(self, relay_time: float | None) -> int | None:
        """Give a time of the relay by the node's clock, if that is known."""
        return None if self.clock is None else self.clock.at(relay_time)

    @property
    def lowest_acceptable(self) -> Version:
        """The version below which nothing may be offered."""
        return max(self.version, self.floor)
