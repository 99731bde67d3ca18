"""Needs of other nodes' back ends, as their local nodes reported them with answers.

What a node knows binds the node itself, whatever it hears later by other ways: once an
answer of an incarnation said that it is leaving, this node sends it no new call, and it
tells the back end's local node, which may have restarted and forgotten.
"""

from __future__ import annotations

import math

import msgspec

from peppershore.connection.messages.calls import NO_RATE_LIMIT, BackEndNeed

MAX_LEFT = 4
"""Number of incarnations that left which are remembered for each back end."""

MAX_BACK_ENDS = 10_000
"""Number of back ends remembered; one that is gone may come back under its node's name."""

UNIDENTIFIED_SECONDS = 30.0
"""A back end whose incarnations have no name is avoided for this long after an answer said
that it is leaving: nothing but a call shows that another one has taken its place."""


class _Known(msgspec.Struct):
    """What is known of one node's back end.

    ``left_incarnation`` is that of the endpoint in use when it said that it is leaving, at
    ``left_at`` (monotonic seconds); the endpoint is used again after ``avoided_until``.
    """

    need: BackEndNeed | None = None
    left: tuple[str, ...] = ()
    left_incarnation: int | None = None
    left_at: float = -math.inf
    avoided_until: float = -math.inf


class KnownNeeds:
    """Needs by the name of the node beside the back end."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_node: dict[str, _Known] = {}

    def heard(
        self, node: str, incarnation: int, need: BackEndNeed | None, now: float
    ) -> bool:
        """Record the need reported with an answer; None if the back end has none.

        ``incarnation`` is that of the endpoint in use. Return whether it is now known to
        be leaving and was not before.
        """
        known = self._by_node.get(node)
        if known is None:
            if need is None:
                return False
            known = self._add(node)
        known.need = need
        if need is None and not known.left:
            del self._by_node[node]
        if need is None or not need.is_leaving or known.left_incarnation == incarnation:
            return False
        self._note_leaving(known, need.life, incarnation, now)
        return True

    def left_at(self, node: str, incarnation: int, now: float) -> float | None:
        """Return when an answer said that the endpoint is leaving; None if it may be used.

        A later incarnation of the endpoint may be used: it may be another back end. If it
        is the same one beside a restarted node, that node is told of it with the call.
        """
        known = self._by_node.get(node)
        if known is None or known.left_incarnation != incarnation:
            return None
        return known.left_at if now < known.avoided_until else None

    def need(self, node: str) -> BackEndNeed | None:
        """Return the last reported need of a node's back end, if it has one."""
        known = self._by_node.get(node)
        return None if known is None else known.need

    def left(self, node: str) -> tuple[str, ...]:
        """Return the names of incarnations beside a node that said they are leaving."""
        known = self._by_node.get(node)
        return () if known is None else known.left

    def is_limited(self, node: str) -> bool:
        """Report whether the back end has a rate limit, by the last report."""
        need = self.need(node)
        return need is not None and need.calls_per_1000_seconds > NO_RATE_LIMIT

    def _add(self, node: str) -> _Known:
        while len(self._by_node) >= MAX_BACK_ENDS:
            del self._by_node[next(iter(self._by_node))]
        known = self._by_node[node] = _Known()
        return known

    def _note_leaving(self, known: _Known, life: str, incarnation: int, now: float) -> None:
        known.left_incarnation = incarnation
        known.left_at = now
        known.avoided_until = math.inf if life else now + UNIDENTIFIED_SECONDS
        if life and life not in known.left:
            known.left = (*known.left, life)[-MAX_LEFT:]
