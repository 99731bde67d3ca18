"""One TCP or TLS link between two processes of the system, on asyncio.

A link carries messages in both directions. A frame or message that can't be decoded
closes the link with a reason; the process continues.
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
from peppershore.connection.silence import close_when_silent
from peppershore.connection.tls_admission import TlsAdmission
from peppershore.connection.traffic import TRAFFIC, message_tag

CONNECT_TIMEOUT_SECONDS = 1.0
"""Time-out of a connection attempt. A machine that is cut off gives no reply; a new attempt
soon after it is reachable again succeeds sooner than one whose first packet was lost."""

MAX_QUEUED_BYTES = 128 * 1024 * 1024
FLUSH_SECONDS = 5.0
"""Time a closed link has to send its queued bytes before it is aborted."""
LISTEN_BACKLOG = 4_096

MessageSink = Callable[[Message, int], None]
CloseSink = Callable[[str], None]


class Link(asyncio.Protocol):
    """An open link; received messages are buffered until ``start`` sets their receiver."""

    def __init__(self, on_open: Callable[[Link], None]) -> None:
        """Call ``on_open`` once the transport is connected."""
        self.peer_address = ""
        self.peer_identity = ""
        self._on_open = on_open
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._on_message: MessageSink | None = None
        self._on_closed: CloseSink | None = None
        self._undelivered: list[bytes] = []
        self._closed_reason: str | None = None
        self._abort_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and the identity of its peer; set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.peer_address = f"{peer[0]}:{peer[1]}" if peer else ""
        self.peer_identity = _identity(transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            close_when_silent(raw)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into messages and deliver them."""
        if self._on_message is None:
            self._undelivered.append(data)
            return
        self._read_frames(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the receiver set by ``start``, once, that the link is closed."""
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        self._finish(str(exc) if exc else "closed by peer")

    def start(self, on_message: MessageSink, on_closed: CloseSink) -> None:
        """Start delivering messages, first those that were already received.

        ``on_message`` gets each message and its size on the wire in bytes, ``on_closed``
        the reason if the link is closed otherwise than by ``close``.
        """
        self._on_message = on_message
        self._on_closed = on_closed
        undelivered = self._undelivered
        self._undelivered = []
        for data in undelivered:
            self._read_frames(data)
        if self._closed_reason is not None:
            on_closed(self._closed_reason)

    @property
    def queued_bytes(self) -> int:
        """Number of bytes queued for sending because the peer does not read them."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def send(self, payload: bytes) -> int:
        """Queue one payload; return its size on the wire in bytes (0 if closing)."""
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
        """Send what is queued, then close; no callback set by ``start`` is called any more.

        If the peer does not read, the link is aborted after ``FLUSH_SECONDS``, so queued
        bytes take memory no longer than that.
        """
        self._on_closed = None
        self._on_message = None
        if self._transport is None or self._abort_timer is not None:
            return
        self._transport.close()
        loop = asyncio.get_running_loop()
        self._abort_timer = loop.call_later(FLUSH_SECONDS, self._transport.abort)

    def _read_frames(self, data: bytes) -> None:
        payloads = self._reader.feed(data)
        if isinstance(payloads, Failure):
            self._abort(repr(payloads.failure()))
            return
        for payload in payloads.unwrap():
            self._deliver(payload)

    def _deliver(self, payload: bytes) -> None:
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
        """Pass every accepted link to ``on_accepted``; without ``tls`` links use no TLS."""
        self._on_accepted = on_accepted
        self._admission = None if tls is None else TlsAdmission(tls, self._link)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the bound port; port 0 chooses a free one."""
        loop = asyncio.get_running_loop()
        make = self._link if self._admission is None else self._admission.initial_protocol
        self._server = await loop.create_server(make, host, port, backlog=LISTEN_BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop accepting links; open ones stay open."""
        if self._server is not None:
            self._server.close()
        if self._admission is not None:
            self._admission.close()

    @property
    def refused_handshakes(self) -> int:
        """Number of connections refused because too many handshakes were in progress."""
        return 0 if self._admission is None else self._admission.refused

    def _link(self) -> asyncio.Protocol:
        return Link(self._on_accepted)


async def open_link(address: str, tls: ssl.SSLContext | None) -> Link | str:
    """Connect to "IP:port"; return the link, or the reason for the failure."""
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
    """Describe, for log lines and operators, why a connection could not be opened."""
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
    """Return the URI in the peer's certificate (see ``identity``), or "" without one."""
    certificate = transport.get_extra_info("peercert")
    if not certificate:
        return ""
    for kind, value in certificate.get("subjectAltName", ()):
        if kind == "URI":
            return str(value)
    return ""
