"""Bytes packed for the wire: Zstandard with a dictionary that both ends know.

Small messages of the same kind look much like each other, so they shrink mainly
by their dictionary.
"""

from __future__ import annotations

import msgspec
import zstandard
from returns.result import Failure, Result, Success

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
PIECE_BYTES = 65_536
COMPRESSION_LEVEL = 9

BLOCK_LEVEL = 1
"""Of blocks: names of routes are random, so that more effort saves little."""

BLOCK_FROM_BYTES = 512
"""Below it a block is left as it is: packing would save less than its own frame."""

BLOCK_MARK = zstandard.FRAME_HEADER
"""First bytes of a packed block; a MessagePack list or map never begins with them."""


class UnusablePacking(msgspec.Struct, frozen=True):
    """Bytes are not packed as they should be; ``reason`` says where it goes wrong."""

    reason: str


class DictionaryPacker:
    """Packs with one dictionary, which is part of the protocol: it never changes."""

    def __init__(self, dictionary: bytes) -> None:
        """Use ``dictionary``, its most frequent content last."""
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
        """Give the packed bytes."""
        return self._compressor.compress(content)

    def unpack(self, packed: bytes) -> Result[bytes, UnusablePacking]:
        """Give the content piece by piece, or why there is none; never too much."""
        pieces: list[bytes] = []
        total = 0
        try:
            with self._decompressor.stream_reader(packed) as reader:
                while piece := reader.read(PIECE_BYTES):
                    total += len(piece)
                    if total > MAX_UNPACKED_BYTES:
                        return Failure(UnusablePacking(f"above {MAX_UNPACKED_BYTES} bytes"))
                    pieces.append(piece)
        except zstandard.ZstdError as problem:
            return Failure(UnusablePacking(str(problem)))
        return Success(b"".join(pieces))


def pack_block(content: bytes) -> bytes:
    """Pack MessagePack of this program's own if that is worth it."""
    if len(content) < BLOCK_FROM_BYTES:
        return content
    return zstandard.ZstdCompressor(level=BLOCK_LEVEL).compress(content)


def unpack_block(block: bytes) -> bytes:
    """Give what ``pack_block`` was given; the block must be this program's own."""
    if not block.startswith(BLOCK_MARK):
        return block
    return zstandard.ZstdDecompressor().decompress(block)
