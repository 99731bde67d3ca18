"""The lines that docs/OPERATIONS.md shows are what processes write today."""

from __future__ import annotations

import asyncio
import json
import logging
import re
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from tests.operations_pages import walks

from peppershore.process.commands import Notice
from peppershore.process.logging import JsonLineFormatter, LogIdentity, event_name

PAGE = (Path(__file__).parents[2] / "docs" / "OPERATIONS.md").read_text()
BLOCK = re.compile(r"^```json\n(.*?)^```$", re.MULTILINE | re.DOTALL)
MEASURED = frozenset(
    {
        "time",
        "monotonic",
        "milliseconds",
        "at_milliseconds",
        "load_age_milliseconds",
        "waited_milliseconds",
        "configuration_age_milliseconds",
    }
)
"""Fields that differ from run to run; all others must be as on the page."""


def shown(request_id: str) -> list[dict[str, Any]]:
    lines = [
        json.loads(line) for block in BLOCK.findall(PAGE) for line in block.splitlines()
    ]
    return [line for line in lines if line["request_id"] == request_id]


def written(process: str, notices: tuple[Notice, ...]) -> list[dict[str, Any]]:
    formatter = JsonLineFormatter(LogIdentity("node", process))
    lines = []
    for notice in notices:
        record = logging.LogRecord("x", logging.INFO, "", 0, "", (), None)
        record.msg = event_name(type(notice))
        record.peppershore_fields = notice
        lines.append(json.loads(formatter.format(record)))
    return [line for line in lines if line.get("request_id")]


def fixed(value: Any) -> Any:
    """Leave out what is measured."""
    if isinstance(value, dict):
        return {name: fixed(held) for name, held in value.items() if name not in MEASURED}
    if isinstance(value, list):
        return [fixed(each) for each in value]
    return value


@pytest.mark.parametrize(
    ("play", "request_id"),
    [
        (walks.refused_under_load, walks.REFUSED_ID),
        (walks.lost_back_end, walks.LOST_ID),
        (walks.out_of_date_node, walks.STALE_ID),
        (walks.dropped_key, walks.KEY_ID),
    ],
)
def test_lines_of_the_walk(
    play: Callable[[], Coroutine[Any, Any, walks.Walk]], request_id: str
) -> None:
    walk = asyncio.run(play())
    found = written("e1", walk.edge) + written("k1", walk.owner)
    of_request = [fixed(line) for line in found if line["request_id"] == request_id]
    on_page = [fixed(line) for line in shown(request_id)]
    assert on_page
    for line in on_page:
        assert line in of_request


def test_age_on_the_page_is_older_than_the_bound_it_explains() -> None:
    ages = [line["configuration_age_milliseconds"] for line in shown(walks.STALE_ID)]
    assert ages
    assert all(age > 6_000 for age in ages)
