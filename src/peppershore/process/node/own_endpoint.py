"""The endpoint of the local back end, as its node announces it."""

from __future__ import annotations

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.endpoints.table import (
    STATE_GONE,
    STATE_LEAVING,
    STATE_WARMING,
)
from peppershore.process.node.back_end_reports import NO_BACK_END, BackEndView
from peppershore.process.settings import NodeSettings


class OwnEndpoint:
    """State of the local back end, with a sequence number that rises at each change."""

    def __init__(
        self, settings: NodeSettings, incarnation: int, owner_address: str
    ) -> None:
        """Start in state "warming".

        ``incarnation`` is above that of every earlier start of the node.
        ``owner_address`` is the address at which the node accepts calls of other nodes.
        """
        self.incarnation = incarnation
        self._settings = settings
        self._owner_address = owner_address
        self._sequence = 1
        self._state = STATE_WARMING
        self._view = NO_BACK_END

    @property
    def exists(self) -> bool:
        """Whether the node has a local back end; a node at the edge has none."""
        return bool(self._settings.backend)

    @property
    def current(self) -> Endpoint:
        """Endpoint of the local back end to announce to the relay."""
        settings = self._settings
        return Endpoint(
            node=settings.node,
            service=settings.service,
            zone=settings.zone,
            incarnation=self.incarnation,
            sequence=self._sequence,
            state=self._state,
            address=settings.backend,
            owner_address=self._owner_address,
            slots=self._view.slots or settings.slots,
            connections=settings.connections,
            warming_milliseconds=self._view.warming_milliseconds,
            version=self._view.version,
            born=self._view.born,
        )

    def change_state(self, state: str) -> bool:
        """Set a new state; return whether it changed.

        A leaving back end remains leaving until it is gone.
        """
        if state == self._state:
            return False
        if self._state == STATE_LEAVING and state != STATE_GONE:
            return False
        self._state = state
        self._sequence += 1
        return True

    def apply_view(self, view: BackEndView) -> bool:
        """Apply a reported state of the back end; return whether the endpoint changed.

        A new incarnation of the back end does not inherit state leaving.
        """
        before = self.current
        if view.life != self._view.life and self._view.instance:
            self.incarnation += 1
            self._state = view.state
        elif self._state != STATE_LEAVING or view.state == STATE_GONE:
            self._state = view.state
        self._view = view
        if self.current == before:
            return False
        self._sequence += 1
        return True

    def raise_incarnation_above(self, other: Endpoint) -> bool:
        """Raise the incarnation above that of ``other``, an endpoint with this node's name.

        Return whether that was needed. After a restart without stored state the
        incarnation can be lower than the one that other nodes remember, for example if
        the machine's clock was set back.
        """
        if (other.incarnation, other.sequence) < (self.incarnation, self._sequence):
            return False
        if other == self.current:
            return False
        self.incarnation = other.incarnation + 1
        return True
