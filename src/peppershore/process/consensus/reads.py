"""Reads that wait for a quorum's confirmation or for the state to catch up."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from peppershore.process.consensus.outputs import ReadFailed

if TYPE_CHECKING:
    from peppershore.process.consensus.core import Consensus


class RemoteRead(msgspec.Struct, frozen=True):
    """A read that another replica forwarded to this leader."""

    peer: str
    request: int


class ReadTable:
    """Numbers reads and remembers where each one stands."""

    def __init__(self) -> None:
        """Start without reads."""
        self._last_request = 0
        self._remote: dict[int, RemoteRead] = {}
        self._forwarded: set[int] = set()
        self._confirmed: dict[int, int] = {}

    def take_local(self) -> int:
        """Number a read of this replica's own client."""
        self._last_request += 1
        return self._last_request

    def take_for_peer(self, peer: str, request: int) -> int:
        """Number a read that another replica forwarded."""
        number = self.take_local()
        self._remote[number] = RemoteRead(peer, request)
        return number

    def take_remote(self, request: int) -> RemoteRead | None:
        """Whose forwarded read this is, once; None for an own client's."""
        return self._remote.pop(request, None)

    def forward(self, request: int) -> None:
        """The read was forwarded to the leader."""
        self._forwarded.add(request)

    def forwarded_answered(self, request: int) -> bool:
        """The leader answered; whether that read still waited."""
        if request not in self._forwarded:
            return False
        self._forwarded.remove(request)
        return True

    def fail_forwarded(self, consensus: Consensus) -> None:
        """The leader is gone: no forwarded read will be answered."""
        for request in sorted(self._forwarded):
            consensus.emit(ReadFailed(request))
        self._forwarded.clear()

    def confirm(self, request: int, index: int) -> None:
        """The read may be answered once the entry at ``index`` is applied."""
        self._confirmed[request] = index

    def take_ready(self, applied_index: int) -> list[int]:
        """Reads that may be answered now."""
        ready = [each for each, index in self._confirmed.items() if index <= applied_index]
        for request in ready:
            del self._confirmed[request]
        return ready
