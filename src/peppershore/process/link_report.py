"""What went over the links of this process: metrics, and a line at each interval."""

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


class LinkTraffic(Notice, frozen=True):
    """Bytes by kind of message within the last ``milliseconds``.

    ``round_trip_milliseconds`` is the longest that an answer took which the other end
    gave at once, 0 without one: what a message waits for the links of both ends.
    """

    level: ClassVar[str] = "info"
    milliseconds: int
    link_megabits: float
    round_trips: int
    round_trip_milliseconds: int
    sent: Octets
    received: Octets


class LinkReporter:
    """Writes a line of the traffic at each interval."""

    def __init__(
        self,
        link_megabits: float,
        interval_milliseconds: int,
        notice_sink: Callable[[Notice], None],
    ) -> None:
        """Write nothing with an interval of 0; ``link_megabits`` is for the reader."""
        self._link_megabits = link_megabits
        self._seconds = interval_milliseconds / MILLISECONDS
        self._notice_sink = notice_sink
        self._before = (Octets(), Octets())
        self._at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin; must run on the loop."""
        if self._seconds > 0.0:
            self._at = asyncio.get_running_loop().time()
            self._before = (_octets(TRAFFIC.sent), _octets(TRAFFIC.received))
            self._later()

    def stop(self) -> None:
        """Write no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _later(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._seconds, self._report)

    def _report(self) -> None:
        now = asyncio.get_running_loop().time()
        sent, received = _octets(TRAFFIC.sent), _octets(TRAFFIC.received)
        round_trips = TRAFFIC.take_round_trips()
        line = LinkTraffic(
            milliseconds=round((now - self._at) * MILLISECONDS),
            link_megabits=self._link_megabits,
            round_trips=round_trips.count,
            round_trip_milliseconds=round(round_trips.longest * MILLISECONDS),
            sent=_growth(self._before[0], sent),
            received=_growth(self._before[1], received),
        )
        self._before = (sent, received)
        self._at = now
        if line.sent or line.received:
            self._notice_sink(line)
        self._later()


class TrafficFigures:
    """Metrics of the bytes on all links."""

    def __init__(self, traffic: Traffic = TRAFFIC) -> None:
        """Show ``traffic``."""
        self._traffic = traffic

    def collect(self) -> Iterator[Metric]:
        """Give the metrics, as the library's registry asks for them."""
        from prometheus_client import core  # noqa: PLC0415

        counted = core.CounterMetricFamily(
            "peppershore_link_kind_bytes",
            "Bytes on links by direction and kind of message.",
            labels=["direction", "kind"],
        )
        for direction, tallies in _directions(self._traffic):
            for kind, octets in sorted(_octets(tallies).items()):
                counted.add_metric([direction, kind], octets)
        yield counted


def _directions(traffic: Traffic) -> tuple[tuple[str, Tallies], tuple[str, Tallies]]:
    return (("sent", traffic.sent), ("received", traffic.received))


def _octets(tallies: Tallies) -> Octets:
    return {kind_name(kind): tally.octets for kind, tally in tallies.items()}


def _growth(before: Octets, now: Octets) -> Octets:
    grown = {kind: octets - before.get(kind, 0) for kind, octets in now.items()}
    return {kind: octets for kind, octets in grown.items() if octets}
