"""Crashes of nodes and replicas between a claim and the call's completion."""

from __future__ import annotations

import pytest
from tests.claims.claims_cluster import NAMES, ClaimsCluster, Node

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.client_core import GROUP_TIMEOUT_SECONDS
from peppershore.process.claims.wants import (
    ClaimsGroupAvailable,
    ClaimsGroupUnavailable,
    WantGranted,
    WantTaken,
    WantUnavailable,
)

HORIZON_SECONDS = 3_600
GRANTED = WantGranted(HORIZON_SECONDS)
ANSWER = KeptAnswer(200, (), b"paid")
CLOCK_ADVANCES_SECONDS = 25.0


def led_cluster(seed: int = 1, horizon_seconds: int = HORIZON_SECONDS) -> ClaimsCluster:
    cluster = ClaimsCluster(seed, horizon_seconds=horizon_seconds)
    cluster.run_until(lambda: cluster.leader() is not None)
    return cluster


def kill_all(cluster: ClaimsCluster) -> None:
    for name in NAMES:
        cluster.crash(name)


def start_all(cluster: ClaimsCluster) -> None:
    for name in NAMES:
        cluster.start(name)


def test_node_dead_after_its_claim_leaves_the_key_unknown_for_others():
    cluster = led_cluster()
    dying, other = Node(cluster, "n1"), Node(cluster, "n2")
    assert dying.outcome("pay-1", "n1/1") == GRANTED
    dying.die()
    assert other.outcome("pay-1", "n2/1") == WantTaken(None)
    cluster.run(CLOCK_ADVANCES_SECONDS)
    assert other.outcome("pay-1", "n2/2") == WantTaken(None), "time alone frees no key"


def test_node_dead_before_its_claim_was_committed_blocks_the_key_or_leaves_it_free():
    """Both are safe: the crashed node runs nothing, and at most one other attempt may."""
    for seed in range(1, 9):
        cluster = led_cluster(seed)
        dying, other = Node(cluster, "n1"), Node(cluster, "n2")
        dying.claim("pay-1", "n1/1")
        cluster.run(0.0005 * seed)
        dying.die()
        outcome = other.outcome("pay-1", "n2/1")
        assert outcome in (GRANTED, WantTaken(None))
        assert other.outcome("pay-1", "n2/2") == WantTaken(None)


def test_run_without_answer_stays_unknown_through_the_loss_of_every_process():
    """A back end that crashed after running the call leads to no completion or release."""
    cluster = led_cluster()
    node = Node(cluster, "n1")
    assert node.outcome("pay-1", "n1/1") == GRANTED
    kill_all(cluster)
    start_all(cluster)
    cluster.run_until(lambda: cluster.leader() is not None)
    later = Node(cluster, "n2")
    assert later.outcome("pay-1", "n2/1") == WantTaken(None)


def test_kept_answer_is_given_again_through_the_loss_of_every_process():
    cluster = led_cluster()
    node = Node(cluster, "n1")
    assert node.outcome("pay-1", "n1/1") == GRANTED
    node.complete("pay-1", "n1/1", ANSWER)
    cluster.run_until(lambda: node.core.pending == 0)
    kill_all(cluster)
    start_all(cluster)
    cluster.run_until(lambda: cluster.leader() is not None)
    assert Node(cluster, "n2").outcome("pay-1", "n2/1") == WantTaken(ANSWER)


def test_lost_grant_is_given_again_to_the_same_attempt_by_the_next_leader():
    cluster = led_cluster()
    node = Node(cluster, "n1")
    leader = cluster.leader()
    assert leader is not None
    request = node.claim("pay-1", "n1/1")
    cluster.run_until(lambda: cluster.core(leader).machine.table.size == 1)  # type: ignore[attr-defined]
    cluster.crash(leader)
    cluster.run_until(lambda: request in node.outcomes)
    assert node.outcomes[request] == GRANTED
    assert Node(cluster, "n2").outcome("pay-1", "n2/1") == WantTaken(None)


def test_change_of_leader_refuses_nothing():
    cluster = led_cluster()
    node = Node(cluster, "n1")
    assert node.outcome("pay-1", "n1/1") == GRANTED
    leader = cluster.leader()
    assert leader is not None
    cluster.crash(leader)
    assert node.outcome("pay-2", "n1/2") == GRANTED
    assert not any(isinstance(each, ClaimsGroupUnavailable) for each in node.notices)


def test_silent_leader_is_left_and_nothing_refused():
    cluster = led_cluster()
    node = Node(cluster, "n1")
    assert node.outcome("pay-1", "n1/1") == GRANTED
    leader = cluster.leader()
    assert leader is not None
    cluster.pause(leader)
    assert node.outcome("pay-2", "n1/2") == GRANTED


