"""The reference page names every log event, metric and exit code, and no other."""

from __future__ import annotations

import importlib
import pkgutil
import re
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.acceptance.backend import call
from tests.acceptance.cluster import ZONE, Cluster

import peppershore
from peppershore.command.exit_codes import ExitCode
from peppershore.process.commands import Notice
from peppershore.process.logging import event_name

PAGES = Path(__file__).parents[2] / "docs" / "operations"
REFERENCE = (PAGES / "reference.md").read_text()
ALERTS = (PAGES / "alerts.md").read_text()
HELP = re.compile(r"^# HELP peppershore_(\w+) (.*)$", re.MULTILINE)
CREATED = "_created"


def rows(heading: str) -> list[tuple[str, ...]]:
    """Give the cells of the table below a heading, without its header."""
    section = REFERENCE.split(f"## {heading}\n")[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    return [tuple(cell.strip() for cell in line.strip("|").split(" | ")) for line in lines][
        2:
    ]


def notice_types(base: type[Notice] = Notice) -> Iterator[type[Notice]]:
    for found in base.__subclasses__():
        yield found
        yield from notice_types(found)


def every_notice() -> list[type[Notice]]:
    for module in pkgutil.walk_packages(peppershore.__path__, "peppershore."):
        importlib.import_module(module.name)
    kinds = set(notice_types())
    return [kind for kind in kinds if kind.__module__.startswith("peppershore.")]


def test_every_log_event_with_level_and_fields() -> None:
    expected = {
        (
            f"`{event_name(kind)}`",
            str(getattr(kind, "level", "info")),
            ", ".join(f"`{name}`" for name in kind.__struct_fields__) or "-",
        )
        for kind in every_notice()
    }
    listed = [row[:3] for row in rows("Log events")]
    assert set(listed) == expected
    assert [row[0] for row in listed] == sorted({row[0] for row in listed})
    assert all(row[3] for row in rows("Log events"))


def test_every_exit_code() -> None:
    expected = [(str(code.value), code.name.lower().replace("_", " ")) for code in ExitCode]
    assert [row[:2] for row in rows("Exit codes")] == expected


@pytest.fixture(scope="module")
def scraped(tmp_path_factory: pytest.TempPathFactory) -> Iterator[set[tuple[str, str]]]:
    """Give the (metric, role) pairs that processes of every role serve."""
    cluster = Cluster(tmp_path_factory.mktemp("metrics"), tls=True)
    try:
        cluster.start_replicas(1)
        cluster.start_claims()
        cluster.ok("zone", "set", ZONE, "uusimaa")
        cluster.start_relays(1)
        cluster.start_nodes("kassa", 1)
        yield {
            (name, member.role)
            for member in cluster.members()
            for name, _ in HELP.findall(call(member.admin_address, "/metrics").body)
            if not name.endswith(CREATED)
        }
    finally:
        cluster.stop()


def test_every_metric_with_its_roles(scraped: set[tuple[str, str]]) -> None:
    listed = {
        (name.strip("`").removeprefix("peppershore_"), role)
        for name, roles, _ in rows("Metrics")
        for role in roles.split(", ")
    }
    assert listed == scraped


def test_alerts_use_metrics_and_events_that_there_are(
    scraped: set[tuple[str, str]],
) -> None:
    used = set(re.findall(r"peppershore_(\w+)", ALERTS))
    assert used <= {name for name, _ in scraped}
    events = set(re.findall(r'event="(\w+)"', ALERTS))
    assert len(events) > 5
    assert events <= {event_name(kind) for kind in every_notice()}
