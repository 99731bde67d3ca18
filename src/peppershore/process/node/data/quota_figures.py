"""How many calls of tenants with a limit were granted and refused at one node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

MOST_TENANTS = 100
"""Tenants that are told apart, those that were counted first; a page stays readable and
its series bound, however many tenants there are or come and go."""

OTHER_TENANTS = "(others)"
"""Stands for the rest; no tenant can be named so."""

GRANTED = "granted"


class QuotaFigures:
    """Counts since the start of one node's process."""

    def __init__(self) -> None:
        """Begin without calls."""
        self._tenants: set[str] = set()
        self._calls: Counter[tuple[str, str]] = Counter()

    def decided(self, tenant: str, outcome: str) -> None:
        """Count a decision: granted, or the reason of the refusal."""
        if tenant not in self._tenants:
            if len(self._tenants) >= MOST_TENANTS:
                tenant = OTHER_TENANTS
            else:
                self._tenants.add(tenant)
        self._calls[tenant, outcome] += 1

    def collect(self) -> Iterator[Metric]:
        """Give the counter, as the metrics library's registry asks for it."""
        from prometheus_client import core  # noqa: PLC0415

        counted = core.CounterMetricFamily(
            "peppershore_tenant_calls",
            "Calls counted by their tenant's limit, by how they were decided.",
            labels=["tenant", "outcome"],
        )
        for (tenant, outcome), calls in sorted(self._calls.items()):
            counted.add_metric([tenant, outcome], calls)
        yield counted
