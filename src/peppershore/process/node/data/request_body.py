"""The body of a request: buffered until it may be sent, retained for a retry."""

from __future__ import annotations

from peppershore.connection.http_head import HeaderList
from peppershore.connection.messages.calls import STREAM_WINDOW_BYTES
from peppershore.process.node.data.attempt import Attempt
from peppershore.request.fingerprint import Fingerprint

REPLAY_BYTES = 64 * 1024
"""A body up to this size is retained, so that a retry can send it again."""

HOLD_BYTES = 64 * 1024
"""Once more bytes of a body than this were received, reading from the caller pauses until
they can be forwarded."""

LARGEST_READ_BYTES = 256 * 1024
"""Maximum number of bytes that asyncio's transports read from a socket at a time."""

STREAMED_REPLAY_BYTES = STREAM_WINDOW_BYTES + LARGEST_READ_BYTES
"""A streamed body is retained up to this size: the bytes that may be in transit to the
owner before it accepts any, plus one read from the caller. So a call that an owner refuses
for want of a slot can always be retried: its body went no further than that owner."""


class RequestBody:
    """The chunks of one body, and how many of them were sent."""

    __slots__ = (
        "_pieces",
        "_sent",
        "ended",
        "fingerprint",
        "received",
        "replay_bytes",
        "replayable",
        "trailers",
    )

    def __init__(self) -> None:
        """Start empty; a body larger than ``replay_bytes`` cannot be sent again."""
        self.replay_bytes = REPLAY_BYTES
        self.fingerprint = Fingerprint()
        self._pieces: list[bytes] = []
        self._sent = 0
        self.received = 0
        self.replayable = True
        self.ended = False
        self.trailers: HeaderList = []

    @property
    def should_pause_reading(self) -> bool:
        """Whether reading from the caller should pause for now."""
        return self.received > HOLD_BYTES and self._sent < len(self._pieces)

    def add(self, data: bytes) -> None:
        """Append a chunk that was received from the caller."""
        self._pieces.append(data)
        self.fingerprint.add(data)
        self.received += len(data)

    def end(self, trailers: HeaderList) -> None:
        """Record that the body is complete."""
        self.ended = True
        self.fingerprint.end()
        self.trailers = trailers

    def restart(self) -> None:
        """Send the body from its beginning for another attempt."""
        assert self.replayable, "the beginning of the body is no longer retained"
        self._sent = 0

    def send(self, attempt: Attempt) -> None:
        """Send the attempt the chunks that it was not sent yet, and the end if received.

        Discards the chunks, so that no retry can send them, once the body is too large.
        """
        for piece in self._pieces[self._sent :]:
            attempt.send_data(piece)
        self._sent = len(self._pieces)
        if self.received > self.replay_bytes:
            self.replayable = False
            self._pieces.clear()
            self._sent = 0
        if self.ended:
            attempt.send_end(self.trailers)
        attempt.flush()
