"""Which claims replica a client turns to, and when it may try one again.

A replica that refused a connection, closed it or went silent is left alone for a
time that grows with each failure (exponential backoff with full jitter).  A
hint at the leader is followed unless it points at such a replica: followers
name a dead leader until they have elected another.
"""

from __future__ import annotations

import msgspec

from peppershore.process.randomness import Randomness

BACKOFF_BASE_SECONDS = 0.4
BACKOFF_CEILING_SECONDS = 2.0
SHORTEST_BACKOFF_SECONDS = 0.2
PAUSE_BASE_SECONDS = 0.05
PAUSE_CEILING_SECONDS = 0.4
"""Pause before another replica is asked; it doubles with each round of all replicas
in which none led, as in an election or without a quorum."""

FAILURE_MEMORY_SECONDS = 10.0
"""A failure so long ago says nothing about a replica any more."""


class _Health(msgspec.Struct):
    failures: int = 0
    failed_at: float = 0.0
    due: float = 0.0


class ReplicaChoice:
    """The replicas of one group, the one in use, and what is known of each."""

    def __init__(self, addresses: tuple[str, ...], randomness: Randomness) -> None:
        """Begin with the first address; ``randomness`` spreads the waits."""
        assert addresses, "a claims client needs at least one replica"
        self._addresses = addresses
        self._randomness = randomness
        self._current = 0
        self._redirects = 0
        self._health = [_Health() for _ in addresses]

    @property
    def address(self) -> str:
        """The replica in use or tried next."""
        return self._addresses[self._current]

    @property
    def looking_for_leader(self) -> bool:
        """Whether more than one replica said in a row that it doesn't lead."""
        return self._redirects > 1

    @property
    def pause_seconds(self) -> float:
        """Time before the next replica is asked, whatever became of it earlier."""
        rounds = self._redirects // len(self._addresses)
        return min(PAUSE_CEILING_SECONDS, PAUSE_BASE_SECONDS * 2.0 ** min(rounds, 10))

    def group_answered(self) -> None:
        """The replica in use leads, and a quorum follows it."""
        self._redirects = 0

    def answered(self) -> None:
        """The replica in use said something: it lives."""
        self._health[self._current].failures = 0

    def failed(self, now: float) -> None:
        """The replica in use can't be used: back off from it, go to the next."""
        health = self._health[self._current]
        if now - health.failed_at > FAILURE_MEMORY_SECONDS:
            health.failures = 0
        wait = self._randomness.backoff_seconds(
            health.failures, BACKOFF_BASE_SECONDS, BACKOFF_CEILING_SECONDS
        )
        health.failures += 1
        health.failed_at = now
        health.due = now + max(wait, SHORTEST_BACKOFF_SECONDS)
        self._move_on(now)

    def redirected(self, leader: str, now: float) -> None:
        """The replica in use doesn't lead; follow its hint unless that one fails."""
        self._redirects += 1
        if leader in self._addresses:
            position = self._addresses.index(leader)
            if position != self._current and self._wait_of(position, now) == 0.0:
                self._current = position
                return
        self._move_on(now)

    def wait_seconds(self, now: float) -> float:
        """Time before the replica chosen may be tried."""
        return self._wait_of(self._current, now)

    def all_failing(self, now: float) -> bool:
        """Whether every replica failed lately and none has answered since."""
        return all(
            health.failures > 0 and now - health.failed_at <= FAILURE_MEMORY_SECONDS
            for health in self._health
        )

    def _move_on(self, now: float) -> None:
        """Choose the next replica in turn, or the one whose wait is over first."""
        count = len(self._addresses)
        others = [(self._current + step) % count for step in range(1, count + 1)]
        self._current = min(others, key=lambda position: self._wait_of(position, now))

    def _wait_of(self, position: int, now: float) -> float:
        health = self._health[position]
        if health.failures == 0:
            return 0.0
        return max(0.0, health.due - now)
