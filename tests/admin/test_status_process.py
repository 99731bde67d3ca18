"""Status page of running replicas: versions in force by zone, lagging nodes and reasons."""

from __future__ import annotations

import http.client
import re
from collections.abc import Iterator
from html.parser import HTMLParser

import pytest
from tests.acceptance.backend import call
from tests.acceptance.cluster import ZONE, Cluster, Member, wait_until

OK = 200
METHOD_NOT_ALLOWED = 405


class Tables(HTMLParser):
    """Collects table rows by heading, and attributes that refer to other resources."""

    def __init__(self) -> None:
        super().__init__()
        self.tables: dict[str, list[list[str]]] = {}
        self.references: list[str] = []
        self._tag = ""
        self._heading = ""

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self._tag = tag
        self.references += [name for name, _ in attrs if name in ("src", "href", "action")]
        if tag == "tr":
            self.tables[self._heading].append([])
        if tag == "td":
            self.tables[self._heading][-1].append("")

    def handle_endtag(self, tag: str) -> None:
        self._tag = ""

    def handle_data(self, data: str) -> None:
        if self._tag == "h2":
            self._heading = data
            self.tables[data] = []
        elif self._tag == "td":
            self.tables[self._heading][-1][-1] += data

    def rows(self, heading: str) -> list[list[str]]:
        return [row for row in self.tables[heading] if row]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    started = Cluster(tmp_path_factory.mktemp("status"))
    try:
        started.start_replicas(3)
        started.ok("zone", "set", ZONE, "uusimaa")
        started.start_relays(1)
        started.start_nodes("kassa", 2)
        settings = ("path_prefix=/desk", "audience=public")
        version = started.edit("tree", "set", "/kassa/*/desk", *settings)
        started.ok("watch", str(version))
        yield started
    finally:
        started.stop()


def page_of(member: Member) -> Tables:
    answer = call(member.admin_address, "/status")
    assert answer.status == OK
    tables = Tables()
    tables.feed(answer.body)
    return tables


def test_every_replica_shows_zones_replicas_relays_and_the_tree(cluster: Cluster) -> None:
    version = str(cluster.ok("tree", "show", "--json").json["version"])
    leader = cluster.leader()
    for member in cluster.replicas.values():
        wait_until(
            lambda member=member: (
                page_of(member).rows("Zones") == [[ZONE, version, "1", "2", "0"]]
            ),
            lambda member=member: str(page_of(member).tables),
        )
        page = page_of(member)
        roles = {row[0]: row[2] for row in page.rows("Replicas")}
        assert roles[leader.name] == "leader"
        assert roles.keys() == cluster.replicas.keys()
        assert [row[:3] for row in page.rows("Relays")] == [["relay-1", ZONE, version]]
        assert ["path_prefix", '"/desk"'] in [row[2:] for row in page.rows("Tree")]


def test_page_names_the_lagging_node_and_the_reason(cluster: Cluster) -> None:
    leader = cluster.leader()
    cluster.nodes["kassa-2"].pause()
    try:
        cluster.edit("tree", "set", "/kassa/*/desk", "timeout_milliseconds=700")
        wait_until(
            lambda: len(page_of(leader).rows("Lagging nodes")) == 1,
            lambda: str(page_of(leader).tables),
        )
        (row,) = page_of(leader).rows("Lagging nodes")
        assert (row[0], row[4]) == ("kassa-2", "relay-1")
        assert row[5]
    finally:
        cluster.nodes["kassa-2"].resume()
    wait_until(
        lambda: not page_of(leader).rows("Lagging nodes"),
        lambda: str(page_of(leader).tables),
    )


def test_page_is_read_only_and_loads_nothing(cluster: Cluster) -> None:
    member = cluster.leader()
    assert page_of(member).references == []
    body = call(member.admin_address, "/status").body
    assert not re.search(r"https?://|url\(|@import", body)
    for method in ("POST", "PUT", "DELETE"):
        connection = http.client.HTTPConnection(member.admin_address, timeout=10)
        connection.request(method, "/status", body=b"x")
        assert connection.getresponse().status == METHOD_NOT_ALLOWED
        connection.close()
