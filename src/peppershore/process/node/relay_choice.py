"""Which relay a node uses: rendezvous order, what failed lately, and waits.

The node's own zone goes first.  A relay that failed is avoided for a while; if
all are avoided, the one whose time ends first is tried.
"""

from __future__ import annotations

from peppershore.process.randomness import Randomness
from peppershore.process.rendezvous import rank_relays
from peppershore.process.settings import NodeSettings, PeerRelay

BACKOFF_BASE_SECONDS = 0.1
AVOID_SECONDS = 10.0
"""How long a relay that failed or went stale is passed over."""


class RelayChoice:
    """The order of relays for one node."""

    def __init__(self, settings: NodeSettings) -> None:
        """Rank the relays of the settings."""
        self._settings = settings
        self._ceiling_seconds = settings.reconnect_milliseconds / 1_000
        self._seeds = settings.relays
        self._listed: tuple[PeerRelay, ...] = ()
        self._ranked = self._rank()
        self._avoid_until: dict[str, float] = {}
        self._failures = 0

    def use_seeds(self, seeds: tuple[PeerRelay, ...]) -> None:
        """The settings name other relays to begin with."""
        self._seeds = seeds
        self._ranked = self._rank()

    def use_listed(self, listed: tuple[PeerRelay, ...]) -> None:
        """A relay told of the relays there are; the seeds come after them."""
        self._listed = listed
        self._ranked = self._rank()

    def is_in_own_zone(self, name: str) -> bool:
        """Whether a relay is known to be in the node's zone."""
        zone = self._settings.zone
        return any(each.name == name and each.zone == zone for each in self._ranked)

    def next_relay(
        self, now: float, besides: str = "", *, elsewhere: bool = False
    ) -> PeerRelay | None:
        """Give the relay to try now; None if there is none besides one.

        ``elsewhere``: other zones go first, for what cut one relay off from its quorum
        has often cut off all of its zone.
        """
        others = [relay for relay in self._ranked if relay.name != besides]
        if not others:
            return None
        if elsewhere:
            others.sort(key=lambda relay: relay.zone == self._settings.zone)
        for relay in others:
            if self._avoid_until.get(relay.name, 0.0) <= now:
                return relay
        return min(others, key=lambda relay: self._avoid_until[relay.name])

    def better_than(self, name: str, now: float) -> PeerRelay | None:
        """Give a relay that ranks above the one in use and is not avoided."""
        for relay in self._ranked:
            if relay.name == name:
                return None
            if self._avoid_until.get(relay.name, 0.0) <= now:
                return relay
        return None

    def has_untried(self, now: float, besides: str) -> bool:
        """Tell whether any relay besides one did not fail lately."""
        return any(
            self._avoid_until.get(relay.name, 0.0) <= now
            for relay in self._ranked
            if relay.name != besides
        )

    def ranks_above(self, name: str, other: str) -> bool:
        """Tell whether one relay goes before another while both are well."""
        names = [relay.name for relay in self._ranked]
        if name not in names:
            return False
        return other not in names or names.index(name) < names.index(other)

    def failed(self, name: str, now: float) -> None:
        """Pass a relay over for a while."""
        self._failures += 1
        self._avoid_until[name] = now + AVOID_SECONDS

    def succeeded(self, name: str) -> None:
        """Forget failures once a relay answers."""
        self._failures = 0
        self._avoid_until.pop(name, None)

    def wait_seconds(self, randomness: Randomness) -> float:
        """Give the wait before the next attempt, with full jitter."""
        return randomness.backoff_seconds(
            self._failures, BACKOFF_BASE_SECONDS, self._ceiling_seconds
        )

    def _rank(self) -> tuple[PeerRelay, ...]:
        """Rank the relays listed, then seeds that are not among them."""
        settings = self._settings
        known = {relay.address for relay in self._listed}
        seeds = [seed for seed in self._seeds if seed.address not in known]
        return (
            *rank_relays(settings.node, settings.zone, self._listed),
            *rank_relays(settings.node, settings.zone, seeds),
        )
