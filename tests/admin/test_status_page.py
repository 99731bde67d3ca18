"""Status page: its contents, its escaping, and that it needs no external resources."""

from __future__ import annotations

from html.parser import HTMLParser

import pytest

from peppershore.connection.messages.operators import (
    RelayStatus,
    ReplicaStatus,
    StatusAnswered,
)
from peppershore.connection.messages.relay import LaggingNode
from peppershore.process.status_page import render_status, zone_progress
from peppershore.version.model import (
    Overrides,
    Secret,
    SecretGeneration,
    Tree,
    TreeNode,
    Zone,
)

MATERIAL = b"key material of the page"
LAGGING = LaggingNode("kassa-1", "kassa", "pasila", 6, "waits for <kuitti>")
STATUS = StatusAnswered(
    cluster="refund",
    replica="c1",
    leader="c2",
    version=7,
    in_force=6,
    replicas=(ReplicaStatus("c1", "127.0.0.1:1", "follower", 3, 7, True),),
    relays=(
        RelayStatus("r1", "pasila", 7, 6, 10, (LAGGING,), 1234, 20),
        RelayStatus("r2", "pasila", 7, 7, 5, (), 99, 20),
        RelayStatus("r3", "vantaa", 7, 7, 8, (), 99, 20),
    ),
    rotations=("member-key waits for kassa-1",),
)
TREE = Tree(
    cluster="refund",
    version=7,
    zones={"pasila": Zone("uusimaa", 1)},
    nodes={"/kassa/*/pay": TreeNode(Overrides(path_prefix="/<b>pay"), 5)},
    secrets={"member-key": Secret((SecretGeneration(1, MATERIAL),), 1, 4)},
)


class Texts(HTMLParser):
    """Collects the texts, tags and attribute names of a page."""

    def __init__(self) -> None:
        super().__init__()
        self.tags: list[str] = []
        self.attributes: list[str] = []
        self.texts: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.tags.append(tag)
        self.attributes += [name for name, _ in attrs]

    def handle_data(self, data: str) -> None:
        self.texts.append(data)


@pytest.fixture
def page() -> Texts:
    parser = Texts()
    parser.feed(render_status(STATUS, TREE))
    return parser


def test_zone_is_at_the_lowest_of_its_relays() -> None:
    progress = {item.zone: item for item in zone_progress(STATUS.relays)}
    assert (progress["pasila"].in_force, progress["pasila"].nodes) == (6, 15)
    assert (progress["vantaa"].in_force, progress["vantaa"].lagging) == (7, 0)


def test_page_shows_progress_reasons_and_tree(page: Texts) -> None:
    for text in (
        "refund: version 7",
        "In force everywhere: version 6.",
        "waits for <kuitti>",
        "rotation waits: member-key waits for kassa-1",
        "/kassa/*/pay",
        '"/<b>pay"',
        "member-key",
        "follower",
    ):
        assert text in page.texts


def test_page_is_read_only_and_needs_no_other_file(page: Texts) -> None:
    assert not {"script", "link", "img", "form", "input", "b"} & set(page.tags)
    assert not {"src", "href", "onclick"} & set(page.attributes)


def test_page_holds_no_key_material() -> None:
    assert MATERIAL.decode() not in render_status(STATUS, TREE)
