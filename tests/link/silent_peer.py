"""Makes one end of an open TCP connection silent permanently, without a reset.

A filter on the socket drops every segment that it receives, so the other end gets no
acknowledgement, as after an interruption of the network path, while new connections
between the two work.
"""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
RETURN_CONSTANT = 0x06
DROP_ALL = 0


def drop_incoming(connection: socket.socket) -> None:
    """Drop everything that this connection receives from now on."""
    instruction = struct.pack("HBBI", RETURN_CONSTANT, 0, 0, DROP_ALL)
    instructions = ctypes.create_string_buffer(instruction)
    program = struct.pack("HL", 1, ctypes.addressof(instructions))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
