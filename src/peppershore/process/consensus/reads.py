"""Reads that wait for a quorum's confirmation, or for entries to be applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from peppershore.process.consensus.outputs import ReadFailed

if TYPE_CHECKING:
    from peppershore.process.consensus.core import Consensus


class RemoteRead(msgspec.Struct, frozen=True):
    """A read that another replica forwarded to this one."""

    peer: str
    request: int


class ReadTable:
    """Pending linearizable reads of one replica by request number."""

    def __init__(self) -> None:
        """Start without pending reads."""
        self._last_request = 0
        self._remote: dict[int, RemoteRead] = {}
        self._forwarded: set[int] = set()
        self._confirmed: dict[int, int] = {}

    def register_local(self) -> int:
        """Return the request number of a new read of a local client."""
        self._last_request += 1
        return self._last_request

    def register_for_peer(self, peer: str, request: int) -> int:
        """Register a read that another replica forwarded; return its request number."""
        number = self.register_local()
        self._remote[number] = RemoteRead(peer, request)
        return number

    def pop_remote(self, request: int) -> RemoteRead | None:
        """Remove and return a read that another replica forwarded; None if it is local."""
        return self._remote.pop(request, None)

    def forward(self, request: int) -> None:
        """Record that a local read was forwarded to the leader."""
        self._forwarded.add(request)

    def finish_forwarded(self, request: int) -> bool:
        """Remove a forwarded read on its answer; return whether it was still pending."""
        if request not in self._forwarded:
            return False
        self._forwarded.remove(request)
        return True

    def fail_forwarded(self, consensus: Consensus) -> None:
        """Fail all forwarded reads, as the leader will not answer them."""
        for request in sorted(self._forwarded):
            consensus.emit(ReadFailed(request))
        self._forwarded.clear()

    def confirm(self, request: int, index: int) -> None:
        """Record that a read may be answered once the entry at ``index`` is applied."""
        self._confirmed[request] = index

    def pop_ready(self, applied_index: int) -> list[int]:
        """Remove and return the numbers of the reads that may be answered now.

        ``applied_index`` is the index of the newest entry that the state machine applied.
        """
        ready = [each for each, index in self._confirmed.items() if index <= applied_index]
        for request in ready:
            del self._confirmed[request]
        return ready
