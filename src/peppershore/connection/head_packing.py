"""Compression of the call heads on one link, as one Deflate stream per direction.

One stream is used because a head is very similar to the one before it. Its window is small.
The stream is flushed after each message, so that no message is delayed. Both ends keep the
state of the stream while the link is open, and drop it with the link.
"""

from __future__ import annotations

import zlib

from returns.result import Failure, Result, Success

from peppershore.connection.codec import UndecodableMessage

WINDOW_BITS = -11
"""Window of 2 KB, enough for the last four heads; negative means raw Deflate, no header."""

MEMORY_LEVEL = 2
COMPRESSION_LEVEL = 6
"""Deflate level. With these settings a stream takes about 12 KB of memory at its sender and
10 KB at its receiver."""

MIN_PACKABLE_BYTES = 64
MAX_PACKABLE_BYTES = 2_048
"""Sizes between which a message is compressed. Messages below the minimum gain nothing;
those above the maximum carry bodies, which would evict heads from the Deflate window."""

MAX_UNPACKED_BYTES = 64 * 1024

MAX_PACKING_MEGABITS = 20.0
"""Link rate in Mbit/s up to which heads are compressed: packing and unpacking a head takes
3 µs of processor time (``benchmarks/head_packing_cost.py``) and saves at least 130 bytes,
which take 50 µs at 20 Mbit/s."""

FLUSH_SUFFIX = b"\x00\x00\xff\xff"
"""Bytes that end each flush; they are removed before sending and restored on receipt."""


def is_worth_it(link_megabits: float) -> bool:
    """Report whether to compress heads on a link of this rate in Mbit/s (0: no limit)."""
    return 0.0 < link_megabits <= MAX_PACKING_MEGABITS


class HeadPacker:
    """Compressor at the sending end of one link's stream."""

    def __init__(self) -> None:
        """Start a new stream, with an empty Deflate window."""
        self._stream = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    @staticmethod
    def is_packable(payload: bytes) -> bool:
        """Report whether a payload has a size for which compression pays off."""
        return MIN_PACKABLE_BYTES <= len(payload) <= MAX_PACKABLE_BYTES

    def pack(self, payload: bytes) -> bytes:
        """Compress a payload into the next chunk of the stream."""
        packed = self._stream.compress(payload) + self._stream.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(FLUSH_SUFFIX)


class HeadUnpacker:
    """Decompressor at the receiving end of one link's stream."""

    def __init__(self) -> None:
        """Start a new stream, with an empty Deflate window."""
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def unpack(self, packed: bytes) -> Result[bytes, UndecodableMessage]:
        """Return the payload of the next chunk; after a failure the stream is unusable."""
        try:
            payload = self._stream.decompress(packed + FLUSH_SUFFIX, MAX_UNPACKED_BYTES)
        except zlib.error as problem:
            return Failure(UndecodableMessage(f"packed head: {problem}"))
        if self._stream.unconsumed_tail:
            return Failure(UndecodableMessage("packed head: too long"))
        return Success(payload)