def test_group_that_is_gone_refuses_at_once_and_serves_again_when_back():
    cluster = led_cluster()
    node = Node(cluster, "n1")
    assert node.outcome("pay-0", "n1/0") == GRANTED
    kill_all(cluster)
    first = node.claim("pay-1", "n1/1", seconds=30.0)
    cluster.run_until(lambda: first in node.outcomes)
    assert isinstance(node.outcomes[first], WantUnavailable)
    began = cluster.time
    later = node.claim("pay-2", "n1/2", seconds=30.0)
    assert isinstance(node.outcomes[later], WantUnavailable)
    assert node.ended[later] == began, "a refusal that is known is not held back"
    start_all(cluster)
    cluster.run_until(lambda: not node.core.unavailable)
    assert node.outcome("pay-1", "n1/3") == GRANTED
    assert any(isinstance(each, ClaimsGroupAvailable) for each in node.notices)


def test_group_without_quorum_refuses_within_the_group_timeout():
    cluster = led_cluster()
    node = Node(cluster, "n1")
    leader = cluster.leader()
    for name in NAMES:
        if name != leader:
            cluster.crash(name)
    began = cluster.time
    request = node.claim("pay-1", "n1/1", seconds=30.0)
    cluster.run_until(lambda: request in node.outcomes)
    assert isinstance(node.outcomes[request], WantUnavailable)
    assert node.ended[request] - began <= GROUP_TIMEOUT_SECONDS + 0.2
    for name in NAMES:
        if name != leader:
            cluster.start(name)
    cluster.run_until(lambda: node.core.pending == 0 and not node.core.unavailable)
    assert node.outcome("pay-1", "n1/2") == GRANTED, "the refused claim was released"


def test_record_goes_after_its_horizon_only():
    cluster = led_cluster(horizon_seconds=30)
    node = Node(cluster, "n1")
    assert node.outcome("pay-1", "n1/1") == WantGranted(30)
    cluster.run(25.0)
    assert node.outcome("pay-1", "n1/2") == WantTaken(None)
    cluster.run(30.0)
    assert node.outcome("pay-1", "n1/3") == WantGranted(30)


@pytest.mark.parametrize("small", NAMES)
def test_replica_with_other_bounds_forgets_no_claim_when_it_leads(small: str):
    """Replicas with different settings must still have equal tables."""
    cluster = ClaimsCluster(3, max_records={small: 2})
    cluster.run_until(lambda: cluster.leader() is not None)
    node = Node(cluster, "n1")
    outcomes = {key: node.outcome(key, "n1/1") for key in ("p-1", "p-2", "p-3", "p-4")}
    granted = [key for key, outcome in outcomes.items() if outcome == GRANTED]
    assert len(granted) == (2 if cluster.leader() == small else 4)
    leader = cluster.leader()
    assert leader is not None
    cluster.crash(leader)
    cluster.run_until(lambda: cluster.leader() is not None)
    for key in granted:
        assert node.outcome(key, "n1/2") == WantTaken(None)


class Payouts:
    """Callers of the seeded trial, who retry keys through any node; counts the runs."""

    def __init__(self, cluster: ClaimsCluster) -> None:
        self.cluster = cluster
        self.runs: dict[str, list[str]] = {}
        self.sent = 0

    def send(self, node: Node, key: str) -> None:
        self.sent += 1
        attempt = f"{node.name}/{self.sent}"
        request = node.claim(key, attempt)
        node.on_granted[request] = lambda: self._granted(node, key, attempt)
        if request in node.outcomes and node.outcomes[request] == GRANTED:
            self._granted(node, key, attempt)

    def _granted(self, node: Node, key: str, attempt: str) -> None:
        chance = self.cluster.random.random()
        if chance < 0.15:
            node.release(key, attempt)  # the back end refused the call, so it did not run
            return
        self.runs.setdefault(key, []).append(attempt)
        if chance < 0.8:
            node.complete(key, attempt, ANSWER)


def _one_fault(cluster: ClaimsCluster) -> None:
    down = [name for name, each in cluster.replicas.items() if each.core is None]
    paused = [name for name, each in cluster.replicas.items() if each.paused]
    chance = cluster.random.random()
    name = cluster.random.choice(NAMES)
    if down and chance < 0.5:
        cluster.start(down[0])
    elif paused and chance < 0.6:
        cluster.resume(paused[0])
    elif chance < 0.75 and name not in down:
        cluster.crash(name)
    elif chance < 0.9 and name not in down + paused:
        cluster.pause(name)
    elif cluster.cut:
        cluster.cut.clear()
    else:
        cluster.cut_off(name)


@pytest.mark.parametrize("seed", range(1, 13))
def test_no_key_runs_twice_under_seeded_faults(seed: int):
    cluster = led_cluster(seed)
    nodes = [Node(cluster, f"n{number}") for number in range(4)]
    payouts = Payouts(cluster)
    keys = [f"pay-{number}" for number in range(25)]
    for step in range(300):
        payouts.send(cluster.random.choice(nodes), cluster.random.choice(keys))
        cluster.run(0.05)
        if step % 6 == 0:
            _one_fault(cluster)
        if step % 50 == 49:
            victim = cluster.random.randrange(len(nodes))
            nodes[victim].die()
            nodes[victim] = Node(cluster, f"n{victim}.{step}")
    assert payouts.runs, "the trial ran nothing"
    for key, attempts in payouts.runs.items():
        assert len(attempts) == 1, f"{key} ran for {attempts}"
