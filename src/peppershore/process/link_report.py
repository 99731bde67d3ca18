"""Traffic on the links of this process: metrics and a periodic log line."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, ClassVar

from peppershore.connection.codec import kind_name
from peppershore.connection.traffic import TRAFFIC, Tallies, Traffic
from peppershore.process.commands import Notice

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

MILLISECONDS = 1_000
Octets = dict[str, int]
"""Bytes by kind of message."""


class LinkTraffic(Notice, frozen=True):
    """Bytes by kind of message within the last ``milliseconds``.

    ``round_trip_milliseconds`` is the longest round trip of a request that the peer
    answered at once, 0 if there was none. It shows how long messages wait for the network
    links of both machines.
    """

    level: ClassVar[str] = "info"
    milliseconds: int
    link_megabits: float
    round_trips: int
    round_trip_milliseconds: int
    sent: Octets
    received: Octets


class LinkReporter:
    """Logs the traffic on all links at a fixed interval."""

    def __init__(
        self,
        link_megabits: float,
        interval_milliseconds: int,
        notice_sink: Callable[[Notice], None],
    ) -> None:
        """Report to ``notice_sink``; an interval of 0 turns reports off.

        ``link_megabits`` is the capacity of the machine's network link in megabits per
        second; it is only shown in the log line.
        """
        self._link_megabits = link_megabits
        self._interval_seconds = interval_milliseconds / MILLISECONDS
        self._notice_sink = notice_sink
        self._previous = (Octets(), Octets())
        self._interval_start = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the first interval between log lines; must run in the event loop."""
        if self._interval_seconds > 0.0:
            self._interval_start = asyncio.get_running_loop().time()
            self._previous = (
                _octets_by_kind(TRAFFIC.sent),
                _octets_by_kind(TRAFFIC.received),
            )
            self._schedule()

    def stop(self) -> None:
        """Stop the periodic log lines."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._interval_seconds, self._report)

    def _report(self) -> None:
        now = asyncio.get_running_loop().time()
        sent, received = _octets_by_kind(TRAFFIC.sent), _octets_by_kind(TRAFFIC.received)
        round_trips = TRAFFIC.take_round_trips()
        notice = LinkTraffic(
            milliseconds=round((now - self._interval_start) * MILLISECONDS),
            link_megabits=self._link_megabits,
            round_trips=round_trips.count,
            round_trip_milliseconds=round(round_trips.longest * MILLISECONDS),
            sent=_increase(self._previous[0], sent),
            received=_increase(self._previous[1], received),
        )
        self._previous = (sent, received)
        self._interval_start = now
        if notice.sent or notice.received:
            self._notice_sink(notice)
        self._schedule()


class TrafficFigures:
    """Metrics of the bytes on all links by direction and kind of message."""

    def __init__(self, traffic: Traffic = TRAFFIC) -> None:
        """Export the byte counts of ``traffic``."""
        self._traffic = traffic

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics; called by the registry of the client library."""
        from prometheus_client import core  # noqa: PLC0415

        byte_counts = core.CounterMetricFamily(
            "peppershore_link_kind_bytes",
            "Bytes on links by direction and kind of message.",
            labels=["direction", "kind"],
        )
        for direction, tallies in _directions(self._traffic):
            for kind, octets in sorted(_octets_by_kind(tallies).items()):
                byte_counts.add_metric([direction, kind], octets)
        yield byte_counts


def _directions(traffic: Traffic) -> tuple[tuple[str, Tallies], tuple[str, Tallies]]:
    return (("sent", traffic.sent), ("received", traffic.received))


def _octets_by_kind(tallies: Tallies) -> Octets:
    return {kind_name(kind): tally.octets for kind, tally in tallies.items()}


def _increase(before: Octets, now: Octets) -> Octets:
    increases = {kind: octets - before.get(kind, 0) for kind, octets in now.items()}
    return {kind: octets for kind, octets in increases.items() if octets}
