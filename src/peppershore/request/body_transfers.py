"""Limit on how many large request bodies one machine receives at a time, by its link.

On a narrow link, many concurrent bodies slow each other down, hold their slots meanwhile,
and delay the small messages of other calls behind their bytes. A few at a time fill the
link just as well. A call that finds no room is refused before its body is sent.
"""

from __future__ import annotations

from peppershore.connection.messages.calls import STREAM_WINDOW_BYTES

BYTES_PER_MEGABIT = 125_000
TYPICAL_BODY_BYTES = 64 * 1024
"""Assumed size of a large body; real ones are of 20 to 360 KB."""

TRANSFER_SECONDS = 0.25
"""The limit is the number of typical bodies that the link carries in this time."""

MIN_TRANSFERS = 2
"""With a limit of one, the link would be idle while that one sender is slow."""

LINK_QUEUE_SECONDS = 0.03
"""A sender may have as many bytes in flight as the link carries in this time, which is the
delay it can cause for later messages."""

LEAST_WINDOW_BYTES = 16 * 1024

MOST_SECONDS = 1.0
"""A transfer that takes longer no longer counts against the limit, so that a stalled caller
does not block others. Four times as long as a typical body takes."""


LONG_TRANSFER_SECONDS = 0.005
"""A body that takes its sender's link longer than this is sent only once its call has been
accepted. Asking first costs one more round trip, 1 to 3 ms between zones. On 74 machines
with links of 1 Mbit/s and bodies of 4 KB, bodies sent with requests that were then refused
used 2 to 3 times the bytes of those that ran, and saturated the links."""


def takes_long(length: int | None, link_megabits: float) -> bool:
    """Report whether a body of ``length`` bytes (None: unknown) takes long to send.

    ``link_megabits`` is the rate of the sender's link in Mbit/s; 0 means that the link is
    wide enough for any body.
    """
    if link_megabits <= 0.0 or length == 0:
        return False
    if length is None:
        return True
    return length > link_megabits * BYTES_PER_MEGABIT * LONG_TRANSFER_SECONDS


class BodyTransfers:
    """Counts the bodies being received; each ends when it is complete or given up."""

    __slots__ = ("_most", "running", "window_bytes")

    def __init__(self, link_megabits: float = 0.0) -> None:
        """Start without transfers on a link of ``link_megabits`` (Mbit/s).

        0 means that the link is wide enough for any number of transfers.
        """
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
        """Whether one more body may be received."""
        return self._most == 0 or self.running < self._most

    def begin(self) -> bool:
        """Begin one more transfer and return True, or return False if there is no room."""
        if not self.has_room:
            return False
        self.running += 1
        return True

    def end(self) -> None:
        """Record that a transfer has completed or was given up."""
        assert self.running > 0, "a transfer ended twice"
        self.running -= 1
