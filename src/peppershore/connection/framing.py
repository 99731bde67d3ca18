"""Frames on a link: a 4-byte big-endian length, then that many bytes of payload.

The reader accepts a byte stream in chunks of any size and returns complete payloads.
Bytes that can't be a frame give a typed error; nothing is raised.
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

HEADER_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024 * 1024


class FrameTooLarge(msgspec.Struct, frozen=True):
    """A frame header announced more bytes than allowed; the link must be closed."""

    announced_bytes: int
    allowed_bytes: int


def encode_frame(payload: bytes) -> bytes:
    """Prefix a payload with its frame header."""
    return len(payload).to_bytes(HEADER_BYTES, "big") + payload


class FrameReader:
    """Splits a received byte stream into payloads."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Start with an empty buffer; reject frames larger than ``max_frame_bytes``."""
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> Result[list[bytes], FrameTooLarge]:
        """Add received bytes; return the payloads that are now complete."""
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
        """Number of buffered bytes of an incomplete frame."""
        return len(self._buffer)
