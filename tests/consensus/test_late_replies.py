"""Replies that are delivered late, over another link between the same replicas.

Guards against a lease that a reply to an earlier term's request lengthens: rounds are
numbered anew in each term, and the reply carries the present term of its sender.
"""

from __future__ import annotations

import pytest

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.consensus import (
    AppendReply,
    AppendRequest,
    Membership,
    ReplicaMember,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from peppershore.process.consensus.core import Consensus
from peppershore.process.consensus.outputs import Persist, SendToPeer
from peppershore.process.consensus.records import HardState, StoredState
from peppershore.process.consensus.settings import ConsensusSettings
from peppershore.process.randomness import Randomness

MEMBERS = Membership(
    tuple(ReplicaMember(name, name, number, True) for number, name in enumerate("abc", 1))
)
TICK_SECONDS = 0.02
LATE_ROUND = 500


class LeaderAlone:
    """Replica "a", elected with the vote of "b"; nobody replies to its entries."""

    def __init__(self) -> None:
        stored = StoredState(1, hard_state=HardState(4, ""))
        self.core = Consensus(ConsensusSettings(replica="a"), stored, Randomness(1))
        self.now = 100.0
        self.requests: list[AppendRequest] = []
        self.core.start(self.now)
        self.core.found(MEMBERS, self.now)
        self.run_until_leader()

    def run_until_leader(self) -> None:
        for _ in range(500):
            self.step()
            if self.core.leadership is not None:
                return
        raise AssertionError("not elected")

    def step(self) -> None:
        self.now += TICK_SECONDS
        self.core.tick(self.now)
        self.core.flush(self.now)
        self._carry_out()

    def receive(self, message: Message) -> None:
        self.core.receive("b", 2, message, self.now)
        self._carry_out()

    def lease_valid(self) -> bool:
        leadership = self.core.leadership
        return leadership is not None and leadership.lease_valid(self.now)

    def _carry_out(self) -> None:
        while outputs := self.core.take_outputs():
            for output in outputs:
                if isinstance(output, Persist):
                    self.core.persisted(output.token, self.now)
                elif isinstance(output, SendToPeer):
                    self._sent(output)

    def _sent(self, output: SendToPeer) -> None:
        message = output.message
        if isinstance(message, AppendRequest):
            self.requests.append(message)
        elif isinstance(message, VoteRequest) and output.peer == "b":
            term = message.term
            self.core.receive("b", 2, VoteReply(term, True, message.pre_vote), self.now)


def late_replies(term: int) -> list[Message]:
    return [
        AppendReply(term, False, 0, LATE_ROUND, request_term=term - 1),
        SnapshotReply(term, 9, 0, LATE_ROUND, request_term=term - 1),
    ]


@pytest.mark.parametrize("kind", [0, 1])
def test_a_reply_to_a_request_of_an_earlier_term_gives_no_lease(kind: int) -> None:
    leader = LeaderAlone()
    leader.receive(late_replies(leader.core.term)[kind])
    assert not leader.lease_valid()
    leader.step()
    assert not leader.lease_valid()


def test_a_reply_to_a_request_of_this_term_gives_a_lease() -> None:
    leader = LeaderAlone()
    sent = leader.requests[-1]
    term = leader.core.term
    leader.receive(AppendReply(term, False, 0, sent.round, request_term=term))
    assert leader.lease_valid()


def test_a_follower_names_the_term_of_the_request_that_it_answers() -> None:
    leader = LeaderAlone()
    term = leader.core.term
    leader.core.receive(
        "b", 2, AppendRequest(term - 1, 0, 0, 0, (), LATE_ROUND), leader.now
    )
    replies = [
        each.message
        for each in leader.core.take_outputs()
        if isinstance(each, SendToPeer) and isinstance(each.message, AppendReply)
    ]
    assert [(each.term, each.request_term) for each in replies] == [(term, term - 1)]
