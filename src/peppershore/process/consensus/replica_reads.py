"""How a replica confirms reads: by its own leadership, or by asking the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.consensus import ReadIndexReply, ReadIndexRequest
from peppershore.process.consensus.outputs import Output, ReadConfirmed, ReadFailed
from peppershore.process.consensus.reads import ReadTable

if TYPE_CHECKING:
    from peppershore.process.consensus.replica import ReplicaCore


class ReplicaReads:
    """The reads of this replica's clients, and those that peers forward to it."""

    def __init__(self, replica: ReplicaCore) -> None:
        """Start without reads."""
        self._replica = replica
        self._table = ReadTable()

    def ask(self) -> int:
        """Ask for a confirmed read; ``on_read`` answers with this request's number."""
        replica = self._replica
        request = self._table.take_local()
        if replica.consensus.leadership is not None:
            replica.consensus.read(request, replica.now)
        elif not self._forward(request):
            replica.consensus.emit(ReadFailed(request))
        return request

    def take_request(self, peer: str, message: ReadIndexRequest) -> None:
        """A follower forwards a read to this replica."""
        request = self._table.take_for_peer(peer, message.request)
        self._replica.consensus.read(request, self._replica.now)

    def take_reply(self, message: ReadIndexReply) -> None:
        """The leader answered a forwarded read."""
        if not self._table.forwarded_answered(message.request):
            return
        if message.confirmed:
            self._table.confirm(message.request, message.index)
            self.answer_ready()
        else:
            self._replica.on_read(message.request, confirmed=False)

    def take_output(self, output: Output) -> None:
        """The consensus core confirmed a read, or could not."""
        if isinstance(output, ReadConfirmed):
            if not self._answer_peer(output.request, output.index, True):
                self._table.confirm(output.request, output.index)
                self.answer_ready()
        elif isinstance(output, ReadFailed) and not self._answer_peer(
            output.request, 0, False
        ):
            self._replica.on_read(output.request, confirmed=False)

    def answer_ready(self) -> None:
        """Answer the confirmed reads that the state has caught up with."""
        for request in self._table.take_ready(self._replica.applied_index):
            self._replica.on_read(request, confirmed=True)

    def leader_gone(self) -> None:
        """Nobody will answer what was forwarded to the leader."""
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
        """Answer the peer that forwarded this read; False if it is a client's own."""
        remote = self._table.take_remote(request)
        if remote is None:
            return False
        reply = ReadIndexReply(remote.request, index, confirmed)
        self._replica.send_to_peer(remote.peer, reply)
        return True
