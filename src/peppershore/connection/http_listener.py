"""Listener for callers' HTTP connections, which a successor process can take over.

All processes bind their address with SO_REUSEPORT, so that a successor can listen while
its predecessor still does. A predecessor that stops first directs new connections to the
successor (``hand_over``), then accepts those left in its own accept queue, and only then
closes: closing a listener resets the connections in its accept queue.
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
"""Linux socket option; the socket module of Python 3.11 has no constant for it."""

BPF_RETURN_CONSTANT = 0x06
SUCCESSOR_INDEX = 1
"""Index of the younger listener. The kernel numbers the listeners of one address by age;
when the older one closes, the younger one takes its index. For an index without a
listener the kernel chooses a listener by hash."""


class HttpListener:
    """Accepts callers' connections on one address."""

    def __init__(self, make_connection: Callable[[], asyncio.Protocol]) -> None:
        """Use ``make_connection`` to create the protocol of each accepted connection."""
        self._make_connection = make_connection
        self._bound: socket.socket | None = None
        self._server: asyncio.Server | None = None

    def bind(self, host: str, port: int, take_over: bool = False) -> str:
        """Bind the address and return it as "IP:port"; port 0 chooses a free port.

        Raise OSError if the address is in use, unless ``take_over`` is set.
        """
        if port and not take_over:
            _check_unused(host, port)
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
        """Start accepting connections on the bound address."""
        bound = self._bound
        if bound is None or self._server is not None:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, sock=bound, backlog=LISTEN_BACKLOG
        )

    def hand_over(self) -> None:
        """Direct new connections to a younger listener of the address, if there is one.

        If the operating system does not support this, new connections are distributed
        to both listeners until this one closes.
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
        """Stop accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()
        elif self._bound is not None:
            self._bound.close()
        self._server = None
        self._bound = None


def _bindable(host: str) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    created = socket.socket(family, socket.SOCK_STREAM)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    created.setblocking(False)
    return created


def _check_unused(host: str, port: int) -> None:
    """Raise OSError if another process listens on the address.

    Without this check SO_REUSEPORT would let two processes share the address.
    """
    with _bindable(host) as probe:
        probe.bind((host, port))
