"""Causes of late answers from the log lines of both nodes; the pace shown in a trace."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
from click.testing import CliRunner
from tests.command.test_log_commands import SERVED, STORY, written

from peppershore.command.main import main
from peppershore.process.node.data.call_story import CallStep

ANSWERED = msgspec.structs.replace(STORY, outcome="answered", reason="", status=200)
RAN = msgspec.structs.replace(SERVED, outcome="answered", reason="", status=200)


def _lines(name: str, took: int, ran: int, waited: int, pace: int) -> list[str]:
    story = msgspec.structs.replace(ANSWERED, request_id=name, milliseconds=took)
    served = msgspec.structs.replace(
        RAN,
        request_id=name,
        milliseconds=ran,
        waited_milliseconds=waited,
        pace_percent=pace,
    )
    return [written("e1", story, took), written("k1", served, took)]


def _found(tmp_path: Path, lines: list[str]) -> dict[str, object]:
    file = tmp_path / "all.log"
    file.write_text("\n".join(lines))
    shown = CliRunner().invoke(
        main, ["logs", "late", str(file), "--beyond", "700", "--json"]
    )
    assert shown.exit_code == 0, shown.output
    found: dict[str, object] = json.loads(shown.output)
    return found


def test_each_late_answer_has_its_cause(tmp_path: Path) -> None:
    lines = [
        *_lines("r-1", 100, 90, 0, 100),
        *_lines("r-2", 1_000, 950, 600, 250),
        *_lines("r-3", 1_000, 950, 10, 250),
        *_lines("r-4", 1_000, 950, 10, 110),
        *_lines("r-5", 1_000, 200, 10, 110),
        *_lines("r-6", 1_000, 950, 0, 0)[:1],
    ]
    found = _found(tmp_path, lines)
    assert (found["answered"], found["late"]) == (6, 5)
    causes = found["by_cause"]
    assert isinstance(causes, list)
    assert {each["example"]: each["cause"] for each in causes} == {
        "r-2": "waited for a slot",
        "r-3": "slow machine",
        "r-4": "ran long",
        "r-5": "on its way, or at another back end before",
        "r-6": "no line of the back end's node",
    }


def test_trace_shows_the_pace_used_to_choose_a_node(tmp_path: Path) -> None:
    step = CallStep(
        1,
        "sent",
        "k1",
        pace_percent=250,
        pace_age_milliseconds=80,
        pace_source="told",
    )
    story = msgspec.structs.replace(ANSWERED, steps=(step,))
    served = msgspec.structs.replace(RAN, waited_milliseconds=3, pace_percent=240)
    file = tmp_path / "all.log"
    file.write_text("\n".join([written("e1", story, 60), written("k1", served, 50)]))
    output = CliRunner().invoke(main, ["trace", "r-17", str(file)]).output
    assert "pace 250 % 80 ms ago (told)" in output
    assert "waited_milliseconds 3, pace_percent 240" in output
