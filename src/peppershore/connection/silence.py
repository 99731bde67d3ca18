"""Ends TCP connections whose other end has fallen silent without a reset.

Behind a cut, or where a machine on the way forgot the connection, nothing says that it is
dead: what is sent stays unacknowledged, and new connections may work all the while.  The
operating system finds out by probes while nothing is on its way, and by a bound on what
stays unacknowledged; the connection then ends like one that was reset.
"""

from __future__ import annotations

import socket

LINK_SILENT_SECONDS = 2
"""Between processes of the system: three packets lost in a row, or a queue of a second on
a narrow link, are no silence yet; a voter silent for so long is replaced."""

PROBE_SECONDS = 1
"""A connection at rest is probed so often: the least that the system takes."""

UNANSWERED_PROBES = 2
"""One lost probe is no silence."""

MILLISECONDS = 1_000


def probe_at_rest(connection: socket.socket) -> None:
    """Have the system end a connection that leaves probes unanswered.

    A peer that reads slowly answers them, for as long as it likes.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, UNANSWERED_PROBES)


def end_when_silent(connection: socket.socket) -> None:
    """Have the system end a connection that takes nothing for the bound of links.

    Its peer always reads what comes: one that does not is taken as gone.
    """
    probe_at_rest(connection)
    bound = LINK_SILENT_SECONDS * MILLISECONDS
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, bound)
