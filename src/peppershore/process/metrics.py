"""Metrics of one process in the Prometheus text format, by its client library.

Every process has: notices counted by event and level, bytes sent and received
on internal links, seconds since start, and gauges that its shell adds.  Gauges
are read when the page is asked for, so that a core holds no metric objects.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from peppershore.process.commands import Notice
from peppershore.process.logging import LogIdentity, event_name, write_notice

METRICS_CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
NAMESPACE = "peppershore"


class ProcessMetrics:
    """The registry of one process; also its notice sink."""

    def __init__(self, identity: LogIdentity) -> None:
        """Start counting; ``identity`` labels the process's information metric."""
        self._registry = CollectorRegistry()
        self._started = time.monotonic()
        self._events = Counter(
            "events",
            "Log events by name.",
            ["event"],
            namespace=NAMESPACE,
            registry=self._registry,
        )
        information = Gauge(
            "process_information",
            "Always 1; the labels say which process this is.",
            ["role", "process"],
            namespace=NAMESPACE,
            registry=self._registry,
        )
        information.labels(identity.role, identity.process).set(1)
        self.gauge("uptime_seconds", "Seconds since the process started.", self._uptime)

    def notice(self, notice: Notice) -> None:
        """Count a notice and write its log line; a ``NoticeSink``."""
        self._events.labels(event_name(type(notice))).inc()
        write_notice(notice)

    def gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add ``peppershore_<name>``, read by ``read`` at each scrape."""
        metric = Gauge(name, meaning, namespace=NAMESPACE, registry=self._registry)
        metric.set_function(read)

    def render(self) -> bytes:
        """Give the page in the Prometheus text format."""
        return generate_latest(self._registry)

    def _uptime(self) -> float:
        return time.monotonic() - self._started
