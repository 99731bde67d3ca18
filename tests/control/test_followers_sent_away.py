"""A replica whose disk refuses writes redirects its relays to other replicas at once."""

from __future__ import annotations

import pytest
from tests.consensus.control_cluster import ControlCluster

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import SubmitEdit
from peppershore.connection.messages.relay import FollowRequest
from peppershore.connection.messages.session import Goodbye
from peppershore.version.model import Edit, Overrides, SetOverrides

CONFIRMATION_SECONDS = 2.0
"""Time that a relay waits for a confirmation before it leaves by itself."""


def _messages_to_a_relay_of_the_leader(cluster: ControlCluster) -> list[Message]:
    cluster.run_until(lambda: cluster.leader() is not None)
    leader = cluster.leader()
    assert leader is not None
    received: list[Message] = []
    link = cluster.connect(leader, received.append)
    assert link is not None
    cluster.send(leader, link, FollowRequest("test", "r1", "pasila", 0))
    cluster.run(0.1)
    cluster.replicas[leader].disk_full = True
    operator = cluster.connect(leader, lambda _message: None)
    assert operator is not None
    edit = Edit("one", (SetOverrides("/kassa", Overrides(slots=9)),))
    cluster.send(leader, operator, SubmitEdit(edit))
    cluster.run(CONFIRMATION_SECONDS / 10)
    return received


@pytest.mark.parametrize("names", [("a", "b", "c"), ("a", "b", "c", "d", "e")])
def test_relays_are_sent_away_by_a_full_disk(names: tuple[str, ...]) -> None:
    received = _messages_to_a_relay_of_the_leader(ControlCluster(names, seed=4))
    assert sum(isinstance(each, Goodbye) for each in received) == 1


def test_relays_of_the_only_replica_stay() -> None:
    received = _messages_to_a_relay_of_the_leader(ControlCluster(("a",), seed=4))
    assert not any(isinstance(each, Goodbye) for each in received)
