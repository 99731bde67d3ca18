"""All tenant commands against a real replica; no output contains a key."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from tests.acceptance.cluster import Cluster, CommandDone

from peppershore.command.exit_codes import ExitCode
from peppershore.version.tenants import key_fingerprint

KEY, NEXT_KEY = "open-sesame-5d41402abc", "let-me-in-7b52009b64"
FINGERPRINT, NEXT_FINGERPRINT = key_fingerprint(KEY), key_fingerprint(NEXT_KEY)


@pytest.fixture(autouse=True)
def studio(cluster: Cluster) -> Iterator[None]:
    """Give each test the tenant studio with one key, and no other tenant."""
    for item in tenants(cluster):
        cluster.ok("tenant", "remove", item)
    cluster.ok("tenant", "set", "studio", "--rate", "350", "--add-key", "-", text=KEY)
    yield
    shown = (
        ("tenant", "show"),
        ("tree", "show"),
        ("tree", "history"),
        ("tree", "diff", "1"),
        ("tree", "save"),
        ("status",),
    )
    for arguments in shown:
        for form in ((), ("--json",)):
            assert_hidden(cluster.ok(*arguments, *form))


def assert_hidden(done: CommandDone) -> None:
    for key in (KEY, NEXT_KEY):
        assert key not in done.output + done.error


def tenants(cluster: Cluster, *arguments: str) -> dict[str, Any]:
    found = cluster.ok("tenant", "show", *arguments, "--json").json["tenants"]
    return {item["name"]: item for item in found}


def test_a_key_rotates_without_a_gap(cluster: Cluster, tmp_path: Path) -> None:
    file = tmp_path / "next.key"
    file.write_text(NEXT_KEY + "\r\n")
    cluster.ok("tenant", "set", "studio", "--add-key", str(file))
    held = tenants(cluster)["studio"]
    assert held["fingerprints"] == [FINGERPRINT, NEXT_FINGERPRINT]
    assert held["limits"] == {"rate_per_second": 350}, "limits that aren't given stay"
    cluster.ok("tenant", "set", "studio", "--drop-key", FINGERPRINT)
    assert tenants(cluster, "studio")["studio"]["fingerprints"] == [NEXT_FINGERPRINT]
    newest = cluster.ok("tree", "history", "--limit", "2", "--json").json["changes"]
    assert [change["operations"] for change in newest] == [
        [f"tenant keys studio +{NEXT_FINGERPRINT}"],
        [f"tenant keys studio -{FINGERPRINT}"],
    ]


def test_a_limit_is_set_explained_and_inherited_again(cluster: Cluster) -> None:
    cluster.ok("tree", "set", "/", "tenant_rate_per_second=7")
    cluster.ok("tenant", "set", "studio", "--burst", "0.5", "--priority", "2")
    assert origins(cluster) == [
        (350, "tenant:studio"),
        (0.5, "tenant:studio"),
        (2, "tenant:studio"),
    ]
    cluster.ok("tenant", "set", "studio", "--unset", "rate", "--unset", "priority")
    assert origins(cluster) == [(7, "/"), (0.5, "tenant:studio"), (None, "built-in")]
    cluster.ok("tree", "unset", "/", "tenant_rate_per_second")
    assert origins(cluster)[0] == (0, "built-in")
    text = cluster.ok("tenant", "explain", "studio").output
    assert "tenant:studio at version" in text
    assert f"keys: {FINGERPRINT}" in text
    assert tenants(cluster)["studio"]["fingerprints"] == [FINGERPRINT], "keys stay"


def origins(cluster: Cluster) -> list[tuple[object, str]]:
    found = cluster.ok("tenant", "explain", "studio", "--json")
    assert_hidden(found)
    return [(item["value"], item["path"]) for item in found.json["limits"]]


def test_a_resend_gives_the_first_outcome(cluster: Cluster) -> None:
    seen = expecting(tenants(cluster)["studio"]["revision"])
    words = ("tenant", "set", "studio", "--add-key", "-", "--change-id", "rotate-1", *seen)
    first, again = (cluster.ok(*words, "--json", text=NEXT_KEY).json for _ in range(2))
    assert [first["repeated"], again["repeated"]] == [False, True]
    assert first["accepted"] == again["accepted"]
    assert len(tenants(cluster)["studio"]["fingerprints"]) == 2


def test_a_stale_revision_is_a_conflict(cluster: Cluster) -> None:
    done = cluster.command("tenant", "set", "studio", "--rate", "1", *expecting(1))
    assert done.exit_code == ExitCode.CONFLICT
    assert "tenant:studio" in done.error
    assert cluster.command("tenant", "remove", "studio", *expecting(1)).exit_code == 4
    cluster.ok("tenant", "set", "farm", *expecting(0))


def expecting(revision: int) -> tuple[str, str]:
    return "--expected-revision", f"tenant:studio={revision}" if revision else "0"


INVALID_OPTIONS: dict[str, tuple[tuple[str, ...], ExitCode, str]] = {
    "a key for a fingerprint": (("--drop-key", KEY), ExitCode.USAGE, "and no key"),
    "a key for a file": (("--add-key", KEY), ExitCode.USAGE, "file 1 of --add-key"),
    "set and unset": (("--rate", "1", "--unset", "rate"), ExitCode.USAGE, "at once"),
    "not held": (("--drop-key", NEXT_FINGERPRINT), ExitCode.INVALID, "has no key"),
    "held": (("--add-key", "-"), ExitCode.INVALID, f"fingerprint {FINGERPRINT}"),
    "negative": (("--rate", "-1"), ExitCode.USAGE, "--rate"),
    "no number": (("--burst", "nan"), ExitCode.INVALID, "burst is out of"),
}


@pytest.mark.parametrize("case", INVALID_OPTIONS)
def test_invalid_options_change_nothing_and_show_no_key(
    cluster: Cluster, case: str
) -> None:
    arguments, code, message = INVALID_OPTIONS[case]
    before = tenants(cluster)
    done = cluster.command("tenant", "set", "studio", *arguments, text=KEY)
    assert done.exit_code == code
    assert message in done.error
    assert_hidden(done)
    assert tenants(cluster) == before


@pytest.mark.parametrize("content", [b"", b"\n\n", b"\xff"])
def test_a_file_without_keys_is_refused(
    cluster: Cluster, tmp_path: Path, content: bytes
) -> None:
    file = tmp_path / "keys"
    file.write_bytes(content)
    done = cluster.command("tenant", "set", "studio", "--add-key", str(file))
    assert done.exit_code == ExitCode.USAGE
    assert "file 1 of --add-key" in done.error


def test_a_key_of_another_tenant_is_refused(cluster: Cluster) -> None:
    done = cluster.command("tenant", "set", "farm", "--add-key", "-", text=KEY)
    assert done.exit_code == ExitCode.INVALID
    assert "shares a key with the tenant" in done.error
    assert_hidden(done)
    assert "farm" not in tenants(cluster)


def test_unknown_tenants_are_not_found(cluster: Cluster) -> None:
    for command in ("show", "explain"):
        done = cluster.command("tenant", command, "nobody")
        assert done.exit_code == ExitCode.NOT_FOUND
    assert cluster.command("tenant", "remove", "nobody").exit_code == ExitCode.INVALID


def test_tree_show_lists_tenants(cluster: Cluster) -> None:
    rows = [line.split() for line in cluster.ok("tree", "show").output.splitlines()]
    assert ["TENANT", "RATE", "BURST", "PRIORITY", "KEYS", "REVISION"] in rows
    assert ["studio", "350", "-", "-", FINGERPRINT] in [row[:-1] for row in rows]
    cluster.ok("tenant", "remove", "studio")
    assert "TENANT" not in cluster.ok("tree", "show").output


def test_revert_brings_back_limits_and_no_key(cluster: Cluster) -> None:
    first = cluster.ok("tree", "show", "--json").json["version"]
    cluster.ok("tenant", "set", "studio", "--rate", "1", "--add-key", "-", text=NEXT_KEY)
    cluster.ok("tenant", "set", "studio", "--drop-key", FINGERPRINT)
    cluster.ok("tree", "revert", str(first))
    held = tenants(cluster)["studio"]
    assert held["limits"] == {"rate_per_second": 350}
    assert held["fingerprints"] == [NEXT_FINGERPRINT]
    cluster.ok("tenant", "remove", "studio")
    refused = cluster.command("tree", "revert", str(first))
    assert refused.exit_code == ExitCode.INVALID
    assert "peppershore tenant set NAME --add-key" in refused.error


def test_a_file_of_edits_has_limits_and_no_keys(cluster: Cluster, tmp_path: Path) -> None:
    file = tmp_path / "edit.toml"
    set_farm = '[[operations]]\ntype = "set_tenant"\nname = "farm"\nrate_per_second = 5\n'
    remove = '[[operations]]\ntype = "remove_tenant"\nname = "studio"\n'
    file.write_text(set_farm + f'keys = ["{KEY}"]\n' + remove)
    done = cluster.command("tree", "edit", str(file))
    assert done.exit_code == ExitCode.INVALID
    assert "operations[0].keys: is no field here" in done.error
    assert_hidden(done)
    file.write_text(set_farm + remove)
    cluster.ok("tree", "edit", str(file))
    assert {name: item["limits"] for name, item in tenants(cluster).items()} == {
        "farm": {"rate_per_second": 5}
    }
