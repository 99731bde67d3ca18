"""Weights by which tenants share a scarce resource.

One half is shared by configured weights, the other half by demand. The first half preserves
the shares of others when one tenant sends many times more calls. The second ensures that no
tenant, however large, is served less than about half as often as the average.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from peppershore.version.model import TenantResource

DEMAND_PART = 0.5
"""Part of the capacity that is shared by demand. It is also the minimum ratio of a tenant's
service rate to the average one, whatever the tenant's demand."""

DEMAND_SECONDS = 1.0
"""Time constant by which past demand decays: a share that is no longer used passes to the
others within a second."""

FORGET_BELOW = 0.05
"""Number of calls, after decay, below which a tenant counts as having no demand."""

SCALE_SECONDS = 4.0
"""After this long the sums of demand are rescaled, which bounds them and drops idle
tenants."""

MIN_WEIGHT = 0.01
"""Minimum weight relative to the mean, so that the smallest tenant still gets a turn."""


class ConfiguredWeights:
    """The tenants' configured weights: their rate limits as multiples of the mean one.

    A tenant without a limit gets the mean.
    """

    def __init__(self) -> None:
        """Start without tenants: all are equal."""
        self._tenants: Mapping[str, TenantResource] = {}
        self._mean = 0.0

    def use(self, tenants: Mapping[str, TenantResource]) -> None:
        """Apply the tenants of another configuration."""
        if tenants is self._tenants:
            return
        self._tenants = tenants
        rates = [each.rate_per_second for each in tenants.values() if each.rate_per_second]
        self._mean = sum(rates) / len(rates) if rates else 0.0

    def weight(self, tenant: str) -> float:
        """Return a tenant's weight; 1 is the mean."""
        held = self._tenants.get(tenant)
        if held is None or not held.rate_per_second:
            return 1.0
        return max(MIN_WEIGHT, held.rate_per_second / self._mean)


class ShareWeights:
    """The weights of the tenants that currently make calls to one service.

    Demand is summed with weights that grow over time, in place of decaying each sum, so
    that reading a weight costs only two look-ups.
    """

    __slots__ = (
        "_demand",
        "_configured",
        "_total_demand",
        "_weights",
        "_weights_sum",
        "_zero_at",
    )

    def __init__(self, configured: ConfiguredWeights) -> None:
        """Start without demand; ``configured`` holds the configured weights."""
        self._configured = configured
        self._demand: dict[str, float] = {}
        self._total_demand = 0.0
        self._weights: dict[str, float] = {}
        self._weights_sum = 0.0
        self._zero_at = 0.0

    def __len__(self) -> int:
        """Return the number of tenants with recent demand."""
        return len(self._demand)

    def asked(self, tenant: str, now: float) -> None:
        """Record a call on behalf of a tenant."""
        if now - self._zero_at > SCALE_SECONDS:
            self._scale_back(now)
        value = math.exp((now - self._zero_at) / DEMAND_SECONDS)
        if tenant not in self._demand:
            weight = self._configured.weight(tenant)
            self._weights[tenant] = weight
            self._weights_sum += weight
        self._demand[tenant] = self._demand.get(tenant, 0.0) + value
        self._total_demand += value

    def weight(self, tenant: str) -> float:
        """Return the share of the capacity that a tenant should have; above 0."""
        demand = self._demand.get(tenant)
        if demand is None:
            weight = self._configured.weight(tenant)
            return (1.0 - DEMAND_PART) * weight / (self._weights_sum + weight)
        by_demand = demand / self._total_demand
        by_weight = self._weights[tenant] / self._weights_sum
        return DEMAND_PART * by_demand + (1.0 - DEMAND_PART) * by_weight

    def _scale_back(self, now: float) -> None:
        """Decay the sums of demand, drop idle tenants and reload the configured weights."""
        decay = math.exp((self._zero_at - now) / DEMAND_SECONDS)
        self._zero_at = now
        scaled = {name: demand * decay for name, demand in self._demand.items()}
        self._demand = {
            name: demand for name, demand in scaled.items() if demand >= FORGET_BELOW
        }
        self._total_demand = sum(self._demand.values())
        self._weights = {name: self._configured.weight(name) for name in self._demand}
        self._weights_sum = sum(self._weights.values())
