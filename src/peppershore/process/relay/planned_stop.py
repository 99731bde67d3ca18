"""Planned stop of a relay: redirect its nodes in small batches, then exit."""

from __future__ import annotations

from peppershore.connection.messages.session import Goodbye
from peppershore.process.commands import Command, SendMessage
from peppershore.process.events import LinkId

STOP_TIMER = "relay.stop"
TURN_SECONDS = 0.05
SPREAD_SECONDS = 2.0
"""All nodes are told to move within this time, regardless of their number."""
BOUND_SECONDS = 10.0
"""After this time the relay exits, even if sessions are still open."""
STOPPING = "stopping"


class PlannedStop:
    """Tracks the nodes that have not been told to move yet."""

    def __init__(self, links: list[LinkId], now: float) -> None:
        """Begin the stop; ``links`` are the open sessions."""
        self._untold = links
        self._turn_size = max(1, round(len(links) * TURN_SECONDS / SPREAD_SECONDS))
        self._ends_at = now + BOUND_SECONDS

    def turn(self) -> list[Command]:
        """Send a goodbye to the next batch of nodes."""
        told = self._untold[: self._turn_size]
        del self._untold[: self._turn_size]
        return [SendMessage(link, Goodbye(STOPPING)) for link in told]

    def is_over(self, open_sessions: int, now: float) -> bool:
        """Return whether the relay may exit."""
        return open_sessions == 0 or now >= self._ends_at
