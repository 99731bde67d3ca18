"""Events that only a node has."""

from __future__ import annotations

from peppershore.process.events import Event


class BackendStateChanged(Event, frozen=True):
    """The data plane sees its back end in another state ("warming", "ready", "gone")."""

    state: str


class BackendDrained(Event, frozen=True):
    """The work in flight is finished, or its bound has passed."""
