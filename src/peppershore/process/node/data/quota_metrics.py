"""Metrics of the calls of tenants with a rate limit: granted and refused, at one node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

MAX_LABELLED_TENANTS = 100
"""Number of tenants with a label of their own: those that were counted first. It keeps the
metrics page readable and its series bounded, however many tenants there are or come and
go."""

OTHER_TENANTS = "(others)"
"""Label of all other tenants; no tenant can have this name."""

GRANTED = "granted"


class QuotaMetrics:
    """Counters since the start of one node's process."""

    def __init__(self) -> None:
        """Start all counters at zero."""
        self._tenants: set[str] = set()
        self._calls: Counter[tuple[str, str]] = Counter()

    def decided(self, tenant: str, outcome: str) -> None:
        """Count a decision; ``outcome`` is "granted" or the reason of the refusal."""
        if tenant not in self._tenants:
            if len(self._tenants) >= MAX_LABELLED_TENANTS:
                tenant = OTHER_TENANTS
            else:
                self._tenants.add(tenant)
        self._calls[tenant, outcome] += 1

    def collect(self) -> Iterator[Metric]:
        """Yield the counter, as the registry of the metrics library expects it."""
        from prometheus_client import core  # noqa: PLC0415

        counted = core.CounterMetricFamily(
            "peppershore_tenant_calls",
            "Calls counted by their tenant's limit, by how they were decided.",
            labels=["tenant", "outcome"],
        )
        for (tenant, outcome), calls in sorted(self._calls.items()):
            counted.add_metric([tenant, outcome], calls)
        yield counted
