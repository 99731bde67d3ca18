"""Heads of calls on one link, packed as one stream: a head is much like the one before.

Deflate with a small window, flushed after each message, so that nothing waits.  Both ends
keep their state for as long as the link is there; what it carries is never kept longer.
"""

from __future__ import annotations

import zlib

from returns.result import Failure, Result, Success

from peppershore.connection.codec import UndecodableMessage

WINDOW_BITS = -11
"""A window of 2 KB holds the last four heads; negative: without a header of its own."""

MEMORY_LEVEL = 2
LEVEL = 6
"""Such a stream needs some 12 KB at its sender and 10 KB at its receiver."""

PACKED_FROM_BYTES = 64
PACKED_UP_TO_BYTES = 2_048
"""Shorter messages gain nothing; longer ones hold bodies, which push heads out."""

MOST_UNPACKED_BYTES = 64 * 1024

PACKING_MEGABITS = 20.0
"""Links up to this rate are worth it: packing and unpacking a head take 3 µs of processor
time (``benchmarks/head_packing_cost.py``) and save 130 bytes or more of it, which
20 Mbit/s carry in 50 µs."""

FLUSH_MARK = b"\x00\x00\xff\xff"
"""What each flush ends with; it is left out on the way."""


def is_worth_it(link_megabits: float) -> bool:
    """Whether heads should be packed on a link of that rate (0: wide enough)."""
    return 0.0 < link_megabits <= PACKING_MEGABITS


class HeadPacker:
    """The sending end of one link's stream."""

    def __init__(self) -> None:
        """Begin with an empty window."""
        self._stream = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    @staticmethod
    def takes(payload: bytes) -> bool:
        """Whether a payload is of a size that gains by it."""
        return PACKED_FROM_BYTES <= len(payload) <= PACKED_UP_TO_BYTES

    def pack(self, payload: bytes) -> bytes:
        """Give the next piece of the stream."""
        packed = self._stream.compress(payload) + self._stream.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(FLUSH_MARK)


class HeadUnpacker:
    """The receiving end of one link's stream."""

    def __init__(self) -> None:
        """Begin with an empty window."""
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def unpack(self, packed: bytes) -> Result[bytes, UndecodableMessage]:
        """Give the payload of the next piece; the stream ends with the first failure."""
        try:
            payload = self._stream.decompress(packed + FLUSH_MARK, MOST_UNPACKED_BYTES)
        except zlib.error as problem:
            return Failure(UndecodableMessage(f"packed head: {problem}"))
        if self._stream.unconsumed_tail:
            return Failure(UndecodableMessage("packed head: too long"))
        return Success(payload)
