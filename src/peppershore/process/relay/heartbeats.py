"""Heartbeats to nodes, spread over the period, and nodes that fell silent.

A period is cut into slots and each session has a turn in one of them, so that a
relay with thousands of sessions never sends to all of them at once.
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
"""A node that says nothing for this many periods is gone."""


class Heartbeats:
    """Whose turn it is, and what they are told."""

    def __init__(
        self,
        period_seconds: float,
        freshness: Callable[[NodeSession, float | None], Freshness],
    ) -> None:
        """Tell each session its ``freshness`` once a period."""
        self.bytes_sent = 0
        self._period_seconds = period_seconds
        self._freshness = freshness
        self._slots: list[dict[LinkId, NodeSession]] = [{} for _ in range(SLOTS)]
        self._slot = 0

    @property
    def slot_seconds(self) -> float:
        """Time between two turns."""
        return self._period_seconds / SLOTS

    def add(self, session: NodeSession) -> None:
        """Give a session its slot."""
        self._slots[_slot_of(session)][session.link] = session

    def remove(self, session: NodeSession) -> None:
        """Take a session out."""
        self._slots[_slot_of(session)].pop(session.link, None)

    def next_slot(self, now: float) -> tuple[list[NodeSession], list[NodeSession]]:
        """Give the sessions whose turn it is: those alive, and those silent."""
        self._slot = (self._slot + 1) % SLOTS
        silent_before = now - SILENT_PERIODS * self._period_seconds
        alive: list[NodeSession] = []
        silent: list[NodeSession] = []
        for session in self._slots[self._slot].values():
            (silent if session.last_heard < silent_before else alive).append(session)
        return alive, silent

    def tell(
        self, sessions: list[NodeSession], confirmed_at: float | None
    ) -> list[Command]:
        """Send each of these sessions its heartbeat, by its own clock."""
        out: list[Command] = []
        for session in sessions:
            payload = encode_message(self._freshness(session, confirmed_at))
            self.bytes_sent += len(payload)
            out.append(SendEncoded(session.link, payload))
        return out


def _slot_of(session: NodeSession) -> int:
    return (session.link // 2) % SLOTS
