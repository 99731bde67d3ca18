"""A watch shows each change once: relays, lagging nodes, and what delays a version."""

from __future__ import annotations

import msgspec

from peppershore.command.watch_output import WatchLines
from peppershore.command.watching import WatchStep
from peppershore.connection.messages.operators import RelayStatus, StatusAnswered
from peppershore.connection.messages.relay import LaggingNode

LAGGING = LaggingNode("kassa-1", "kassa", "pasila", 6, "version 7 was sent")
RELAY = RelayStatus("r1", "pasila", 7, 6, 2, (LAGGING,), 100, 20)
STATUS = StatusAnswered("refund", "c1", "c1", 7, 6, (), (RELAY,), ())


def new_lines(lines: WatchLines, status: StatusAnswered) -> list[str]:
    return [line.split("ms  ")[1] for line in lines.new_lines(WatchStep(5, status))]


def changed(relay: RelayStatus, **values: object) -> StatusAnswered:
    return msgspec.structs.replace(STATUS, relays=(relay,), **values)


def test_shows_each_change_once() -> None:
    lines = WatchLines(7)
    assert new_lines(lines, STATUS) == [
        "in force 6 of 7",
        "r1 (pasila): its nodes are at 6 or above",
        "  kassa-1 holds 6: version 7 was sent",
    ]
    assert new_lines(lines, STATUS) == []
    done = msgspec.structs.replace(RELAY, in_force=7, lagging=())
    assert new_lines(lines, changed(done, in_force=7)) == [
        "in force 7 of 7",
        "r1 (pasila): all its 2 nodes hold 7",
        "  kassa-1 lags no more",
    ]


def test_names_the_relays_that_delay_a_version() -> None:
    lines = WatchLines(7)
    new_lines(lines, STATUS)
    for relay, text in (
        (msgspec.structs.replace(RELAY, settled=False), "started a moment ago"),
        (msgspec.structs.replace(RELAY, report_age_milliseconds=11_000), "no report"),
        (msgspec.structs.replace(RELAY, version=5), "the relay is at 5"),
    ):
        (line,) = new_lines(lines, changed(relay))
        assert text in line
    (line,) = new_lines(
        lines, msgspec.structs.replace(STATUS, relays=(), relays_awaited=("r9",))
    )[:1]
    assert line.startswith("r9: heard by other relays")


def test_follows_the_newest_version_of_each_answer() -> None:
    lines = WatchLines()
    assert new_lines(lines, STATUS)[0] == "in force 6 of 7"
    newer = msgspec.structs.replace(STATUS, version=9, in_force=7)
    assert new_lines(lines, newer)[0] == "in force 7 of 9"
