"""Makes one end of an open TCP connection silent for good, without a reset.

A filter on the socket drops every segment that comes for it, so the other end gets no
acknowledgement, as behind a cut, while new connections between the two work.
"""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
RETURN_CONSTANT = 0x06
DROP_ALL = 0


def fall_silent(connection: socket.socket) -> None:
    """Drop all that comes on this connection from now on."""
    instruction = struct.pack("HBBI", RETURN_CONSTANT, 0, 0, DROP_ALL)
    kept = ctypes.create_string_buffer(instruction)
    program = struct.pack("HL", 1, ctypes.addressof(kept))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
