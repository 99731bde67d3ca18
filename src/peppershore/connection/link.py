"""One TCP (or TLS) link between two processes of the system, on asyncio.

A link carries whole messages both ways.  A frame or message that can't be
decoded closes the link with a reason; the process goes on.
"""

from __future__ import annotations

import asyncio
import os
import socket
import ssl
from collections.abc import Callable

from returns.result import Failure

from peppershore.connection.codec import decode_message
from peppershore.connection.framing import HEADER_BYTES, FrameReader
from peppershore.connection.messages.base import Message
from peppershore.connection.silence import end_when_silent
from peppershore.connection.tls_admission import TlsAdmission
from peppershore.connection.traffic import TRAFFIC, message_tag

CONNECT_TIMEOUT_SECONDS = 1.0
"""A machine that is cut off says nothing: a new attempt soon after it is back is worth
more than an old one whose first packet was lost."""

MAX_QUEUED_BYTES = 128 * 1024 * 1024
FLUSH_SECONDS = 5.0
"""A closed link that has not sent what was queued by then is cut."""
LISTEN_BACKLOG = 4_096

MessageSink = Callable[[Message, int], None]
CloseSink = Callable[[str], None]


class Link(asyncio.Protocol):
    """An open link.  Messages wait until ``start`` names who takes them."""

    def __init__(self, on_open: Callable[[Link], None]) -> None:
        """Call ``on_open`` once the transport is connected."""
        self.peer_address = ""
        self.peer_identity = ""
        self._on_open = on_open
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._on_message: MessageSink | None = None
        self._on_closed: CloseSink | None = None
        self._early: list[bytes] = []
        self._closed_reason: str | None = None
        self._cut_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; learn who the peer is."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.peer_address = f"{peer[0]}:{peer[1]}" if peer else ""
        self.peer_identity = _identity(transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            end_when_silent(raw)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Cut the received bytes into messages and hand them on."""
        if self._on_message is None:
            self._early.append(data)
            return
        self._take(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner once that the link is gone."""
        if self._cut_timer is not None:
            self._cut_timer.cancel()
        self._finish(str(exc) if exc else "closed by peer")

    def start(self, on_message: MessageSink, on_closed: CloseSink) -> None:
        """Begin handing on messages, first those that came early."""
        self._on_message = on_message
        self._on_closed = on_closed
        early = self._early
        self._early = []
        for data in early:
            self._take(data)
        if self._closed_reason is not None:
            on_closed(self._closed_reason)

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait because the peer does not read."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def send(self, payload: bytes) -> int:
        """Queue one payload; give the bytes put on the wire (0 if closing)."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return 0
        if transport.get_write_buffer_size() > MAX_QUEUED_BYTES:
            self._abort("peer does not read")
            return 0
        transport.writelines((len(payload).to_bytes(HEADER_BYTES, "big"), payload))
        octets = len(payload) + HEADER_BYTES
        TRAFFIC.note_sent(message_tag(payload), octets)
        return octets

    def close(self) -> None:
        """Send what is queued, then close; the owner hears nothing more.

        A peer that stands still keeps nothing queued here for longer than the bound.
        """
        self._on_closed = None
        self._on_message = None
        if self._transport is None or self._cut_timer is not None:
            return
        self._transport.close()
        loop = asyncio.get_running_loop()
        self._cut_timer = loop.call_later(FLUSH_SECONDS, self._transport.abort)

    def _take(self, data: bytes) -> None:
        cut = self._reader.feed(data)
        if isinstance(cut, Failure):
            self._abort(repr(cut.failure()))
            return
        for payload in cut.unwrap():
            self._hand_on(payload)

    def _hand_on(self, payload: bytes) -> None:
        if self._on_message is None:
            return
        octets = len(payload) + HEADER_BYTES
        TRAFFIC.note_received(message_tag(payload), octets)
        decoded = decode_message(payload)
        if isinstance(decoded, Failure):
            self._abort(decoded.failure().reason)
            return
        self._on_message(decoded.unwrap(), octets)

    def _abort(self, reason: str) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._finish(reason)

    def _finish(self, reason: str) -> None:
        if self._closed_reason is not None:
            return
        self._closed_reason = reason
        on_closed = self._on_closed
        self._on_closed = None
        self._on_message = None
        if on_closed is not None:
            on_closed(reason)


class LinkListener:
    """Accepts links on one address."""

    def __init__(
        self, on_accepted: Callable[[Link], None], tls: ssl.SSLContext | None
    ) -> None:
        """Hand every accepted link to ``on_accepted``."""
        self._on_accepted = on_accepted
        self._admission = None if tls is None else TlsAdmission(tls, self._link)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen; port 0 takes a free one.  Gives the port bound."""
        loop = asyncio.get_running_loop()
        make = self._link if self._admission is None else self._admission.arriving
        self._server = await loop.create_server(make, host, port, backlog=LISTEN_BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop accepting; open links stay."""
        if self._server is not None:
            self._server.close()
        if self._admission is not None:
            self._admission.close()

    @property
    def refused_handshakes(self) -> int:
        """Connections refused because too many handshakes were under way."""
        return 0 if self._admission is None else self._admission.refused

    def _link(self) -> asyncio.Protocol:
        return Link(self._on_accepted)


async def open_link(address: str, tls: ssl.SSLContext | None) -> Link | str:
    """Connect to "IP:port"; give the link or the reason it can't be had."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, link = await loop.create_connection(
                lambda: Link(lambda _link: None),
                host,
                int(port),
                ssl=tls,
                server_hostname="" if tls is not None else None,
            )
    except (OSError, TimeoutError, ValueError) as problem:
        return connection_problem(problem)
    return link


def connection_problem(problem: Exception) -> str:
    """Say in words why a connection could not be had."""
    if isinstance(problem, ssl.SSLCertVerificationError):
        return f"its certificate is refused: {problem.verify_message}"
    if isinstance(problem, ssl.SSLError):
        return f"TLS: {problem.reason or problem}"
    if isinstance(problem, TimeoutError):
        return "no answer in time"
    if isinstance(problem, OSError) and problem.errno:
        return os.strerror(problem.errno).lower()
    return str(problem) or type(problem).__name__


def _identity(transport: asyncio.BaseTransport) -> str:
    """Give the URI in the peer's certificate, which ``identity`` can read."""
    certificate = transport.get_extra_info("peercert")
    if not certificate:
        return ""
    for kind, value in certificate.get("subjectAltName", ()):
        if kind == "URI":
            return str(value)
    return ""
