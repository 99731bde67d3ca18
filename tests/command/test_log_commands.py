"""``peppershore trace`` and ``peppershore logs`` on log lines of processes."""

from __future__ import annotations

import json
import logging
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from peppershore.command.exit_codes import ExitCode
from peppershore.command.main import main
from peppershore.process.commands import Notice
from peppershore.process.control.notices import EditAccepted, ReleaseJudged
from peppershore.process.link_report import LinkTraffic
from peppershore.process.logging import JsonLineFormatter, LogIdentity, event_name
from peppershore.process.node.data.call_story import CallStep, CallStory, ServedStory
from peppershore.process.node.data.notices import OverLimit
from peppershore.process.node.notices import RelayChosen, RelayLeft, VersionApplied
from peppershore.process.relay.notices import TreeAdvanced

STORY = CallStory(
    request_id="r-17",
    service="kassa",
    route="pay",
    target="kassa",
    version=12,
    configuration_age_milliseconds=340,
    outcome="not-run",
    reason="no-free-slot",
    status=503,
    milliseconds=60,
    steps=(
        CallStep(1, "sent", "k1", in_flight=2, load=7, load_age_milliseconds=90),
        CallStep(9, "refused", "k1", "no-free-slot", retry_after_milliseconds=400),
    ),
)
SERVED = ServedStory(
    request_id="r-17",
    service="kassa",
    instance="life-3",
    outcome="not-run",
    reason="no-free-slot",
    status=503,
    milliseconds=0,
    running=8,
    waiting=4,
    slots=8,
)


def written(process: str, notice: Notice, at_milliseconds: int) -> str:
    record = logging.LogRecord("x", logging.INFO, "", 0, "", (), None)
    record.msg = event_name(type(notice))
    record.created = 1_000 + at_milliseconds / 1_000
    record.peppershore_fields = notice
    return JsonLineFormatter(LogIdentity("node", process)).format(record)


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    edge = tmp_path / "e1.log"
    edge.write_text(f"ready\nhost-4 | {written('e1', STORY, 100)}\nnot a line {{\n")
    owner = tmp_path / "k1.log"
    owner.write_text(written("k1", SERVED, 45) + "\n")
    return [str(edge), str(owner)]


def test_trace_joins_the_lines_of_both_nodes_in_order(files: list[str]) -> None:
    found = CliRunner().invoke(main, ["trace", "r-17", *files, "--json"])
    assert found.exit_code == 0
    lines = json.loads(found.output)["lines"]
    assert [line["process"] for line in lines] == ["k1", "e1"]
    assert lines[1]["steps"][0]["load"] == 7


def test_trace_shows_each_step_with_its_inputs(files: list[str]) -> None:
    output = CliRunner().invoke(main, ["trace", "r-17", *files]).output
    rows = [row.split() for row in output.splitlines()[1:]]
    assert [row[:3] for row in rows] == [
        ["1", "e1", "sent"],
        ["5", "k1", "served_story"],
        ["9", "e1", "refused"],
        ["60", "e1", "call_story"],
    ]
    assert "others told 7 90 ms ago" in output
    assert "come back after 400 ms" in output
    assert "running 8, waiting 4, slots 8" in output
    assert "version 12, configuration_age_milliseconds 340" in output


def test_trace_of_an_unknown_request_says_what_was_read(files: list[str]) -> None:
    found = CliRunner().invoke(main, ["trace", "r-18", *files])
    assert found.exit_code == ExitCode.NOT_FOUND
    assert "2 log lines were read, 2 of others" in found.output


def test_summary_counts_ends_and_events(files: list[str]) -> None:
    found = CliRunner().invoke(main, ["logs", "summary", *files, "--json"])
    assert found.exit_code == 0
    told = json.loads(found.output)
    assert (told["lines"], told["foreign"]) == (2, 2)
    assert told["calls"] == [
        {
            "calls": 1,
            "service": "kassa",
            "route": "pay",
            "outcome": "not-run",
            "reason": "no-free-slot",
            "example": "r-17",
        }
    ]
    assert {each["event"] for each in told["events"]} == {"call_story", "served_story"}


def test_summary_of_nothing_is_empty(tmp_path: Path) -> None:
    empty = tmp_path / "empty.log"
    empty.write_text("")
    found = CliRunner().invoke(main, ["logs", "summary", str(empty)])
    assert found.exit_code == 0
    assert found.output.startswith("0 lines over 0.0 s")


