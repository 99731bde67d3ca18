"""Linearizable reads: confirmed by this replica if it leads, else by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.consensus import ReadIndexReply, ReadIndexRequest
from peppershore.process.consensus.outputs import Output, ReadConfirmed, ReadFailed
from peppershore.process.consensus.reads import ReadTable

if TYPE_CHECKING:
    from peppershore.process.consensus.replica import ReplicaCore


class ReplicaReads:
    """Reads of this replica's clients, and those that other replicas forward to it."""

    def __init__(self, replica: ReplicaCore) -> None:
        """Start without pending reads of ``replica``."""
        self._replica = replica
        self._table = ReadTable()

    def begin_read(self) -> int:
        """Start a read; return the request number passed to ``on_read``."""
        replica = self._replica
        request = self._table.register_local()
        if replica.consensus.leadership is not None:
            replica.consensus.read(request, replica.now)
        elif not self._forward(request):
            replica.consensus.emit(ReadFailed(request))
        return request

    def handle_request(self, peer: str, message: ReadIndexRequest) -> None:
        """Handle a read that another replica forwards to this one."""
        request = self._table.register_for_peer(peer, message.request)
        self._replica.consensus.read(request, self._replica.now)

    def handle_reply(self, message: ReadIndexReply) -> None:
        """Handle the leader's answer to a forwarded read."""
        if not self._table.finish_forwarded(message.request):
            return
        if message.confirmed:
            self._table.confirm(message.request, message.index)
            self.answer_ready()
        else:
            self._replica.on_read(message.request, confirmed=False)

    def handle_output(self, output: Output) -> None:
        """Handle a read that the consensus core confirmed or failed."""
        if isinstance(output, ReadConfirmed):
            if not self._answer_peer(output.request, output.index, True):
                self._table.confirm(output.request, output.index)
                self.answer_ready()
        elif isinstance(output, ReadFailed) and not self._answer_peer(
            output.request, 0, False
        ):
            self._replica.on_read(output.request, confirmed=False)

    def answer_ready(self) -> None:
        """Answer the confirmed reads whose index has been applied."""
        for request in self._table.pop_ready(self._replica.applied_index):
            self._replica.on_read(request, confirmed=True)

    def leader_lost(self) -> None:
        """Fail the reads forwarded to a leader that is lost."""
        self._table.fail_forwarded(self._replica.consensus)

    def _forward(self, request: int) -> bool:
        replica = self._replica
        leader = replica.consensus.leader
        link = replica.peers.link_to(leader)
        if not leader or link is None:
            return False
        self._table.forward(request)
        replica.send(link, ReadIndexRequest(request))
        return True

    def _answer_peer(self, request: int, index: int, confirmed: bool) -> bool:
        """Answer the peer that forwarded this read; return False for a local read."""
        remote = self._table.pop_remote(request)
        if remote is None:
            return False
        reply = ReadIndexReply(remote.request, index, confirmed)
        self._replica.send_to_peer(remote.peer, reply)
        return True
