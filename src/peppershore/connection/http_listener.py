"""The listener for callers, which a successor process can take over.

All processes bind their address with SO_REUSEPORT, so that a successor listens
beside its predecessor.  A predecessor that stops sends new connections to the
successor first (``hand_over``), accepts what it still has in its queue, and only
then closes: a queue that is closed with connections in it cuts them.
"""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

LISTEN_BACKLOG = 4_096
SO_ATTACH_REUSEPORT_CBPF = 51
"""Linux; the socket module of Python 3.11 does not name it."""

BPF_RETURN_CONSTANT = 0x06
SUCCESSOR_INDEX = 1
"""Listeners of one address are numbered by age; the older one that closes moves the
younger one to its place.  A number that nobody has means: choose by hash."""


class HttpListener:
    """Accepts callers on one address."""

    def __init__(self, make_connection: Callable[[], asyncio.Protocol]) -> None:
        """Make one protocol for each accepted connection."""
        self._make_connection = make_connection
        self._bound: socket.socket | None = None
        self._server: asyncio.Server | None = None

    def bind(self, host: str, port: int, take_over: bool = False) -> str:
        """Bind; port 0 takes a free one.  Gives the address bound, "IP:port".

        Raises OSError if the address is taken, which ``take_over`` allows.
        """
        if port and not take_over:
            _probe(host, port)
        bound = _bindable(host)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind((host, port))
        self._bound = bound
        name = bound.getsockname()
        return f"{name[0]}:{name[1]}"

    @property
    def listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    async def listen(self) -> None:
        """Accept connections on the address bound."""
        bound = self._bound
        if bound is None or self._server is not None:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, sock=bound, backlog=LISTEN_BACKLOG
        )

    def hand_over(self) -> None:
        """Let new connections go to a younger listener of the address, if there is one.

        Where the system can't, they go to both until this one closes.
        """
        if self._bound is None or self._server is None:
            return
        program = ctypes.create_string_buffer(
            struct.pack("=HBBI", BPF_RETURN_CONSTANT, 0, 0, SUCCESSOR_INDEX)
        )
        option = struct.pack("@HP", 1, ctypes.addressof(program))
        with suppress(OSError):
            self._bound.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, option)

    def close(self) -> None:
        """Stop accepting; open connections stay."""
        if self._server is not None:
            self._server.close()
        elif self._bound is not None:
            self._bound.close()
        self._server = None
        self._bound = None


def _bindable(host: str) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.setblocking(False)
    return made


def _probe(host: str, port: int) -> None:
    """Raise OSError if another process listens: without it, two would share."""
    with _bindable(host) as probe:
        probe.bind((host, port))
