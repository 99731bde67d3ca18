"""Certificates are created, renewed and listed; TLS contexts reload changed files."""

from __future__ import annotations

import asyncio
import os
import ssl
import stat
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from peppershore.connection import certificates
from peppershore.connection.authorization import authorizer
from peppershore.connection.certificates import AUTHORITY_CERTIFICATE, AUTHORITY_KEY
from peppershore.connection.codec import encode_message
from peppershore.connection.identity import (
    ROLES,
    PeerIdentity,
    format_identity,
    parse_identity,
)
from peppershore.connection.link import Link, LinkListener, open_link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.node import NodeHello
from peppershore.connection.messages.operators import StatusQuery, TenantUsageQuery
from peppershore.connection.messages.relay import ConfirmRequest, FollowRequest
from peppershore.connection.messages.session import Goodbye
from peppershore.connection.tls import TlsPaths, client_context, server_context
from peppershore.version.model import Scope

CONTROL = PeerIdentity("refund", "control", "c1")
RELAY = PeerIdentity("refund", "relay", "r1")
NODE = PeerIdentity("refund", "node", "kassa-1", "kassa", "pasila")
OPERATOR = PeerIdentity("refund", "operator", "anna")


def create_certificates(folder: Path, *identities: PeerIdentity) -> None:
    authority = certificates.make_authority(folder).unwrap()
    for identity in identities:
        certificates.issue(folder, authority, identity, days=30).unwrap()


def paths(folder: Path, name: str) -> TlsPaths:
    pem = str(folder / f"{name}.pem")
    return TlsPaths(pem, pem, str(folder / AUTHORITY_CERTIFICATE))


async def peer_identity(server: ssl.SSLContext, client: ssl.SSLContext) -> str:
    """Return the client's identity as the server sees it, or why there is no link."""
    accepted: asyncio.Queue[Link] = asyncio.Queue()
    listener = LinkListener(accepted.put_nowait, server)
    port = await listener.start("127.0.0.1", 0)
    link = await open_link(f"127.0.0.1:{port}", client)
    try:
        if isinstance(link, str):
            return link
        lost: asyncio.Queue[str] = asyncio.Queue()
        link.start(lambda message, _: lost.put_nowait("greeted"), lost.put_nowait)
        accepting = asyncio.ensure_future(accepted.get())
        ended = asyncio.ensure_future(lost.get())
        await asyncio.wait({accepting, ended}, return_when=asyncio.FIRST_COMPLETED)
        if not accepting.done():
            return ended.result()
        accepting.result().send(encode_message(Goodbye("test")))
        assert await ended == "greeted"
        return accepting.result().peer_identity
    finally:
        await listener.close()
        if isinstance(link, Link):
            link.close()


def test_link_knows_the_identity_in_the_certificate(tmp_path: Path) -> None:
    create_certificates(tmp_path, CONTROL, NODE)
    seen = asyncio.run(
        peer_identity(
            server_context(paths(tmp_path, "c1")).context,
            client_context(paths(tmp_path, "kassa-1")).context,
        )
    )
    assert seen == format_identity(NODE)


def test_certificate_of_another_authority_is_refused(tmp_path: Path) -> None:
    create_certificates(tmp_path / "ours", CONTROL)
    create_certificates(tmp_path / "theirs", NODE)
    foreign = TlsPaths(
        str(tmp_path / "theirs" / "kassa-1.pem"),
        str(tmp_path / "theirs" / "kassa-1.pem"),
        str(tmp_path / "ours" / AUTHORITY_CERTIFICATE),
    )
    seen = asyncio.run(
        peer_identity(
            server_context(paths(tmp_path / "ours", "c1")).context,
            client_context(foreign).context,
        )
    )
    assert not seen.startswith("peppershore://")


def test_renewed_files_are_used_by_new_links_without_restart(tmp_path: Path) -> None:
    create_certificates(tmp_path, CONTROL, NODE)
    server = server_context(paths(tmp_path, "c1"))
    client = client_context(paths(tmp_path, "kassa-1"))
    assert not client.reload_if_changed().reloaded

    replacement = certificates.make_authority(tmp_path).unwrap()
    certificates.issue(tmp_path, replacement, NODE, days=60).unwrap()
    before = client.expires_unix_seconds
    assert client.reload_if_changed().reloaded
    assert server.reload_if_changed().reloaded
    assert client.expires_unix_seconds > before
    seen = asyncio.run(peer_identity(server.context, client.context))
    assert seen == format_identity(NODE)


def test_damaged_files_leave_the_old_certificate_in_use(tmp_path: Path) -> None:
    create_certificates(tmp_path, CONTROL, NODE)
    server = server_context(paths(tmp_path, "c1"))
    client = client_context(paths(tmp_path, "kassa-1"))
    (tmp_path / "kassa-1.pem").write_text("damaged")
    assert client.reload_if_changed().failure
    seen = asyncio.run(peer_identity(server.context, client.context))
    assert seen == format_identity(NODE)


