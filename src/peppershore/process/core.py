"""Interface of the deterministic cores: ``step(event, now) -> commands``."""

from __future__ import annotations

from typing import Protocol

from peppershore.process.commands import Command
from peppershore.process.events import Event


class Core(Protocol):
    """A deterministic state machine without sockets, clocks, files or randomness."""

    def step(self, event: Event, now: float) -> list[Command]:
        """Process one event at monotonic time ``now`` (seconds); return the commands."""
        ...