def lost(
    request_id: str, reason: str, outcome: str = "not-run", status: int = 503
) -> CallStory:
    return msgspec.structs.replace(
        STORY, request_id=request_id, reason=reason, outcome=outcome, status=status
    )


@pytest.mark.parametrize(
    ("reason", "expected"),
    [
        ("link-full", "no room on a link"),
        ("over-limit", "tenant over its limit"),
        ("limit-not-known", "nobody grants calls"),
    ],
)
def test_causes_name_the_exhausted_resource(
    tmp_path: Path, reason: str, expected: str
) -> None:
    file = tmp_path / "nodes.log"
    file.write_text(written("e1", lost("r-1", reason), 5))
    shown = CliRunner().invoke(main, ["logs", "causes", str(file), "--json"])
    (cause,) = json.loads(shown.output)["by_cause"]
    assert (cause["cause"], cause["reason"]) == (expected, reason)


def test_causes_show_versions_behind_a_401_and_count_unlogged_calls(
    tmp_path: Path,
) -> None:
    def refused(number: int, version: int, age: int, left_out: int = 0) -> str:
        story = msgspec.structs.replace(
            lost(f"r-{number}", "unknown-key", status=401),
            target="",
            version=version,
            configuration_age_milliseconds=age,
            lines_left_out=left_out,
        )
        return written("e1", story, number)

    file = tmp_path / "nodes.log"
    lines = [refused(1, 12, 40), refused(2, 14, 900, 30), refused(3, 13, 7)]
    file.write_text("\n".join(lines))
    shown = CliRunner().invoke(main, ["logs", "causes", str(file), "--json"])
    found = json.loads(shown.output)
    assert found["calls"] == 33
    assert found["by_cause"] == [
        {
            "calls": 33,
            "cause": "no key of a tenant",
            "target": "",
            "reason": "unknown-key",
            "example": "r-1",
            "lowest_version": 12,
            "highest_version": 14,
            "unconfirmed_milliseconds": 900,
        }
    ]
    assert [row[2] for row in found["by_second"]] == [33]
    table = CliRunner().invoke(main, ["logs", "causes", str(file)]).output
    assert "unknown-key  r-1         12            14          900" in table
    summary = CliRunner().invoke(main, ["logs", "summary", str(file), "--json"])
    assert json.loads(summary.output)["calls"][0]["calls"] == 33
    file.write_text("\n".join([*lines, refused(4, 9, -1)]))
    shown = CliRunner().invoke(main, ["logs", "causes", str(file), "--json"])
    (cause,) = json.loads(shown.output)["by_cause"]
    assert (cause["lowest_version"], cause["unconfirmed_milliseconds"]) == (9, -1)


def test_causes_of_failed_calls_by_the_lines_of_all_nodes(tmp_path: Path) -> None:
    free = msgspec.structs.replace(SERVED, request_id="other", running=3)
    lines = [
        written("e1", lost("r-1", "no-slot-in-time"), 100),
        written("k1", SERVED, 100),
        written("e1", lost("r-2", "no-slot-in-time"), 1_100),
        written("k2", free, 1_300),
        written("e2", lost("r-3", "no-configuration"), 2_000),
        written("e2", lost("r-4", "deadline-passed", "unknown", 504), 2_000),
        written("e2", lost("r-5", "owner-link-lost", "unknown", 502), 2_000),
        written("e2", lost("r-6", "", "answered", 500), 2_000),
        written("e2", lost("r-7", "", "answered", 200), 2_000),
    ]
    file = tmp_path / "all.log"
    file.write_text("\n".join(lines))
    shown = CliRunner().invoke(main, ["logs", "causes", str(file), "--json"])
    found = json.loads(shown.output)
    assert found["calls"] == 6
    assert {each["example"]: each["cause"] for each in found["by_cause"]} == {
        "r-1": "refused at capacity",
        "r-2": "refused with a slot free elsewhere",
        "r-3": "node without configuration",
        "r-4": "late by a long run",
        "r-5": "node or connection lost",
        "r-6": "back end failed",
    }
    assert found["by_second"][0] == [0, "refused at capacity", 1]
    assert sum(count for _, _, count in found["by_second"]) == 6
    assert found["by_node"][0][0] == "k1"
    table = CliRunner().invoke(main, ["logs", "causes", str(file)])
    assert "6 calls failed" in table.output


