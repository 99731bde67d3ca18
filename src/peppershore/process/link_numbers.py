"""Numbers of the links that a core opens: odd, increasing and never reused."""

from __future__ import annotations

from peppershore.process.events import LinkId

LINK_STEP = 2


class LinkNumbers:
    """Allocates the link numbers of one core."""

    def __init__(self) -> None:
        """Start with 1 as the first number."""
        self._next = 1

    def take(self) -> LinkId:
        """Return the next unused link number."""
        number = self._next
        self._next += LINK_STEP
        return number
