"""Frames on a link: a 4-byte big-endian length, then that many bytes.

Takes arbitrary pieces of a byte stream, gives whole payloads.  Bytes that can't
be a frame give a typed error; nothing is raised.
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

HEADER_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024 * 1024


class FrameTooLarge(msgspec.Struct, frozen=True):
    """A header announced more bytes than allowed; the link must be closed."""

    announced_bytes: int
    allowed_bytes: int


def encode_frame(payload: bytes) -> bytes:
    """Give the bytes on the wire for one payload."""
    return len(payload).to_bytes(HEADER_BYTES, "big") + payload


class FrameReader:
    """Collects received bytes and cuts whole payloads from them."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Start empty; refuse frames above ``max_frame_bytes``."""
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> Result[list[bytes], FrameTooLarge]:
        """Add received bytes; give the payloads that became whole."""
        self._buffer += data
        payloads: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= HEADER_BYTES:
            body = start + HEADER_BYTES
            length = int.from_bytes(self._buffer[start:body], "big")
            if length > self._max_frame_bytes:
                return Failure(FrameTooLarge(length, self._max_frame_bytes))
            if len(self._buffer) < body + length:
                break
            payloads.append(bytes(self._buffer[body : body + length]))
            start = body + length
        del self._buffer[:start]
        return Success(payloads)

    @property
    def pending_bytes(self) -> int:
        """Bytes received that are not yet a whole frame."""
        return len(self._buffer)
