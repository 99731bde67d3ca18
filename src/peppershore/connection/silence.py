"""Detection of TCP connections whose peer has become unreachable without a reset.

If the network path is interrupted, or a machine on the path lost the connection's state,
nothing reports that the connection is dead: sent data stays unacknowledged, although new
connections may work. The operating system detects this by keep-alive probes on an idle
connection and by a time-out on unacknowledged data; it then closes the connection as if
it had been reset.
"""

from __future__ import annotations

import socket

LINK_TIMEOUT_SECONDS = 2
"""Time-out on unacknowledged data of links between processes of the system. It tolerates
three packets lost in a row, or a queue of one second on a narrow link; a voting replica
that is silent for this long is replaced."""

PROBE_SECONDS = 1
"""Interval of probes on an idle connection; the operating system allows no less."""

MAX_UNANSWERED_PROBES = 2
"""Unanswered probes after which a connection is closed; one lost probe is tolerated."""

MILLISECONDS = 1_000


def enable_keep_alive(connection: socket.socket) -> None:
    """Have the operating system close the connection if its probes stay unanswered.

    A peer that reads slowly still answers probes, so its connection stays open.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)


def close_when_silent(connection: socket.socket) -> None:
    """Have the operating system close a link whose sent data stays unacknowledged.

    The bound is ``LINK_TIMEOUT_SECONDS``. The peer of a link always reads what it
    receives, so one that does not is treated as dead.
    """
    enable_keep_alive(connection)
    bound = LINK_TIMEOUT_SECONDS * MILLISECONDS
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, bound)
