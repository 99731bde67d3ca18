"""TLS handshakes of accepted connections: only so many at a time.

A handshake costs milliseconds of processor time.  If a herd began thousands at
once, each would take longer than its peer waits, and all of that work would be
lost.  What is too much is refused at once, before it costs anything; peers come
back after a wait at random.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

MAX_HANDSHAKES = 128
HANDSHAKE_SECONDS = 3.0
"""A peer that connects gives up after this too."""

MakeProtocol = Callable[[], asyncio.Protocol]


class TlsAdmission:
    """Secures accepted connections; hands each to a protocol of its own."""

    def __init__(
        self,
        tls: ssl.SSLContext,
        make_protocol: MakeProtocol,
        most: int = MAX_HANDSHAKES,
    ) -> None:
        """Let at most ``most`` handshakes be under way."""
        self.refused = 0
        self._tls = tls
        self._make_protocol = make_protocol
        self._most = most
        self._handshakes: set[asyncio.Task[None]] = set()

    def arriving(self) -> asyncio.Protocol:
        """Give the protocol for a connection that was accepted just now."""
        return _Arriving(self._arrived)

    def close(self) -> None:
        """Break off the handshakes under way."""
        for handshake in self._handshakes:
            handshake.cancel()

    def _arrived(self, transport: asyncio.Transport) -> None:
        if len(self._handshakes) >= self._most:
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


class _Arriving(asyncio.Protocol):
    """Reads nothing before the handshake does."""

    def __init__(self, on_arrived: Callable[[asyncio.Transport], None]) -> None:
        self._on_arrived = on_arrived

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.pause_reading()
        self._on_arrived(transport)
