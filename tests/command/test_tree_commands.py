"""All commands for the tree, zones, secrets and history against a real replica."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from tests.acceptance.cluster import Cluster

from peppershore.command.exit_codes import ExitCode
from peppershore.command.main import main

PAY = "/kassa/*/pay"


TREE = f"""
cluster = "refund"
[zones.pasila]
region = "uusimaa"
[nodes."{PAY}"]
path_prefix = "/pay"
methods = ["POST", "PUT"]
"""


@pytest.fixture(autouse=True)
def tree(cluster: Cluster, tmp_path: Path) -> None:
    """Load the same tree for each test, as the tests share one replica."""
    file = tmp_path / "start.toml"
    file.write_text(TREE)
    cluster.ok("tree", "load", str(file))


def rows(output: str) -> list[list[str]]:
    """Return the cells of a table that a command printed."""
    return [line.split() for line in output.splitlines()]


def values(cluster: Cluster, path: str) -> dict[str, object]:
    found: dict[str, object] = cluster.ok("tree", "get", path, "--json").json["overrides"]
    return found


def test_set_unset_and_get(cluster: Cluster) -> None:
    cluster.ok("tree", "set", PAY, "timeout_milliseconds=700", "repeatable=no")
    assert values(cluster, PAY) == {
        "path_prefix": "/pay",
        "methods": ["POST", "PUT"],
        "timeout_milliseconds": 700,
        "repeatable": False,
    }
    cluster.ok("tree", "unset", PAY, "timeout_milliseconds", "repeatable")
    assert "timeout_milliseconds" not in values(cluster, PAY)
    missing = cluster.command("tree", "get", PAY, "slots")
    assert missing.exit_code == ExitCode.NOT_FOUND
    assert "next:" in missing.error


def test_show_lists_nodes_and_zones(cluster: Cluster) -> None:
    shown = rows(cluster.ok("tree", "show").output)
    assert [PAY, "methods", "POST,PUT"] in [[row[0], *row[2:]] for row in shown if row]
    assert ["pasila", "uusimaa"] in [list(row[:2]) for row in shown]
    below = cluster.ok("tree", "show", "/kassa/*", "--json").json
    assert [node["path"] for node in below["nodes"]] == [PAY]
    assert cluster.command("tree", "show", "/other").exit_code == ExitCode.NOT_FOUND
    for command in ("show", "get"):
        assert cluster.command("tree", command, "kassa").exit_code == ExitCode.USAGE


def test_resend_gives_the_first_outcome(cluster: Cluster) -> None:
    arguments = ("tree", "set", "/kassa", "slots=7", "--change-id", "once", "--json")
    first = cluster.ok(*arguments).json["accepted"]
    cluster.ok("tree", "set", "/kassa", "slots=8")
    again = cluster.ok(*arguments).json
    assert (again["accepted"], again["repeated"]) == (first, True)
    assert values(cluster, "/kassa")["slots"] == 8
    assert "accepted before" in cluster.ok(*arguments[:-1]).output


def test_resent_revert_and_load_give_the_first_outcome(
    cluster: Cluster, tmp_path: Path
) -> None:
    version = cluster.ok("tree", "show", "--json").json["version"]
    file = tmp_path / "tree.toml"
    cluster.ok("tree", "save", str(file))
    for name, command in (
        ("reverted", ("tree", "revert", str(version))),
        ("loaded", ("tree", "load", str(file))),
    ):
        cluster.ok("tree", "set", "/kassa", "slots=8")
        arguments = (*command, "--change-id", name, "--json")
        first = cluster.ok(*arguments).json
        assert first["repeated"] is False
        assert cluster.ok(*arguments).json == {
            "accepted": first["accepted"],
            "repeated": True,
        }


def test_history_gives_as_many_changes_as_asked_for(cluster: Cluster) -> None:
    for slots in ("1", "2"):
        cluster.ok("tree", "set", "/kassa", f"slots={slots}")
        cluster.command("tree", "set", "/kassa", "slots=0")
    changes = cluster.ok("tree", "history", "--limit", "2", "--json").json["changes"]
    assert [change["operations"] for change in changes] == [
        ["set /kassa slots=1"],
        ["set /kassa slots=2"],
    ]
    shown = cluster.ok("tree", "history").output
    assert f"set {PAY} path_prefix=/pay methods=POST,PUT" in shown


def test_stale_revision_is_a_conflict_that_shows_what_won(cluster: Cluster) -> None:
    cluster.ok("tree", "set", "/kassa", "slots=9", "--change-id", "the-winner")
    lost = cluster.command("tree", "set", "/kassa", "slots=1", "--expected-revision", "1")
    assert lost.exit_code == ExitCode.CONFLICT
    assert "the-winner" in lost.error
    assert "slots=9" in lost.error
    shown = cluster.command(
        "tree", "set", "/kassa", "slots=1", "--expected-revision", "/kassa=1", "--json"
    ).json["failed"]
    assert shown["winner_change_id"] == "the-winner"
    assert shown["present"]["slots"] == 9
    assert shown["expected_revision"] == 1 < shown["actual_revision"]


def test_expected_revision_0_requires_that_the_node_does_not_exist(
    cluster: Cluster,
) -> None:
    cluster.ok("tree", "set", "/fresh", "slots=3", "--expected-revision", "0")
    again = cluster.command("tree", "set", "/fresh", "slots=4", "--expected-revision", "0")
    assert again.exit_code == ExitCode.CONFLICT
    cluster.ok("tree", "remove", "/fresh")
    assert cluster.command("tree", "get", "/fresh").exit_code == ExitCode.NOT_FOUND


def test_invalid_edit_names_each_problem_and_changes_nothing(cluster: Cluster) -> None:
    before = cluster.ok("tree", "show", "--json").json
    done = cluster.command(
        "tree", "set", PAY, "target=nowhere", "verify_secret=none", "--json"
    )
    assert done.exit_code == ExitCode.INVALID
    problems = done.json["failed"]["problems"]
    assert {problem["subject"] for problem in problems} == {PAY}
    assert len(problems) == 2
    assert cluster.ok("tree", "show", "--json").json == before


def test_wrong_assignments_are_all_listed_before_anything_is_sent(cluster: Cluster) -> None:
    done = cluster.command("tree", "set", PAY, "slots=x", "colour=1", "slots=2", "nothing")
    assert done.exit_code == ExitCode.USAGE
    for name in ("slots", "colour", "nothing"):
        assert f"  {name}: " in done.error


def test_several_operations_are_one_version(cluster: Cluster, tmp_path: Path) -> None:
    file = tmp_path / "edit.toml"
    file.write_text(
        """
        comment = "together"
        [[operations]]
        type = "set"
        path = "/kuitti"
        overrides = { slots = 2 }
        [[operations]]
        type = "set_zone"
        name = "vantaa-t2"
        region = "uusimaa"
        """
    )
    version = cluster.ok("tree", "edit", str(file), "--json").json["accepted"]["version"]
    newest = cluster.ok("tree", "history", "--limit", "1", "--json").json["changes"]
    assert [change["version"] for change in newest] == [version]
    assert newest[0]["operations"] == ["set /kuitti slots=2", "zone set vantaa-t2 uusimaa"]
    assert (newest[0]["comment"], newest[0]["author"]) == ("together", "anna")
    ambiguous = cluster.command("tree", "edit", str(file), "--expected-revision", "0")
    assert ambiguous.exit_code == ExitCode.USAGE


def test_save_load_diff_and_revert(cluster: Cluster, tmp_path: Path) -> None:
    file = tmp_path / "tree.toml"
    first = cluster.ok("tree", "show", "--json").json
    cluster.ok("tree", "save", str(file))
    cluster.ok("tree", "set", "/kassa", "slots=33", "queue_limit=44")
    difference = cluster.ok("tree", "diff", str(first["version"]), "--json").json
    changed = {item["setting"]: item["after"] for item in difference["differences"]}
    assert changed == {"slots": "33", "queue_limit": "44"}

    dry = cluster.ok("tree", "load", str(file), "--dry-run", "--json").json
    assert {item["setting"] for item in dry["differences"]} == {"slots", "queue_limit"}
    cluster.ok("tree", "load", str(file))
    assert "no differences" in cluster.ok("tree", "diff", str(first["version"])).output

    cluster.ok("tree", "set", "/kassa", "slots=34")
    reverted = cluster.ok("tree", "revert", str(first["version"]), "--json").json
    assert reverted["accepted"]["version"] > first["version"]
    assert "no differences" in cluster.ok("tree", "diff", str(first["version"])).output


def test_bad_files_are_refused_with_their_problems(
    cluster: Cluster, tmp_path: Path
) -> None:
    file = tmp_path / "bad.toml"
    file.write_text('cluster = "refund"\n[nodes."/kassa"]\nslots = "many"\ncolour = 1\n')
    for arguments in (("tree", "load", str(file)), ("tree", "edit", str(file))):
        done = cluster.command(*arguments)
        assert done.exit_code == ExitCode.INVALID
    missing = cluster.command("tree", "load", str(tmp_path / "none.toml"))
    assert missing.exit_code == ExitCode.USAGE


def test_explain_names_value_and_origin(cluster: Cluster) -> None:
    cluster.ok("tree", "set", "/kassa/pasila/pay", "timeout_milliseconds=123")
    explained = cluster.ok("explain", "kassa", "pasila", "pay", "--json").json
    origins = {
        item["name"]: (item["value"], item["path"]) for item in explained["route_settings"]
    }
    assert origins["timeout_milliseconds"] == (123, "/kassa/pasila/pay")
    assert origins["path_prefix"] == ("/pay", PAY)
    assert origins["target"] == ("kassa", "built-in")
    missing = cluster.command("explain", "kassa", "pasila", "none")
    assert missing.exit_code == ExitCode.NOT_FOUND
    assert "pay" in missing.error


def test_unknown_version_is_not_found(cluster: Cluster) -> None:
    done = cluster.command("tree", "show", "--version", "999999")
    assert done.exit_code == ExitCode.NOT_FOUND


def test_secret_in_use_stays_and_rotation_needs_a_secret(cluster: Cluster) -> None:
    cluster.ok("secret", "put", "member", "--generate", "32")
    cluster.ok("tree", "set", PAY, "verify_secret=member")
    assert cluster.command("secret", "remove", "member").exit_code == ExitCode.INVALID
    assert cluster.command("secret", "rotate", "other").exit_code == ExitCode.NOT_FOUND
    cluster.ok("secret", "rotate", "member")
    listed = cluster.ok("secret", "list", "--json").json["secrets"]
    assert listed[0]["generations"] == [1, 2]
    cluster.ok("tree", "unset", PAY, "verify_secret")
    cluster.ok("secret", "remove", "member")


def test_zone_in_use_stays(cluster: Cluster) -> None:
    cluster.ok("tree", "set", "/kassa/pasila", "slots=5")
    assert cluster.command("zone", "remove", "pasila").exit_code == ExitCode.INVALID
    cluster.ok("zone", "set", "empty", "uusimaa")
    cluster.ok("zone", "remove", "empty")


def test_timeouts_that_are_no_numbers_are_refused(cluster: Cluster) -> None:
    for text in ("nan", "inf", "0", "-1", "x"):
        assert cluster.command("status", "--timeout", text).exit_code == ExitCode.USAGE


def test_adding_an_unreachable_replica_has_an_unknown_outcome(cluster: Cluster) -> None:
    arguments = ("replica", "add", "c2", "127.0.0.1:1", "--timeout", "0.5", "--json")
    failed = cluster.command(*arguments).json["failed"]
    assert failed["code"] == ExitCode.UNKNOWN
    assert "c2" in failed["next_step"]
    cluster.command("replica", "remove", "c2")


def test_watch_of_a_version_that_is_not_accepted(cluster: Cluster) -> None:
    done = cluster.command("watch", "999999", "--timeout", "0.3")
    assert done.exit_code == ExitCode.NOT_IN_FORCE
    assert "not accepted yet" in done.error


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_scripts_name_the_program(cluster: Cluster, shell: str) -> None:
    done = CliRunner().invoke(main, ["completion", shell])
    assert done.exit_code == ExitCode.DONE
    assert "_PEPPERSHORE_COMPLETE" in done.output


def test_status_and_replicas(cluster: Cluster) -> None:
    status = cluster.ok("status", "--json").json
    assert (status["cluster"], status["leader"]) == ("refund", "control-1")
    replicas = cluster.ok("replica", "list", "--json").json["replicas"]
    assert [item["role"] for item in replicas] == ["leader"]
    refused = cluster.command("replica", "remove", "control-1", "--json")
    assert refused.exit_code == ExitCode.INVALID
    assert refused.json["failed"]["kind"] == "membership"


def test_json_is_one_object_a_line_for_every_reading_command(cluster: Cluster) -> None:
    for arguments in (
        ("tree", "show"),
        ("tree", "get", PAY),
        ("tree", "history"),
        ("tree", "diff", "1"),
        ("tree", "save"),
        ("status",),
        ("secret", "list"),
        ("replica", "list"),
        ("explain", "kassa", "pasila", "pay"),
    ):
        lines = cluster.ok(*arguments, "--json").output.splitlines()
        assert [type(json.loads(line)) for line in lines] == [dict]
