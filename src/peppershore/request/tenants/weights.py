"""How much of what is short each tenant should have, against the others.

Half goes by what the tenants are configured to have, half by what they ask for.  The
first half keeps what others have when one sends many times more.  The second sees to it
that nobody is served less than about half as often as all, however large it is.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from peppershore.version.model import TenantResource

DEMAND_PART = 0.5
"""Part of the room that is shared by what tenants ask for: so many times as often as
all is the least that any of them is served, whatever it asks for."""

DEMAND_SECONDS = 1.0
"""What a tenant asked for counts less with time, by this decay: a share that is not used
any more goes to the others within a second."""

FORGET_BELOW = 0.05
"""Calls, after decay, below which a tenant counts as one that asks for nothing."""

SCALE_SECONDS = 4.0
"""Sums are scaled back after so long, which bounds them, and the idle are forgotten."""

MIN_WEIGHT = 0.01
"""Of the mean: the smallest of tenants still has a turn."""


class ConfiguredWeights:
    """The tenants' weights by configuration: their limits as multiples of the mean.

    A tenant without a limit counts as one of the mean.
    """

    def __init__(self) -> None:
        """Start without tenants: all are equal."""
        self._tenants: Mapping[str, TenantResource] = {}
        self._mean = 0.0

    def use(self, tenants: Mapping[str, TenantResource]) -> None:
        """Take the tenants of another configuration."""
        if tenants is self._tenants:
            return
        self._tenants = tenants
        rates = [each.rate_per_second for each in tenants.values() if each.rate_per_second]
        self._mean = sum(rates) / len(rates) if rates else 0.0

    def weight(self, tenant: str) -> float:
        """Give a tenant's weight; 1 is the mean."""
        held = self._tenants.get(tenant)
        if held is None or not held.rate_per_second:
            return 1.0
        return max(MIN_WEIGHT, held.rate_per_second / self._mean)


class ShareWeights:
    """The weights of the tenants who ask for calls of one service.

    What is asked for is summed with weights that grow by time, in place of a decay of
    each sum: to read a weight costs two look-ups.
    """

    __slots__ = ("_asked", "_configured", "_of_all", "_weights", "_weights_sum", "_zero_at")

    def __init__(self, configured: ConfiguredWeights) -> None:
        """Begin without tenants that ask."""
        self._configured = configured
        self._asked: dict[str, float] = {}
        self._of_all = 0.0
        self._weights: dict[str, float] = {}
        self._weights_sum = 0.0
        self._zero_at = 0.0

    def __len__(self) -> int:
        """Tenants that asked a moment ago."""
        return len(self._asked)

    def asked(self, tenant: str, now: float) -> None:
        """A call came on behalf of a tenant."""
        if now - self._zero_at > SCALE_SECONDS:
            self._scale_back(now)
        value = math.exp((now - self._zero_at) / DEMAND_SECONDS)
        if tenant not in self._asked:
            weight = self._configured.weight(tenant)
            self._weights[tenant] = weight
            self._weights_sum += weight
        self._asked[tenant] = self._asked.get(tenant, 0.0) + value
        self._of_all += value

    def weight(self, tenant: str) -> float:
        """Give the part of the room that a tenant should have; above 0."""
        asked = self._asked.get(tenant)
        if asked is None:
            weight = self._configured.weight(tenant)
            return (1.0 - DEMAND_PART) * weight / (self._weights_sum + weight)
        by_demand = asked / self._of_all
        by_weight = self._weights[tenant] / self._weights_sum
        return DEMAND_PART * by_demand + (1.0 - DEMAND_PART) * by_weight

    def _scale_back(self, now: float) -> None:
        """Let sums decay, forget who asks for nothing, take weights as they are now."""
        decay = math.exp((self._zero_at - now) / DEMAND_SECONDS)
        self._zero_at = now
        scaled = {name: asked * decay for name, asked in self._asked.items()}
        self._asked = {
            name: asked for name, asked in scaled.items() if asked >= FORGET_BELOW
        }
        self._of_all = sum(self._asked.values())
        self._weights = {name: self._configured.weight(name) for name in self._asked}
        self._weights_sum = sum(self._weights.values())
