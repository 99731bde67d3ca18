"""Mutual TLS on every link of real processes: roles, clusters, renewal, new authority."""

from __future__ import annotations

import json
import subprocess
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import tomli_w
from tests.acceptance.backend import call
from tests.acceptance.cluster import PROGRAM, ZONE, Cluster, Member, wait_until

from peppershore.command.exit_codes import ExitCode
from peppershore.process.configuration_page import CONFIGURATION_PATH

ROUTE = "/kassa/*/desk"
OK = 200
END_SECONDS = 20.0
CALLS_AT_ONCE = 40
WORK_SECONDS = 0.3
CALLS = 120


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    started = Cluster(tmp_path, tls=True)
    yield started
    started.stop()


def held_version(node: Member) -> int:
    version: int = json.loads(call(node.admin_address, CONFIGURATION_PATH).body)["version"]
    return version


def edit_reaches(cluster: Cluster, milliseconds: int, *nodes: str) -> None:
    setting = f"timeout_milliseconds={milliseconds}"
    version = cluster.edit("tree", "set", ROUTE, setting)
    for name in nodes:
        node = cluster.nodes[name]
        wait_until(
            lambda node=node: held_version(node) >= version, lambda node=node: node.log
        )


def calls_cross_nodes(cluster: Cluster) -> None:
    """Calls go over the internal link to the other node's back end too.

    More come at once than the nearer back end has slots, and each holds one for a while:
    otherwise all would go to the nearer one.
    """
    for backend in cluster.backends.values():
        backend.work_seconds = WORK_SECONDS
    seen: set[str] = set()
    address = cluster.nodes["kassa-1"].callers_address

    def both_answered() -> bool:
        with ThreadPoolExecutor(CALLS_AT_ONCE) as threads:
            answers = list(threads.map(lambda _: call(address, "/desk"), range(CALLS)))
        seen.update(answer.body for answer in answers if answer.status == OK)
        return seen == {"kassa-1", "kassa-2"}

    wait_until(both_answered, lambda: f"answers came only from {seen}")


def wait_for_reload(cluster: Cluster, seen: dict[str, int]) -> None:
    """Wait until every process took the changed files, without a restart."""
    for member in cluster.members():
        wait_until(
            lambda member=member: (
                len(member.events("certificate_reloaded")) > seen[member.name]
            ),
            lambda member=member: member.log,
        )


def reloads(cluster: Cluster) -> dict[str, int]:
    members = cluster.members()
    return {each.name: len(each.events("certificate_reloaded")) for each in members}


def test_mutual_tls_from_the_first_key_to_a_new_authority(cluster: Cluster) -> None:
    cluster.start_replicas(3)
    cluster.ok("zone", "set", ZONE, "uusimaa")
    settings = ("path_prefix=/desk", "audience=public", "repeatable=yes", "hop=owner")
    cluster.ok("tree", "set", ROUTE, *settings)
    cluster.start_relays(2)
    cluster.start_nodes("kassa", 2)
    edit_reaches(cluster, 700, "kassa-1", "kassa-2")
    calls_cross_nodes(cluster)

    strangers_are_refused(cluster)

    before = reloads(cluster)
    cluster.keys("rotate", "--all")
    wait_for_reload(cluster, before)
    cluster.nodes["kassa-1"].kill()
    cluster.nodes["kassa-1"].start()
    cluster.nodes["kassa-1"].ready()
    edit_reaches(cluster, 800, "kassa-1", "kassa-2")

    before = reloads(cluster)
    cluster.keys("rotate-authority")
    wait_for_reload(cluster, before)
    before = reloads(cluster)
    cluster.keys("rotate", "--all")
    wait_for_reload(cluster, before)
    cluster.keys("retire-authority")
    cluster.leader().kill()
    edit_reaches(cluster, 900, "kassa-1", "kassa-2")
    calls_cross_nodes(cluster)
    assert all("BEGIN" not in member.log for member in cluster.members())


def strangers_are_refused(cluster: Cluster) -> None:
    """Plain links, other roles, other clusters and other authorities get nothing."""
    replica = cluster.replicas["control-1"].link_address
    assert operator(cluster, replica, {}).returncode == ExitCode.UNREACHABLE
    as_node = cluster.security("node/kassa/pasila/impostor")
    assert operator(cluster, replica, as_node).returncode == ExitCode.NOT_PERMITTED
    of_guild = cluster.security("operator/eve", cluster="guild")
    assert operator(cluster, replica, of_guild).returncode == ExitCode.NOT_PERMITTED
    foreign = Cluster(cluster.folder / "elsewhere", tls=True)
    try:
        foreign_keys = foreign.security("operator/eve")
        done = operator(cluster, replica, foreign_keys)
        assert done.returncode == ExitCode.UNREACHABLE
    finally:
        foreign.stop()
    refused = [
        event for each in cluster.members() for event in each.events("message_refused")
    ]
    assert {"impostor", "eve"} <= {event["identity"].split("/")[-1] for event in refused}
    started = serve_relay_with(cluster, as_node)
    assert started.returncode == ExitCode.NOT_STARTED
    assert "certificate of a node, not a relay" in started.stderr


def operator(
    cluster: Cluster, replica: str, security: dict[str, object]
) -> subprocess.CompletedProcess[str]:
    path = cluster.folder / "stranger.toml"
    settings = {"replicas": [replica], "timeout_milliseconds": 1_000} | security
    path.write_text(tomli_w.dumps(settings))
    arguments = [str(PROGRAM), "tree", "show", "--settings", str(path)]
    return subprocess.run(
        arguments, check=False, capture_output=True, text=True, timeout=END_SECONDS
    )


def serve_relay_with(
    cluster: Cluster, security: dict[str, object]
) -> subprocess.CompletedProcess[str]:
    path = cluster.folder / "stranger.toml"
    own = {"listen": "127.0.0.1:0", "admin_listen": ""}
    path.write_text(tomli_w.dumps(cluster.relays["relay-1"].settings | own | security))
    arguments = [str(PROGRAM), "serve", "relay", "--settings", str(path)]
    return subprocess.run(
        arguments, check=False, capture_output=True, text=True, timeout=END_SECONDS
    )
