"""Limit on concurrent TLS handshakes of accepted connections.

A handshake costs milliseconds of processor time. If a reconnect storm started thousands
at once, each would take longer than its peer waits, and all of that work would be lost.
Connections above the limit are refused at once, before they cost anything; peers retry
after a random delay.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

MAX_HANDSHAKES = 128
HANDSHAKE_SECONDS = 3.0
"""Handshake time-out; a connecting peer gives up after the same time."""

MakeProtocol = Callable[[], asyncio.Protocol]


class TlsAdmission:
    """Performs the TLS handshake of accepted connections and creates their protocols."""

    def __init__(
        self,
        tls: ssl.SSLContext,
        make_protocol: MakeProtocol,
        max_handshakes: int = MAX_HANDSHAKES,
    ) -> None:
        """Allow at most ``max_handshakes`` handshakes at a time.

        ``make_protocol`` creates the protocol that a connection gets after its handshake.
        """
        self.refused = 0
        self._tls = tls
        self._make_protocol = make_protocol
        self._max_handshakes = max_handshakes
        self._handshakes: set[asyncio.Task[None]] = set()

    def initial_protocol(self) -> asyncio.Protocol:
        """Return the initial protocol of a connection that was just accepted."""
        return _InitialProtocol(self._admit)

    def close(self) -> None:
        """Cancel the handshakes in progress."""
        for handshake in self._handshakes:
            handshake.cancel()

    def _admit(self, transport: asyncio.Transport) -> None:
        if len(self._handshakes) >= self._max_handshakes:
            self.refused += 1
            transport.abort()
            return
        task = asyncio.get_running_loop().create_task(self._secure(transport))
        self._handshakes.add(task)
        task.add_done_callback(self._handshakes.discard)

    async def _secure(self, transport: asyncio.Transport) -> None:
        protocol = self._make_protocol()
        loop = asyncio.get_running_loop()
        try:
            secured = await loop.start_tls(
                transport,
                protocol,
                self._tls,
                server_side=True,
                ssl_handshake_timeout=HANDSHAKE_SECONDS,
            )
        except OSError:
            return
        if secured is not None:
            protocol.connection_made(secured)


class _InitialProtocol(asyncio.Protocol):
    """Initial protocol that pauses reading, so that the handshake gets all bytes."""

    def __init__(self, on_connected: Callable[[asyncio.Transport], None]) -> None:
        self._on_connected = on_connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.pause_reading()
        self._on_connected(transport)
