"""Heartbeats to nodes, spread over the period, and detection of silent nodes.

The period is divided into slots and each session is assigned to one, so that a relay
with thousands of sessions never sends to all of them at once.
"""

from __future__ import annotations

from collections.abc import Callable

from peppershore.connection.codec import encode_message
from peppershore.connection.messages.node import Freshness
from peppershore.process.commands import Command, SendEncoded
from peppershore.process.events import LinkId
from peppershore.process.relay.session import NodeSession

SLOTS = 16
SILENT_PERIODS = 3
"""The session of a node that sends nothing for this many periods is closed."""


class Heartbeats:
    """Assigns sessions to heartbeat slots and encodes their heartbeats."""

    def __init__(
        self,
        period_seconds: float,
        freshness: Callable[[NodeSession, float | None], Freshness],
    ) -> None:
        """Start without sessions.

        Each session is sent the result of ``freshness`` once per ``period_seconds``.
        """
        self.bytes_sent = 0
        self._period_seconds = period_seconds
        self._freshness = freshness
        self._slots: list[dict[LinkId, NodeSession]] = [{} for _ in range(SLOTS)]
        self._slot = 0

    @property
    def slot_seconds(self) -> float:
        """Duration of one slot of the heartbeat period, in seconds."""
        return self._period_seconds / SLOTS

    def add(self, session: NodeSession) -> None:
        """Assign a session to a slot of the heartbeat period, by the id of its link."""
        self._slots[_slot_of(session)][session.link] = session

    def remove(self, session: NodeSession) -> None:
        """Remove a session, so that it is sent no more heartbeats."""
        self._slots[_slot_of(session)].pop(session.link, None)

    def next_slot(self, now: float) -> tuple[list[NodeSession], list[NodeSession]]:
        """Advance to the next slot of the period; return its live and silent sessions."""
        self._slot = (self._slot + 1) % SLOTS
        silent_before = now - SILENT_PERIODS * self._period_seconds
        alive: list[NodeSession] = []
        silent: list[NodeSession] = []
        for session in self._slots[self._slot].values():
            (silent if session.last_heard < silent_before else alive).append(session)
        return alive, silent

    def send_to(
        self, sessions: list[NodeSession], confirmed_at: float | None
    ) -> list[Command]:
        """Send each session its heartbeat, with times on the clock of its node."""
        out: list[Command] = []
        for session in sessions:
            payload = encode_message(self._freshness(session, confirmed_at))
            self.bytes_sent += len(payload)
            out.append(SendEncoded(session.link, payload))
        return out


def _slot_of(session: NodeSession) -> int:
    return (session.link // 2) % SLOTS
