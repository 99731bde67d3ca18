"""Cut, oversized, garbage and senseless bytes at every listener of real processes."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings
from tests.acceptance.backend import call
from tests.acceptance.cluster import ZONE, Cluster, wait_until
from tests.link.message_strategies import messages_of

from peppershore.connection.codec import MESSAGE_TYPES, encode_message
from peppershore.connection.framing import encode_frame
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.endpoints import RelayHello
from peppershore.connection.messages.node import NodeHello
from peppershore.connection.messages.relay import FollowRequest
from peppershore.version.model import Scope
from peppershore_lab.fleet.addresses import (
    ADMIN_PORT,
    HTTP_PORT,
    INTERNAL_PORT,
    LINK_PORT,
)

OK = 200
EXAMPLES = 4
GARBAGE_PIECES = 40
SEND_SECONDS = 5.0
HELLOS: tuple[Message, ...] = (
    NodeHello("refund", "stranger", 1, Scope("kassa", ZONE), 0, 0, 0, 0),
    RelayHello("refund", "relay-9", 1),
    FollowRequest("refund", "relay-9", ZONE, 0),
)


@pytest.fixture
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    started = Cluster(tmp_path_factory.mktemp("hostile"))
    try:
        started.start_replicas(1)
        started.start_claims()
        started.ok("zone", "set", ZONE, "uusimaa")
        settings_of_route = ("path_prefix=/desk", "audience=public", "repeatable=yes")
        started.ok("tree", "set", "/kassa/*/desk", *settings_of_route)
        started.start_relays(1)
        started.start_nodes("kassa", 1)
        yield started
    finally:
        started.stop()


def send(host: str, port: int, data: bytes) -> None:
    with socket.create_connection((host, port), SEND_SECONDS) as connection:
        try:
            connection.sendall(data)
        except OSError:
            return  # the listener has hung up already


def senseless_messages(kind: type[Message]) -> list[bytes]:
    found: list[bytes] = []

    @seed(1)
    @settings(
        max_examples=EXAMPLES, phases=[Phase.generate], suppress_health_check=[*HealthCheck]
    )
    @given(messages_of(kind))
    def collect(message: Message) -> None:
        found.append(encode_frame(encode_message(message)))

    collect()
    return found


def garbage() -> Iterator[bytes]:
    generator = random.Random(1)
    hello = encode_frame(encode_message(HELLOS[0]))
    for _ in range(GARBAGE_PIECES):
        yield generator.randbytes(generator.randint(1, 300))
        yield hello[: generator.randint(1, len(hello) - 1)]
    yield b"\xff\xff\xff\xff" + generator.randbytes(1_000)
    yield encode_frame(b"\x91" * 50_000)


def test_no_process_dies_and_all_go_on(cluster: Cluster) -> None:
    ports = {"node": (INTERNAL_PORT, HTTP_PORT, ADMIN_PORT)}
    listeners = [
        (member.host, port)
        for member in cluster.members()
        for port in ports.get(member.role, (LINK_PORT, ADMIN_PORT))
    ]
    for data in garbage():
        for host, port in listeners:
            send(host, port, data)
    hellos = [b"", *(encode_frame(encode_message(hello)) for hello in HELLOS)]
    links = [each for each in listeners if each[1] in (LINK_PORT, INTERNAL_PORT)]
    for kind in MESSAGE_TYPES:
        frames = senseless_messages(kind)
        for host, port in links:
            for number, frame in enumerate(frames):
                send(host, port, hellos[number % len(hellos)] + frame)
    for member in cluster.members():
        assert member.is_running, (member.name, member.log[-2_000:])
        assert member.events("library_message") == [], member.name
    version = cluster.edit("tree", "set", "/kassa/*/desk", "timeout_milliseconds=700")
    node = cluster.nodes["kassa-1"]
    wait_until(lambda: version in node.versions_applied(), lambda: node.log)
    assert call(node.callers_address, "/desk").status == OK
