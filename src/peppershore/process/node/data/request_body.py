"""A request's body on its way: held until it may be sent, kept for a retry."""

from __future__ import annotations

from peppershore.connection.http_head import HeaderList
from peppershore.connection.messages.calls import STREAM_WINDOW_BYTES
from peppershore.process.node.data.attempt import Attempt
from peppershore.request.fingerprint import Fingerprint

REPLAY_BYTES = 64 * 1024
"""A body up to this size is kept, so that a retry can send it again."""

HOLD_BYTES = 64 * 1024
"""More than this is not read from the caller before it can be sent on."""

LARGEST_READ_BYTES = 256 * 1024
"""What asyncio's transports read from a socket at a time, at most."""

STREAMED_REPLAY_BYTES = STREAM_WINDOW_BYTES + LARGEST_READ_BYTES
"""A streamed body is kept up to this size: what may be on its way to the back end's own
node before that node takes it, and one read from the caller more.  So a refusal for want
of a slot never ends the call: nothing went past the refusing node."""


class RequestBody:
    """The pieces of one body, and how far they were sent."""

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
        """Start empty; what goes beyond ``replay_bytes`` can't be sent again."""
        self.replay_bytes = REPLAY_BYTES
        self.fingerprint = Fingerprint()
        self._pieces: list[bytes] = []
        self._sent = 0
        self.received = 0
        self.replayable = True
        self.ended = False
        self.trailers: HeaderList = []

    @property
    def held_too_much(self) -> bool:
        """Whether the caller should be read no further for now."""
        return self.received > HOLD_BYTES and self._sent < len(self._pieces)

    def add(self, data: bytes) -> None:
        """Take a piece from the caller."""
        self._pieces.append(data)
        self.fingerprint.add(data)
        self.received += len(data)

    def end(self, trailers: HeaderList) -> None:
        """The caller sent it all."""
        self.ended = True
        self.fingerprint.end()
        self.trailers = trailers

    def restart(self) -> None:
        """Begin again for another attempt."""
        assert self.replayable, "the body's beginning is gone"
        self._sent = 0

    def send(self, attempt: Attempt) -> None:
        """Give the attempt all that it has not had."""
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