def test_private_files_are_private_and_renewal_keeps_the_identity(tmp_path: Path) -> None:
    create_certificates(tmp_path, NODE)
    for name in (AUTHORITY_KEY, "kassa-1.pem"):
        assert stat.S_IMODE(os.stat(tmp_path / name).st_mode) == 0o600
    before = (tmp_path / "kassa-1.pem").read_bytes()
    authority = certificates.load_authority(tmp_path).unwrap()
    certificates.reissue(tmp_path, authority, "kassa-1", days=30).unwrap()
    assert (tmp_path / "kassa-1.pem").read_bytes() != before
    listed = certificates.list_issued(tmp_path)
    assert [item.identity for item in listed] == [format_identity(NODE)]


def test_retired_authority_is_no_longer_trusted(tmp_path: Path) -> None:
    create_certificates(tmp_path, CONTROL, NODE)
    certificates.make_authority(tmp_path).unwrap()
    assert certificates.retire_authorities(tmp_path).unwrap() == 1
    seen = asyncio.run(
        peer_identity(
            server_context(paths(tmp_path, "c1")).context,
            client_context(paths(tmp_path, "kassa-1")).context,
        )
    )
    assert not seen.startswith("peppershore://")


def test_missing_and_damaged_authorities_are_problems(tmp_path: Path) -> None:
    assert isinstance(certificates.load_authority(tmp_path), Failure)
    create_certificates(tmp_path)
    (tmp_path / AUTHORITY_KEY).write_text("damaged")
    assert isinstance(certificates.load_authority(tmp_path), Failure)
    assert isinstance(certificates.read_issued(tmp_path / AUTHORITY_KEY), Failure)


names = st.text(min_size=1, max_size=20)


@given(cluster=names, role=st.sampled_from(ROLES), name=names, service=names, zone=names)
def test_identities_survive_the_round_trip(
    cluster: str, role: str, name: str, service: str, zone: str
) -> None:
    scope = (service, zone) if role == "node" else ()
    identity = PeerIdentity(cluster, role, name, *scope)
    assert parse_identity(format_identity(identity)).unwrap() == identity


@given(st.one_of(st.text(), st.text().map("peppershore://a/{}".format)))
def test_arbitrary_text_is_an_identity_or_a_problem(text: str) -> None:
    assert isinstance(parse_identity(text), Success | Failure)


def hello(node: str, service: str) -> NodeHello:
    return NodeHello("refund", node, 1, Scope(service, "pasila"), 0, 0, 0, 0)


@pytest.mark.parametrize(
    ("own_role", "peer", "message", "permitted"),
    [
        ("relay", NODE, hello("kassa-1", "kassa"), True),
        ("relay", NODE, hello("kassa-1", "kuitti"), False),
        ("relay", NODE, hello("kassa-2", "kassa"), False),
        ("relay", OPERATOR, hello("kassa-1", "kassa"), False),
        ("control", OPERATOR, StatusQuery(), True),
        ("control", NODE, StatusQuery(), False),
        ("control", OPERATOR, TenantUsageQuery(), True),
        ("control", NODE, TenantUsageQuery(), False),
        ("control", RELAY, TenantUsageQuery(), False),
        ("control", RELAY, FollowRequest("refund", "r1", "pasila", 0), True),
        ("control", RELAY, FollowRequest("refund", "r2", "pasila", 0), False),
        ("control", RELAY, ConfirmRequest(1), True),
        ("control", NODE, ConfirmRequest(1), False),
        ("relay", CONTROL, Goodbye("stop"), True),
    ],
)
def test_certificate_decides_which_messages_a_peer_may_send(
    own_role: str, peer: PeerIdentity, message: Message, permitted: bool
) -> None:
    own = PeerIdentity("refund", own_role, "own")
    refusal = authorizer(own)(format_identity(peer), message)
    assert (refusal == "") is permitted


@pytest.mark.parametrize("role", ROLES)
def test_no_role_of_another_cluster_may_send_anything(role: str) -> None:
    foreign = PeerIdentity("guild", role, "x", *_scope(role))
    for own_role in ROLES:
        own = PeerIdentity("refund", own_role, "own", *_scope(own_role))
        for message in (Goodbye("stop"), StatusQuery(), ConfirmRequest(1)):
            assert authorizer(own)(format_identity(foreign), message)


def _scope(role: str) -> tuple[str, ...]:
    return ("kassa", "pasila") if role == "node" else ()


def test_link_without_identity_may_send_nothing_under_tls() -> None:
    assert authorizer(CONTROL)("", StatusQuery())
