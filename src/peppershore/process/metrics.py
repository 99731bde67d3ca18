"""Metrics of one process in the Prometheus text format, through its client library.

Every process exports the number of notices by event, its role and name, the seconds since
its start, and the gauges and sources that its shell adds. Counts are plain numbers and
gauges are read at each scrape, so that a core holds no metric objects and a process that
is never scraped does not load the library.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Protocol

import msgspec

from peppershore.process.commands import Notice
from peppershore.process.logging import LogIdentity, event_name, write_notice

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
NAMESPACE = "peppershore"


class MetricSource(Protocol):
    """An object that exports metrics of its own."""

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics of this object."""


class _Gauge(msgspec.Struct, frozen=True):
    name: str
    meaning: str
    read: Callable[[], float]


class ProcessMetrics:
    """Metrics registry and notice sink of one process."""

    def __init__(self, identity: LogIdentity) -> None:
        """Start the uptime at 0; ``identity`` labels the process information metric."""
        self._identity = identity
        self._started = time.monotonic()
        self._created = time.time()
        self._events: Counter[str] = Counter()
        self._gauges: list[_Gauge] = []
        self._sources: list[MetricSource] = []
        self.gauge("uptime_seconds", "Seconds since the process started.", self._uptime)

    def notice(self, notice: Notice) -> None:
        """Count a notice and write its log line; can be used as a ``NoticeSink``."""
        self._events[event_name(type(notice))] += 1
        write_notice(notice)

    def gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add the gauge ``peppershore_<name>`` with the help text ``meaning``.

        ``read`` returns its value and is called at each scrape.
        """
        self._gauges.append(_Gauge(f"{NAMESPACE}_{name}", meaning, read))

    def add_source(self, source: MetricSource) -> None:
        """Export the metrics of ``source`` too, together with those of the process."""
        self._sources.append(source)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest  # noqa: PLC0415

        registry = CollectorRegistry()
        for source in (self, *self._sources):
            registry.register(source)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics; called by the registry of the client library."""
        from prometheus_client import core  # noqa: PLC0415

        event_counts = core.CounterMetricFamily(
            f"{NAMESPACE}_events", "Log events by name.", labels=["event"]
        )
        for event, count in sorted(self._events.items()):
            event_counts.add_metric([event], count, created=self._created)
        yield event_counts
        information = core.GaugeMetricFamily(
            f"{NAMESPACE}_process_information",
            "Always 1; the labels say which process this is.",
            labels=["role", "process"],
        )
        information.add_metric([self._identity.role, self._identity.process], 1)
        yield information
        for gauge in self._gauges:
            yield core.GaugeMetricFamily(gauge.name, gauge.meaning, value=gauge.read())

    def _uptime(self) -> float:
        return time.monotonic() - self._started
