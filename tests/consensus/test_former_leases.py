"""A restarted voter withholds its vote while a former leader may hold a lease.

It must not vote earlier, as it forgot which lease it had acknowledged; and it must not
wait longer, as then a group without any leader would wait for an election timeout.
"""

from __future__ import annotations

import itertools

import pytest
from tests.consensus.control_cluster import ControlCluster
from tests.consensus.self_kept_cluster import SelfKeptCluster

from peppershore.connection.messages.consensus import (
    EntryKind,
    LogEntry,
    Membership,
    ReplicaMember,
    VoteReply,
    VoteRequest,
)
from peppershore.process.consensus.core import Consensus
from peppershore.process.consensus.former_leases import FormerLeases
from peppershore.process.consensus.membership import encode_membership, without_member
from peppershore.process.consensus.outputs import Persist, SendToPeer
from peppershore.process.consensus.records import HardState, StoredState
from peppershore.process.consensus.settings import ConsensusSettings
from peppershore.process.randomness import Randomness

NAMES = ("a", "b", "c")
SEEDS = range(1, 26)
ELECTION_SECONDS = 0.4


def cluster_with_leader(seed: int) -> ControlCluster:
    cluster = ControlCluster(NAMES, seed=seed)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(2 * ELECTION_SECONDS)
    return cluster


def restart(cluster: ControlCluster, *names: str) -> None:
    for name in names:
        cluster.crash(name)
    cluster.run(0.01)
    for name in names:
        cluster.start(name)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_killed_at_once_have_a_leader_long_before_an_election_timeout(
    seed: int,
) -> None:
    cluster = cluster_with_leader(seed)
    restart(cluster, *NAMES)
    started = cluster.time
    cluster.run_until(lambda: cluster.leader() is not None)
    assert cluster.time - started < 0.5 * ELECTION_SECONDS


@pytest.mark.parametrize("seed", SEEDS)
def test_voters_that_restart_elect_nobody_while_their_leader_holds_its_lease(
    seed: int,
) -> None:
    """The leader is partitioned; its lease relies on what both voters acknowledged."""
    cluster = cluster_with_leader(seed)
    leader = cluster.leader()
    assert leader is not None
    others = [name for name in NAMES if name != leader]
    cluster.cut_off(leader)
    restart(cluster, *others)
    former = cluster.core(leader).consensus
    while cluster.leader() in (None, leader):
        assert cluster.time < 20.0
        cluster.run(0.005)
        now = 1_000 + cluster.time * cluster.replicas[leader].clock_rate
        holds = former.leadership is not None and former.leadership.lease_valid(now)
        elected = [
            name for name in others if cluster.core(name).consensus.leadership is not None
        ]
        assert not (holds and elected)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restarting_follower_does_not_disturb_its_leader(seed: int) -> None:
    cluster = cluster_with_leader(seed)
    leader = cluster.leader()
    assert leader is not None
    term = cluster.core(leader).consensus.term
    restart(cluster, next(name for name in NAMES if name != leader))
    cluster.run(3 * ELECTION_SECONDS)
    assert cluster.leader() == leader
    assert cluster.core(leader).consensus.term == term


def test_voters_wait_while_a_possible_former_leader_is_unreachable() -> None:
    """The unreachable voter may still lead, as nobody knows that it was killed too."""
    cluster = cluster_with_leader(1)
    for name in NAMES:
        cluster.crash(name)
    cluster.run(0.01)
    cluster.start("a")
    cluster.start("b")
    cluster.run(0.9 * ELECTION_SECONDS)
    assert cluster.leader() is None
    cluster.run_until(lambda: cluster.leader() is not None)


def test_a_member_back_with_a_blank_disk_counts_as_not_leading() -> None:
    """Where names are addresses, no other process can still lead at its address."""
    cluster = SelfKeptCluster(NAMES)
    cluster.run_until(lambda: cluster.voters() == NAMES)
    cluster.run(2 * ELECTION_SECONDS)
    for name in NAMES:
        cluster.crash(name)
    cluster.blank_disk("b")
    cluster.run(0.01)
    for name in NAMES:
        cluster.restart_later(name)
    started = cluster.time
    cluster.run_until(lambda: cluster.leader() is not None)
    assert cluster.time - started < 0.5 * ELECTION_SECONDS


# --- a single voter ------------------------------------------------------------


MEMBERS = Membership(
    tuple(ReplicaMember(name, name, number, True) for number, name in enumerate(NAMES, 1))
)


def started_voter(*memberships: Membership) -> Consensus:
    """Return replica "a", just started with these memberships in its log."""
    entries = tuple(
        LogEntry(index, 1, EntryKind.MEMBERSHIP, encode_membership(membership))
        for index, membership in enumerate(memberships, 1)
    )
    stored = StoredState(1, group_id=7, hard_state=HardState(1, ""), entries=entries)
    core = Consensus(ConsensusSettings(replica="a"), stored, Randomness(1))
    core.start(now=100.0)
    return core


def grants_vote(core: Consensus, request: VoteRequest, now: float) -> bool:
    core.receive("b", 2, request, now)
    tokens = itertools.count(1)
    while True:
        outputs = core.take_outputs()
        for output in outputs:
            if isinstance(output, Persist):
                core.persisted(output.token, now)
            elif isinstance(output, SendToPeer):
                assert isinstance(output.message, VoteReply)
                return output.message.granted
        assert next(tokens) < 10, "no answer to the request"


def vote_request(last_index: int, pre_vote: bool = False) -> VoteRequest:
    return VoteRequest(2, last_index, 1, pre_vote)


def test_a_vote_is_withheld_until_all_possible_former_leaders_deny_leading() -> None:
    core = started_voter(MEMBERS)
    assert not grants_vote(core, vote_request(1), 100.1)
    assert core.note_not_leading("b", 100.1) is None
    assert not grants_vote(core, vote_request(1), 100.1)
    assert core.note_not_leading("c", 100.1) is not None
    assert grants_vote(core, vote_request(1), 100.1)


def test_a_member_removed_by_the_newest_membership_may_have_led() -> None:
    """A removed leader keeps leading until that membership is committed."""
    core = started_voter(MEMBERS, without_member(MEMBERS, "c"))
    core.note_not_leading("b", 100.1)
    assert not grants_vote(core, vote_request(2), 100.1)
    core.note_not_leading("c", 100.1)
    assert grants_vote(core, vote_request(2), 100.1)


@pytest.mark.parametrize("pre_vote", [True, False])
def test_an_early_vote_is_granted_only_between_equal_logs(pre_vote: bool) -> None:
    """A longer log may hold members, so possible leaders, that this one does not."""
    core = started_voter(MEMBERS)
    core.note_not_leading("b", 100.1)
    core.note_not_leading("c", 100.1)
    assert not grants_vote(core, vote_request(2, pre_vote), 100.1)
    assert grants_vote(core, vote_request(2, pre_vote), 100.1 + ELECTION_SECONDS)


def test_a_former_lease_is_possible_until_denied_or_expired() -> None:
    leases = FormerLeases(ELECTION_SECONDS)
    leases.begin(100.0)
    assert leases.may_be_valid(frozenset({"b"}), 100.1)
    leases.note_not_leading("b")
    assert not leases.may_be_valid(frozenset({"b"}), 100.1)
    assert not leases.may_be_valid(frozenset({"b", "c"}), 100.0 + ELECTION_SECONDS)
