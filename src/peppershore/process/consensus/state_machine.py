"""What a group replicates: a deterministic state machine over opaque commands."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """Applies committed commands; equal logs give equal states on all replicas."""

    def apply(self, index: int, payload: bytes) -> None:
        """Apply the command of the entry at ``index``; its outcome stays inside."""
        ...

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the whole state by one that ``snapshot`` encoded."""
        ...