def test_causes_show_the_limit_that_decided_a_429(tmp_path: Path) -> None:
    refused = msgspec.structs.replace(
        lost("r-1", "over-limit", "not-run", 429), tenant="studio"
    )
    again = msgspec.structs.replace(refused, request_id="r-2")
    other = msgspec.structs.replace(refused, request_id="r-3", tenant="press")
    decided = OverLimit("studio", "over-limit", 40.0, 60.0, "used-up", 30, 900, 0)
    older = msgspec.structs.replace(decided, knowledge_age_milliseconds=45)
    lines = [
        written("e1", refused, 100),
        line("node", "e1", older, 100),
        written("e2", again, 200),
        line("node", "e2", decided, 200),
        written("e2", other, 300),
    ]
    file = tmp_path / "all.log"
    file.write_text("\n".join(lines))
    shown = CliRunner().invoke(main, ["logs", "causes", str(file), "--json"])
    found = json.loads(shown.output)
    assert {each["cause"] for each in found["by_cause"]} == {"tenant over its limit"}
    assert found["by_limit"][0] == {
        "calls": 2,
        "tenant": "studio",
        "reason": "over-limit",
        "rate_per_second": 40.0,
        "burst": 60.0,
        "knowledge": "used-up",
        "oldest_knowledge_milliseconds": 45,
        "example": "r-1",
    }
    press = found["by_limit"][1]
    assert (press["tenant"], press["calls"], press["knowledge"]) == ("press", 1, None)
    table = CliRunner().invoke(main, ["logs", "causes", str(file)])
    assert "used-up" in table.output


def line(role: str, process: str, notice: Notice, at_milliseconds: int) -> str:
    record = logging.LogRecord("x", logging.INFO, "", 0, "", (), None)
    record.msg = event_name(type(notice))
    record.created = 1_000 + at_milliseconds / 1_000
    record.peppershore_fields = notice
    return JsonLineFormatter(LogIdentity(role, process)).format(record)


def judged(release: int, outcome: str) -> ReleaseJudged:
    return ReleaseJudged("h1", release, release - 1, f"c{release}", outcome, "", 4)


VERSION_LINES = [
    line("node", "quick", VersionApplied(1, 5), 10),
    line("node", "behind", VersionApplied(1, 5), 10),
    line("node", "moving", VersionApplied(1, 5), 10),
    line("node", "silent", VersionApplied(1, 5), 10),
    line("node", "killed", VersionApplied(1, 5), 10),
    line("node", "quick", RelayChosen("10.0.0.1:77"), 20),
    line("node", "behind", RelayChosen("10.0.0.2:77"), 20),
    line("node", "moving", RelayChosen("10.0.0.2:77"), 20),
    line("node", "silent", RelayChosen("10.0.0.1:77"), 20),
    line("node", "killed", RelayChosen("10.0.0.1:77"), 20),
    line("hub", "10.0.0.1", EditAccepted(2, "c2", "", "10.0.0.1"), 100),
    line("hub", "10.0.0.1", TreeAdvanced(2, 1, 1), 101),
    line("node", "quick", VersionApplied(2, 5), 103),
    line("node", "moving", RelayLeft("10.0.0.2:77", "silent"), 150),
    line("hub", "10.0.0.3", judged(2, "undecided"), 105),
    line("hub", "10.0.0.3", judged(2, "taken"), 110),
    line("node", "killed", RelayLeft("10.0.0.1:77", "moved"), 200),
    line("node", "moving", RelayChosen("10.0.0.1:77"), 1_100),
    line("node", "moving", VersionApplied(2, 5), 1_120),
    line("hub", "10.0.0.2", TreeAdvanced(2, 1, 1), 3_000),
    line("node", "behind", VersionApplied(2, 5), 3_010),
    line("node", "silent", RelayLeft("10.0.0.1:77", "silent"), 4_110),
]


