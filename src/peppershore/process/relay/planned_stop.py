"""A relay's planned stop: its nodes move away, a few at a time, then it ends."""

from __future__ import annotations

from peppershore.connection.messages.session import Goodbye
from peppershore.process.commands import Command, SendMessage
from peppershore.process.events import LinkId

STOP_TIMER = "relay.stop"
TURN_SECONDS = 0.05
SPREAD_SECONDS = 2.0
"""All nodes are told to move within this time, whatever their number."""
BOUND_SECONDS = 10.0
"""After this the relay ends, even with sessions open."""
STOPPING = "stopping"


class PlannedStop:
    """Who has yet to be told to move."""

    def __init__(self, links: list[LinkId], now: float) -> None:
        """Begin to stop with these sessions open."""
        self._untold = links
        self._turn_size = max(1, round(len(links) * TURN_SECONDS / SPREAD_SECONDS))
        self._ends_at = now + BOUND_SECONDS

    def turn(self) -> list[Command]:
        """Tell the next few nodes."""
        told = self._untold[: self._turn_size]
        del self._untold[: self._turn_size]
        return [SendMessage(link, Goodbye(STOPPING)) for link in told]

    def is_over(self, open_sessions: int, now: float) -> bool:
        """Tell whether the relay may end."""
        return open_sessions == 0 or now >= self._ends_at
