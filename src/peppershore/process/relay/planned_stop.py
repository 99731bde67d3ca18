"""Planned stop of a relay: redirect its nodes in small batches, then exit."""

from __future__ import annotations

from peppershore.connection.messages.session import Goodbye
from peppershore.process.commands import Command, SendMessage
from peppershore.process.events import LinkId

STOP_TIMER = "relay.stop"
STOP_BATCH_SECONDS = 0.05
SPREAD_SECONDS = 2.0
"""All nodes are told to move within this time, regardless of their number."""
STOP_TIMEOUT_SECONDS = 10.0
"""After this time the relay exits, even if sessions are still open."""
STOPPING = "stopping"


class PlannedStop:
    """Tracks the nodes that have not been told to move yet."""

    def __init__(self, links: list[LinkId], now: float) -> None:
        """Begin the stop; ``links`` are the links of the open sessions."""
        self._remaining = links
        self._batch_size = max(1, round(len(links) * STOP_BATCH_SECONDS / SPREAD_SECONDS))
        self._ends_at = now + STOP_TIMEOUT_SECONDS

    def next_batch(self) -> list[Command]:
        """Return goodbyes for the next batch of nodes, which tell them to move."""
        batch = self._remaining[: self._batch_size]
        del self._remaining[: self._batch_size]
        return [SendMessage(link, Goodbye(STOPPING)) for link in batch]

    def is_over(self, open_sessions: int, now: float) -> bool:
        """Return whether the relay may exit."""
        return open_sessions == 0 or now >= self._ends_at
