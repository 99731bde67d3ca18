"""Compression with Zstandard: messages with a dictionary, blocks without one.

The dictionary is known to both ends. Small messages of the same kind resemble each other,
so it gives most of the saving. A block is one MessagePack value of the control group: a
command of its replicated log or a snapshot.
"""

from __future__ import annotations

import msgspec
import zstandard
from returns.result import Failure, Result, Success

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
CHUNK_BYTES = 65_536
COMPRESSION_LEVEL = 9

BLOCK_LEVEL = 1
"""Zstandard compression level (1 to 22) of blocks; see the module's text for blocks.

Route names are random, so a higher level saves little.
"""

MIN_BLOCK_BYTES = 512
"""Smaller blocks stay uncompressed: a Zstandard frame would cost more than is saved."""

BLOCK_MARK = zstandard.FRAME_HEADER
"""First bytes of a compressed block; no MessagePack list or map begins with them."""


class UnusablePacking(msgspec.Struct, frozen=True):
    """Packed bytes that can't be unpacked or decoded; ``reason`` says why."""

    reason: str


class DictionaryPacker:
    """Compresses with a dictionary, which is part of the protocol and never changes."""

    def __init__(self, dictionary: bytes) -> None:
        """Use ``dictionary``, which holds its most frequent content last."""
        shared = zstandard.ZstdCompressionDict(
            dictionary, dict_type=zstandard.DICT_TYPE_RAWCONTENT
        )
        self._compressor = zstandard.ZstdCompressor(
            dict_data=shared,
            compression_params=zstandard.ZstdCompressionParameters.from_level(
                COMPRESSION_LEVEL,
                format=zstandard.FORMAT_ZSTD1_MAGICLESS,
                write_content_size=False,
                write_checksum=False,
                write_dict_id=False,
            ),
        )
        self._decompressor = zstandard.ZstdDecompressor(
            dict_data=shared, format=zstandard.FORMAT_ZSTD1_MAGICLESS
        )

    def pack(self, content: bytes) -> bytes:
        """Return ``content`` compressed with the dictionary."""
        return self._compressor.compress(content)

    def unpack(self, packed: bytes) -> Result[bytes, UnusablePacking]:
        """Return the decompressed content; fail if invalid or above ``MAX_UNPACKED_BYTES``.

        The content is read in chunks, so that a small input can't expand to more than
        ``MAX_UNPACKED_BYTES`` in memory.
        """
        chunks: list[bytes] = []
        total = 0
        try:
            with self._decompressor.stream_reader(packed) as reader:
                while chunk := reader.read(CHUNK_BYTES):
                    total += len(chunk)
                    if total > MAX_UNPACKED_BYTES:
                        return Failure(UnusablePacking(f"above {MAX_UNPACKED_BYTES} bytes"))
                    chunks.append(chunk)
        except zstandard.ZstdError as problem:
            return Failure(UnusablePacking(str(problem)))
        return Success(b"".join(chunks))


def pack_block(content: bytes) -> bytes:
    """Return a MessagePack value as a block, compressed from ``MIN_BLOCK_BYTES`` on."""
    if len(content) < MIN_BLOCK_BYTES:
        return content
    return zstandard.ZstdCompressor(level=BLOCK_LEVEL).compress(content)


def unpack_block(block: bytes) -> bytes:
    """Return the MessagePack value of a block, which ``pack_block`` must have made."""
    if not block.startswith(BLOCK_MARK):
        return block
    return zstandard.ZstdDecompressor().decompress(block)