def test_versions_show_the_waits_of_nodes_and_their_causes(tmp_path: Path) -> None:
    log = tmp_path / "all.log"
    log.write_text("\n".join(VERSION_LINES) + "\n")
    shown = CliRunner().invoke(main, ["logs", "versions", str(log), "--json"])
    (version,) = json.loads(shown.output)["versions"]
    assert version["version"] == 2
    assert version["acknowledged_at"] == 1_000_110
    assert version["nodes"] == 4, "a node that exited before the bound does not count"
    assert version["half_milliseconds"] == 2_900
    assert version["last"]["node"] == "silent"
    late = {wait["node"]: wait for wait in version["late"]}
    assert set(late) == {"behind", "silent"}
    assert late["behind"]["relay_behind"] == 2_890
    assert late["behind"]["on_the_way"] == 10
    assert late["silent"]["used"] is False
    assert late["silent"]["milliseconds"] == 4_000


def test_versions_name_the_time_without_a_relay(tmp_path: Path) -> None:
    log = tmp_path / "all.log"
    log.write_text("\n".join(VERSION_LINES) + "\n")
    shown = CliRunner().invoke(
        main, ["logs", "versions", str(log), "--bound", "500", "--json"]
    )
    (version,) = json.loads(shown.output)["versions"]
    moving = next(wait for wait in version["late"] if wait["node"] == "moving")
    assert moving["milliseconds"] == 1_010
    assert moving["without_relay"] == 950
    assert moving["relay_behind"] == 40, "the relay that it left did not have the version"
    assert moving["on_the_way"] == 20, (
        "its new relay had the version before the acknowledgement"
    )


def test_versions_name_the_time_at_a_relay_that_a_node_left_later(tmp_path: Path) -> None:
    log = tmp_path / "all.log"
    moved = line("node", "behind", RelayChosen("10.0.0.1:77"), 2_510)
    used = line("node", "behind", VersionApplied(2, 5), 2_515)
    lines = [each for each in VERSION_LINES if '"behind"' not in each or "1000010" in each]
    lines += [line("node", "behind", RelayChosen("10.0.0.2:77"), 20), moved, used]
    log.write_text("\n".join(sorted(lines, key=lambda each: json.loads(each)["time"])))
    shown = CliRunner().invoke(main, ["logs", "versions", str(log), "--json"])
    (version,) = json.loads(shown.output)["versions"]
    late = next(wait for wait in version["late"] if wait["node"] == "behind")
    assert late["relay"] == "10.0.0.1:77"
    assert (late["relay_behind"], late["on_the_way"]) == (2_400, 5)


def test_versions_are_shown_as_tables(tmp_path: Path) -> None:
    log = tmp_path / "all.log"
    log.write_text("\n".join(VERSION_LINES) + "\n")
    shown = CliRunner().invoke(main, ["logs", "versions", str(log)])
    assert "1 versions, 2 waits beyond 2000 ms" in shown.output
    assert "relay behind" in shown.output


LINKS = (
    LinkTraffic(1_000, 1.0, 2, 90, {"bodies": 100_000, "call_started": 25_000}, {}),
    LinkTraffic(1_000, 1.0, 0, 0, {"bodies": 25_000}, {"callers": 12_500}),
)


@pytest.fixture
def link_file(tmp_path: Path) -> str:
    lines = [written("e1", line, 1_000 * at) for at, line in enumerate(LINKS, 1)]
    (tmp_path / "e1.log").write_text("\n".join(lines) + "\n")
    return str(tmp_path / "e1.log")


def test_logs_links_shows_traffic_by_kind_of_message(link_file: str) -> None:
    found = CliRunner().invoke(main, ["logs", "links", link_file, "--json"])
    assert found.exit_code == 0
    loads = json.loads(found.output)
    assert loads["lines"] == 2
    assert loads["by_kind"][0] == {
        "direction": "sent",
        "kind": "bodies",
        "bytes_a_second": 62_500,
        "share": 0.5,
        "worst_share": 0.8,
    }
    busiest = loads["busiest"][0]
    assert (busiest["share"], busiest["kind"]) == (1.0, "bodies")
    assert busiest["round_trip_milliseconds"] == 90


def test_logs_links_shows_people_shares_of_the_links_rate(link_file: str) -> None:
    output = CliRunner().invoke(main, ["logs", "links", link_file]).output
    rows = [row.split() for row in output.splitlines()]
    assert ["sent", "bodies", "62500", "50.0", "80.0"] in rows


def test_logs_links_without_such_lines_shows_nothing(files: list[str]) -> None:
    found = CliRunner().invoke(main, ["logs", "links", *files])
    assert found.exit_code == 0
    assert found.output.startswith("0 lines of links")
