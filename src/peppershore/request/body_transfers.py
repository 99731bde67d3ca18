"""How many large request bodies one machine takes in at a time, by its link.

On a narrow link many bodies at once only slow each other down, hold their slots all the
while, and keep the small messages of other calls waiting behind their bytes.  A few at a
time fill the link as well; whoever finds no room is refused before its body is sent.
"""

from __future__ import annotations

from peppershore.connection.messages.calls import STREAM_WINDOW_BYTES

BYTES_PER_MEGABIT = 125_000
TYPICAL_BODY_BYTES = 64 * 1024
"""Size that a large body is taken to have; those that come are of 20 to 360 KB."""

TRANSFER_SECONDS = 0.25
"""So many typical bodies are taken in at a time as the link carries in this time."""

MIN_TRANSFERS = 2
"""With one alone the link would idle while its sender is slow."""

LINK_QUEUE_SECONDS = 0.03
"""A sender may have so much of the link's work under way: the delay of what is behind."""

LEAST_WINDOW_BYTES = 16 * 1024

MOST_SECONDS = 1.0
"""A body that has not come by then counts no longer: a caller that stalls keeps nobody
else out.  Four times what a typical body takes."""


LONG_TRANSFER_SECONDS = 0.005
"""A body that takes its sender's link longer than this goes only where its call is taken.
Asking first costs one more way there and back, 1 to 3 ms between zones.  Measured on 74
machines of 1 Mbit/s whose calls carry 4 KB: bodies sent along with asks that were refused
took 2 to 3 times the bytes of those that were run, and filled the links."""


def takes_long(length: int | None, link_megabits: float) -> bool:
    """Whether a link of that rate (0: wide enough) needs long for a body; None: unknown."""
    if link_megabits <= 0.0 or length == 0:
        return False
    if length is None:
        return True
    return length > link_megabits * BYTES_PER_MEGABIT * LONG_TRANSFER_SECONDS


class BodyTransfers:
    """Bodies that are being taken in; each is given back once it is whole or given up."""

    __slots__ = ("_most", "running", "window_bytes")

    def __init__(self, link_megabits: float = 0.0) -> None:
        """Begin without bodies; 0 stands for a link that is wide enough for all."""
        per_second = link_megabits * BYTES_PER_MEGABIT
        self.running = 0
        self.window_bytes = STREAM_WINDOW_BYTES
        self._most = 0
        if per_second > 0.0:
            window = int(per_second * LINK_QUEUE_SECONDS)
            self.window_bytes = min(STREAM_WINDOW_BYTES, max(LEAST_WINDOW_BYTES, window))
            carried = int(per_second * TRANSFER_SECONDS / TYPICAL_BODY_BYTES)
            self._most = max(MIN_TRANSFERS, carried)

    @property
    def has_room(self) -> bool:
        """Whether one more body may come."""
        return self._most == 0 or self.running < self._most

    def begin(self) -> bool:
        """Take in one more body, if there is room."""
        if not self.has_room:
            return False
        self.running += 1
        return True

    def end(self) -> None:
        """A body is whole or given up."""
        assert self.running > 0, "a transfer ended twice"
        self.running -= 1
