"""The shape of everything that decides: ``step(event, now) -> commands``."""

from __future__ import annotations

from typing import Protocol

from peppershore.process.commands import Command
from peppershore.process.events import Event


class Core(Protocol):
    """A deterministic state machine without sockets, clocks, files or randomness."""

    def step(self, event: Event, now: float) -> list[Command]:
        """Take one event at monotonic time ``now`` (seconds); give what to do."""
        ...
