"""Replacement of a claims replica that lost its disk, and the loss of a second one."""

from __future__ import annotations

import pytest
from tests.claims.claims_cluster import NAMES, ClaimsCluster, Node

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.connection.messages.operators import (
    MembershipAnswered,
    MembershipChange,
    StatusAnswered,
    StatusQuery,
)
from peppershore.process.claims.wants import WantTaken

ANSWER = KeptAnswer(200, (), b"paid")


class Operator:
    """Sends messages to the leader over new links and records the answers."""

    def __init__(self, cluster: ClaimsCluster) -> None:
        self.cluster = cluster
        self.answers: list[Message] = []

    def ask(self, message: Message) -> Message:
        leader = self.cluster.leader()
        assert leader is not None
        link = self.cluster.connect(leader, self.answers.append)
        assert link is not None
        seen = len(self.answers)
        self.cluster.send(leader, link, message)
        self.cluster.run_until(lambda: len(self.answers) > seen)
        return self.answers[-1]


@pytest.mark.parametrize("seed", range(1, 5))
def test_second_loss_after_a_replacement_forgets_no_claim(seed: int):
    cluster = ClaimsCluster(seed)
    cluster.run_until(lambda: cluster.leader() is not None)
    node, operator = Node(cluster, "n1"), Operator(cluster)
    for number in range(40):
        node.outcome(f"pay-{number}", f"n1/{number}")
        node.complete(f"pay-{number}", f"n1/{number}", ANSWER)
    cluster.run_until(lambda: node.core.pending == 0)
    lost = next(name for name in NAMES if name != cluster.leader())
    cluster.crash(lost)
    assert operator.ask(MembershipChange("remove", lost, "")) == MembershipAnswered("")
    cluster.add("c4", join=True)
    cluster.start("c4")
    assert operator.ask(MembershipChange("add", "c4", "c4")) == MembershipAnswered("")
    status = operator.ask(StatusQuery())
    assert isinstance(status, StatusAnswered)
    assert all(each.voter for each in status.replicas)
    leader = cluster.leader()
    assert leader is not None
    cluster.crash(leader)
    cluster.run_until(lambda: cluster.leader() is not None)
    later = Node(cluster, "n2", addresses=(*NAMES, "c4"))
    for number in range(40):
        assert later.outcome(f"pay-{number}", f"n2/{number}") == WantTaken(ANSWER)


def test_replaced_replica_with_an_empty_disk_under_its_old_name_is_not_counted():
    cluster = ClaimsCluster(7)
    cluster.run_until(lambda: cluster.leader() is not None)
    node = Node(cluster, "n1")
    node.outcome("pay-1", "n1/1")
    leader = cluster.leader()
    blank, other = (name for name in NAMES if name != leader)
    cluster.crash(blank)
    cluster.blank_disk(blank)
    cluster.start(blank)
    cluster.crash(other)
    cluster.run(5.0)
    assert cluster.leader() is None, "the empty store votes for nobody"
