"""Choice of the claims replica to connect to, and back-off after failures.

A replica that refused a connection, closed it or stopped answering is not tried for a time
that grows with each failure (exponential back-off with full jitter). A replica's hint at
the leader is followed unless it names a failed replica, as followers name a dead leader
until they have elected another.
"""

from __future__ import annotations

import msgspec

from peppershore.process.randomness import Randomness

BACKOFF_BASE_SECONDS = 0.4
BACKOFF_CEILING_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 0.2
PAUSE_BASE_SECONDS = 0.05
PAUSE_CEILING_SECONDS = 0.4
"""Maximum wait before another replica is tried. The wait starts at ``PAUSE_BASE_SECONDS``
and doubles with each round over all replicas in which none was the leader, as during an
election or without a quorum."""

FAILURE_MEMORY_SECONDS = 10.0
"""Time after which an earlier failure of a replica is ignored."""


class _Health(msgspec.Struct):
    failures: int = 0
    failed_at: float = 0.0
    due: float = 0.0


class ReplicaChoice:
    """The replicas of one group, the one in use, and the failures of each."""

    def __init__(self, addresses: tuple[str, ...], randomness: Randomness) -> None:
        """Start with the first address; ``randomness`` randomizes the back-off."""
        assert addresses, "a claims client needs at least one replica"
        self._addresses = addresses
        self._randomness = randomness
        self._current = 0
        self._redirects = 0
        self._health = [_Health() for _ in addresses]

    @property
    def address(self) -> str:
        """Address of the replica in use or to be tried next."""
        return self._addresses[self._current]

    @property
    def looking_for_leader(self) -> bool:
        """Whether more than one replica in a row answered that it is not the leader."""
        return self._redirects > 1

    @property
    def pause_seconds(self) -> float:
        """Wait in seconds before the next replica, regardless of its own failures."""
        rounds = self._redirects // len(self._addresses)
        return min(PAUSE_CEILING_SECONDS, PAUSE_BASE_SECONDS * 2.0 ** min(rounds, 10))

    def group_answered(self) -> None:
        """Record that the replica in use is the leader and has a quorum."""
        self._redirects = 0

    def answered(self) -> None:
        """Record a message from the replica in use, which clears its failures."""
        self._health[self._current].failures = 0

    def failed(self, now: float) -> None:
        """Record a failure of the replica in use; back off from it and choose another."""
        health = self._health[self._current]
        if now - health.failed_at > FAILURE_MEMORY_SECONDS:
            health.failures = 0
        wait = self._randomness.backoff_seconds(
            health.failures, BACKOFF_BASE_SECONDS, BACKOFF_CEILING_SECONDS
        )
        health.failures += 1
        health.failed_at = now
        health.due = now + max(wait, MIN_BACKOFF_SECONDS)
        self._choose_next(now)

    def redirected(self, leader: str, now: float) -> None:
        """Choose another replica, as the one in use is not the leader.

        Its hint ``leader`` is followed unless that replica is being backed off from.
        """
        self._redirects += 1
        if leader in self._addresses:
            position = self._addresses.index(leader)
            if position != self._current and self._wait_of(position, now) == 0.0:
                self._current = position
                return
        self._choose_next(now)

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until the chosen replica may be tried."""
        return self._wait_of(self._current, now)

    def all_failing(self, now: float) -> bool:
        """Return whether every replica failed recently and has not answered since."""
        return all(
            health.failures > 0 and now - health.failed_at <= FAILURE_MEMORY_SECONDS
            for health in self._health
        )

    def _choose_next(self, now: float) -> None:
        """Choose the replica with the shortest wait; if equal, the next in the list."""
        count = len(self._addresses)
        others = [(self._current + step) % count for step in range(1, count + 1)]
        self._current = min(others, key=lambda position: self._wait_of(position, now))

    def _wait_of(self, position: int, now: float) -> float:
        health = self._health[position]
        if health.failures == 0:
            return 0.0
        return max(0.0, health.due - now)
