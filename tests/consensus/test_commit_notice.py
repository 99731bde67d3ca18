"""The leader sends a new commit index at once, not with the next heartbeat.

Otherwise followers would apply an accepted edit up to one heartbeat interval late.
"""

from __future__ import annotations

import pytest
from tests.consensus.control_cluster import ControlCluster

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import EditAnswered, SubmitEdit
from peppershore.version.model import Edit, Overrides, SetOverrides

NAMES = ("a", "b", "c", "d", "e")
EDITS = 10
ONE_EXCHANGE_SECONDS = 0.006
"""Longer than a message and a disk sync in this test; heartbeats are 50 ms apart."""


@pytest.mark.parametrize("count", [3, 5])
def test_every_follower_applies_an_edit_right_after_its_acceptance(count: int) -> None:
    cluster = ControlCluster(NAMES[:count], seed=count)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(1.0)
    for number in range(EDITS):
        version = _accepted(cluster, number)
        cluster.run(ONE_EXCHANGE_SECONDS)
        held = {name: cluster.core(name).state.tree.version for name in NAMES[:count]}
        assert set(held.values()) == {version}
        cluster.run(cluster.random.uniform(0.0, 0.1))


def _accepted(cluster: ControlCluster, number: int) -> int:
    answers: list[Message] = []
    leader = cluster.leader()
    assert leader is not None
    link = cluster.connect(leader, answers.append)
    assert link is not None
    operation = SetOverrides("/kassa", Overrides(slots=number + 1))
    cluster.send(leader, link, SubmitEdit(Edit(f"edit-{number}", (operation,))))
    while not answers:
        cluster.run(0.0001)
    assert isinstance(answers[0], EditAnswered)
    return cluster.core(leader).state.tree.version
