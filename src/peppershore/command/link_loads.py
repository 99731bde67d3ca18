"""Load of network links by kind of message, from the log lines of processes."""

from __future__ import annotations

from collections import defaultdict

import msgspec

from peppershore.command.log_files import LogLine

LINK_EVENT = "link_traffic"
BYTES_PER_MEGABIT = 125_000
MILLISECONDS = 1_000
DIRECTIONS = ("sent", "received")


class KindLoad(msgspec.Struct, frozen=True):
    """Traffic of one kind of message in one direction.

    ``bytes_a_second`` and ``share`` are means over processes and time. ``worst_share`` is
    the highest share of one process within the interval of one log line. Shares are
    fractions of the links' rate, 0 if the rate is unknown.
    """

    direction: str
    kind: str
    bytes_a_second: int
    share: float
    worst_share: float


class BusyLink(msgspec.Struct, frozen=True):
    """One interval of one process; ``time`` is its end in Unix milliseconds."""

    time: int
    process: str
    direction: str
    share: float
    kind: str
    kind_share: float
    round_trip_milliseconds: int


class LinkLoads(msgspec.Struct, frozen=True):
    """Number of log lines read, load by kind, and all intervals, busiest first."""

    lines: int
    by_kind: tuple[KindLoad, ...]
    busiest: tuple[BusyLink, ...]


class _Interval(msgspec.Struct):
    """Fields of one log line, which covers one interval of one process."""

    milliseconds: int
    link_megabits: float
    sent: dict[str, int]
    received: dict[str, int]
    round_trip_milliseconds: int = 0

    def share(self, octets: float) -> float:
        """Return ``octets`` as a fraction of the link's capacity in the interval."""
        capacity = self.link_megabits * BYTES_PER_MEGABIT * self.milliseconds / MILLISECONDS
        return octets / capacity if capacity > 0.0 else 0.0

    def octets(self, direction: str) -> dict[str, int]:
        """Return the number of bytes by kind of message."""
        return self.sent if direction == "sent" else self.received


def link_loads(lines: list[LogLine], role: str = "node") -> LinkLoads:
    """Return the load of the links of all processes of one role."""
    read: list[tuple[LogLine, _Interval]] = []
    for line in lines:
        if line.event == LINK_EVENT and line.role == role:
            read.append((line, msgspec.convert(line.fields, _Interval)))
    intervals = [interval for _, interval in read]
    busiest = [
        _busy_link(line, interval, direction)
        for line, interval in read
        for direction in DIRECTIONS
    ]
    busiest.sort(key=lambda busy: busy.share, reverse=True)
    by_kind = [load for direction in DIRECTIONS for load in _by_kind(intervals, direction)]
    return LinkLoads(len(read), tuple(by_kind), tuple(busiest))


def _by_kind(intervals: list[_Interval], direction: str) -> list[KindLoad]:
    octets: defaultdict[str, int] = defaultdict(int)
    worst: defaultdict[str, float] = defaultdict(float)
    for interval in intervals:
        for kind, count in interval.octets(direction).items():
            octets[kind] += count
            worst[kind] = max(worst[kind], interval.share(count))
    seconds = sum(interval.milliseconds for interval in intervals) / MILLISECONDS
    capacity = sum(
        interval.link_megabits * BYTES_PER_MEGABIT * interval.milliseconds / MILLISECONDS
        for interval in intervals
    )
    return [
        KindLoad(
            direction=direction,
            kind=kind,
            bytes_a_second=round(count / seconds),
            share=count / capacity if capacity > 0.0 else 0.0,
            worst_share=worst[kind],
        )
        for kind, count in sorted(octets.items(), key=lambda item: -item[1])
    ]


def _busy_link(line: LogLine, interval: _Interval, direction: str) -> BusyLink:
    octets = interval.octets(direction)
    kind = max(octets, key=lambda name: octets[name], default="")
    return BusyLink(
        time=line.time,
        process=line.process,
        direction=direction,
        share=interval.share(sum(octets.values())),
        kind=kind,
        kind_share=interval.share(octets.get(kind, 0)),
        round_trip_milliseconds=interval.round_trip_milliseconds,
    )
