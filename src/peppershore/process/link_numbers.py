"""Numbers of the links a core opens: odd, rising, never used twice."""

from __future__ import annotations

from peppershore.process.events import LinkId

LINK_STEP = 2


class LinkNumbers:
    """Hands out the link numbers of one core."""

    def __init__(self) -> None:
        """Begin at 1."""
        self._next = 1

    def take(self) -> LinkId:
        """Give a number that was never given before."""
        number = self._next
        self._next += LINK_STEP
        return number
