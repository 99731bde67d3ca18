"""Base of the typed messages on the links between the system's own processes."""

from __future__ import annotations

import msgspec

from peppershore.version.hidden import describe


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of every message that processes exchange on links."""

    def __repr__(self) -> str:
        """Show only the lengths of byte strings, not their content."""
        return describe(self)
