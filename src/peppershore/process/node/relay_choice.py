"""The order in which a node tries relays, and the waits between attempts.

Relays are ordered by rendezvous hashing, those of the node's zone first. A relay that
failed is avoided for a while. If all are avoided, the one whose avoidance ends first is
tried.
"""

from __future__ import annotations

from peppershore.process.randomness import Randomness
from peppershore.process.rendezvous import rank_relays
from peppershore.process.settings import NodeSettings, PeerRelay

BACKOFF_BASE_SECONDS = 0.1
AVOID_SECONDS = 10.0
"""How long a relay that failed or became stale is avoided."""


class RelayChoice:
    """Order and recent failures of the relays for one node."""

    def __init__(self, settings: NodeSettings) -> None:
        """Rank the relays named in ``settings``, for the node of these settings."""
        self._settings = settings
        self._ceiling_seconds = settings.reconnect_milliseconds / 1_000
        self._seeds = settings.relays
        self._listed: tuple[PeerRelay, ...] = ()
        self._ranked = self._rank()
        self._avoid_until: dict[str, float] = {}
        self._failures = 0

    def use_seeds(self, seeds: tuple[PeerRelay, ...]) -> None:
        """Replace the relays named in the settings."""
        self._seeds = seeds
        self._ranked = self._rank()

    def use_listed(self, listed: tuple[PeerRelay, ...]) -> None:
        """Use the relays that a relay has listed; they rank above those of the settings."""
        self._listed = listed
        self._ranked = self._rank()

    def is_in_own_zone(self, name: str) -> bool:
        """Return whether a relay is known to be in the node's zone."""
        zone = self._settings.zone
        return any(each.name == name and each.zone == zone for each in self._ranked)

    def next_relay(
        self, now: float, excluding: str = "", *, other_zones_first: bool = False
    ) -> PeerRelay | None:
        """Return the relay to try now, but not ``excluding``; None if there is no other.

        With ``other_zones_first``, relays of the node's own zone come last: what cut one
        relay off from its quorum has often cut off its whole zone.
        """
        others = [relay for relay in self._ranked if relay.name != excluding]
        if not others:
            return None
        if other_zones_first:
            others.sort(key=lambda relay: relay.zone == self._settings.zone)
        for relay in others:
            if self._avoid_until.get(relay.name, 0.0) <= now:
                return relay
        return min(others, key=lambda relay: self._avoid_until[relay.name])

    def better_than(self, name: str, now: float) -> PeerRelay | None:
        """Return the best relay above ``name`` that is not avoided; None without one."""
        for relay in self._ranked:
            if relay.name == name:
                return None
            if self._avoid_until.get(relay.name, 0.0) <= now:
                return relay
        return None

    def has_untried(self, now: float, excluding: str) -> bool:
        """Return whether any relay other than ``excluding`` is not being avoided."""
        return any(
            self._avoid_until.get(relay.name, 0.0) <= now
            for relay in self._ranked
            if relay.name != excluding
        )

    def ranks_above(self, name: str, other: str) -> bool:
        """Return whether ``name`` ranks above ``other``, regardless of recent failures."""
        names = [relay.name for relay in self._ranked]
        if name not in names:
            return False
        return other not in names or names.index(name) < names.index(other)

    def failed(self, name: str, now: float) -> None:
        """Record a failure of a relay, which is then avoided for a while."""
        self._failures += 1
        self._avoid_until[name] = now + AVOID_SECONDS

    def succeeded(self, name: str) -> None:
        """Reset the failure count and stop avoiding a relay that has answered."""
        self._failures = 0
        self._avoid_until.pop(name, None)

    def wait_seconds(self, randomness: Randomness) -> float:
        """Return the back-off in seconds before the next attempt, with full jitter."""
        return randomness.backoff_seconds(
            self._failures, BACKOFF_BASE_SECONDS, self._ceiling_seconds
        )

    def _rank(self) -> tuple[PeerRelay, ...]:
        """Return the listed relays by rank, then those of the settings not among them."""
        settings = self._settings
        known = {relay.address for relay in self._listed}
        seeds = [seed for seed in self._seeds if seed.address not in known]
        return (
            *rank_relays(settings.node, settings.zone, self._listed),
            *rank_relays(settings.node, settings.zone, seeds),
        )
