"""Log lines are JSON objects with stable event names; metrics count the events."""

from __future__ import annotations

import json
import logging
import subprocess
import sys
from typing import ClassVar

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from peppershore.process.commands import Notice
from peppershore.process.logging import (
    LEVELS,
    JsonLineFormatter,
    LogIdentity,
    event_name,
    notice_level,
)
from peppershore.process.metrics import ProcessMetrics
from peppershore.process.public_value import public_value
from peppershore.process.settings import LOG_LEVELS

IDENTITY = LogIdentity("relay", "relay-1")
PROGRAM = """
import logging, warnings
from typing import ClassVar
from peppershore.process.commands import Notice
from peppershore.process.logging import LogIdentity, configure_logging, write_notice

class NodeConnected(Notice, frozen=True):
    node: str
    version: int

class LoudEvent(Notice, frozen=True):
    level: ClassVar[str] = "error"

class QuietEvent(Notice, frozen=True):
    level: ClassVar[str] = "debug"

configure_logging(LogIdentity("relay", "relay-1"), "info")
write_notice(NodeConnected("kassa-1", 7))
write_notice(QuietEvent())
write_notice(LoudEvent())
logging.getLogger("asyncio").warning("slow %s", "callback")
warnings.warn("careful")
try:
    int("x")
except ValueError:
    logging.exception("failed")
"""


class NodeHTTPLost(Notice, frozen=True):
    level: ClassVar[str] = "warning"
    node: str
    role: str
    data: object = None


def line_of(notice: Notice) -> dict[str, object]:
    name = event_name(type(notice))
    record = logging.LogRecord("absl", logging.INFO, "f", 1, name, None, None)
    record.peppershore_fields = notice
    line: dict[str, object] = json.loads(JsonLineFormatter(IDENTITY).format(record))
    return line


def test_process_writes_one_json_object_a_line() -> None:
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    lines = [json.loads(line) for line in done.stderr.splitlines()]
    assert [line["event"] for line in lines] == [
        "node_connected",
        "loud_event",
        "library_message",
        "library_message",
        "library_message",
    ]
    assert [line["level"] for line in lines] == [
        "info",
        "error",
        "warning",
        "warning",
        "error",
    ]
    assert all((line["role"], line["process"]) == ("relay", "relay-1") for line in lines)
    assert (lines[0]["node"], lines[0]["version"]) == ("kassa-1", 7)
    assert lines[4]["exception"] == "ValueError"
    assert lines[4]["frames"]


def test_event_names_and_levels_come_from_the_class() -> None:
    assert event_name(NodeHTTPLost) == "node_httplost"
    assert notice_level(NodeHTTPLost("n", "r")) == logging.WARNING


def test_fields_never_replace_those_of_the_process() -> None:
    line = line_of(NodeHTTPLost(node="kassa-1", role="of the notice"))
    assert line["role"] == "relay"
    assert line["role_"] == "of the notice"


values = st.recursive(
    st.one_of(st.none(), st.integers(), st.text(), st.binary(), st.floats(), st.booleans()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.tuples(inner),
        st.dictionaries(st.one_of(st.text(), st.integers()), inner, max_size=3),
        st.builds(lambda value: NodeHTTPLost("n", "r", value), inner),
    ),
    max_leaves=8,
)


@given(values)
def test_any_field_makes_a_line(value: object) -> None:
    assert line_of(NodeHTTPLost("n", "r", value))["event"] == "node_httplost"
    msgspec.json.encode(public_value(value))


def test_notices_are_counted_by_event() -> None:
    metrics = ProcessMetrics(IDENTITY)
    metrics.gauge("version", "Newest version held.", lambda: 12.0)
    for _ in range(3):
        metrics.notice(NodeHTTPLost("n", "r"))
    page = metrics.render().decode()
    assert 'peppershore_events_total{event="node_httplost"} 3.0' in page
    assert 'peppershore_process_information{process="relay-1",role="relay"} 1.0' in page
    assert "peppershore_version 12.0" in page


def test_every_level_that_settings_allow_can_be_configured() -> None:
    assert tuple(LEVELS) == LOG_LEVELS
