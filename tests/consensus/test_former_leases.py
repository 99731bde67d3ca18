"""After a restart a voter waits for a former leader only as long as one may lead."""

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


def led(seed: int) -> ControlCluster:
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
    cluster = led(seed)
    restart(cluster, *NAMES)
    started = cluster.time
    cluster.run_until(lambda: cluster.leader() is not None)
    assert cluster.time - started < 0.5 * ELECTION_SECONDS


@pytest.mark.parametrize("seed", SEEDS)
def test_voters_that_restart_elect_nobody_while_their_leader_holds_its_lease(
    seed: int,
) -> None:
    """The leader is cut off, and its lease counts on what both answered before."""
    cluster = led(seed)
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
def test_one_that_restarts_leaves_its_leader_in_place(seed: int) -> None:
    cluster = led(seed)
    leader = cluster.leader()
    assert leader is not None
    term = cluster.core(leader).consensus.term
    restart(cluster, next(name for name in NAMES if name != leader))
    cluster.run(3 * ELECTION_SECONDS)
    assert cluster.leader() == leader
    assert cluster.core(leader).consensus.term == term


def test_with_a_voter_that_says_nothing_the_others_wait() -> None:
    """It may lead: it is not known whether it was killed as well."""
    cluster = led(1)
    for name in NAMES:
        cluster.crash(name)
    cluster.run(0.01)
    cluster.start("a")
    cluster.start("b")
    cluster.run(0.9 * ELECTION_SECONDS)
    assert cluster.leader() is None
    cluster.run_until(lambda: cluster.leader() is not None)


def test_a_member_back_with_an_empty_disk_is_known_not_to_lead() -> None:
    """In a group whose names are addresses, nobody else answers at its address."""
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


# --- one voter by itself -------------------------------------------------------


MEMBERS = Membership(
    tuple(ReplicaMember(name, name, number, True) for number, name in enumerate(NAMES, 1))
)


def voter(*memberships: Membership) -> Consensus:
    """Give replica "a", just started with these memberships in its log."""
    entries = tuple(
        LogEntry(index, 1, EntryKind.MEMBERSHIP, encode_membership(membership))
        for index, membership in enumerate(memberships, 1)
    )
    stored = StoredState(1, group_id=7, hard_state=HardState(1, ""), entries=entries)
    core = Consensus(ConsensusSettings(replica="a"), stored, Randomness(1))
    core.start(now=100.0)
    return core


def vote_of(core: Consensus, request: VoteRequest, now: float) -> bool:
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


def asks(last_index: int, pre_vote: bool = False) -> VoteRequest:
    return VoteRequest(2, last_index, 1, pre_vote)


def test_a_vote_waits_for_everybody_who_may_have_led() -> None:
    core = voter(MEMBERS)
    assert not vote_of(core, asks(1), 100.1)
    assert core.note_not_leading("b", 100.1) is None
    assert not vote_of(core, asks(1), 100.1)
    assert core.note_not_leading("c", 100.1) is not None
    assert vote_of(core, asks(1), 100.1)


def test_one_that_the_newest_membership_leaves_out_may_have_led() -> None:
    """Until that membership is committed, it leads on."""
    core = voter(MEMBERS, without_member(MEMBERS, "c"))
    core.note_not_leading("b", 100.1)
    assert not vote_of(core, asks(2), 100.1)
    core.note_not_leading("c", 100.1)
    assert vote_of(core, asks(2), 100.1)


@pytest.mark.parametrize("pre_vote", [True, False])
def test_an_early_vote_is_given_only_between_equal_logs(pre_vote: bool) -> None:
    """A longer log may know of members, so of leaders, that this one does not."""
    core = voter(MEMBERS)
    core.note_not_leading("b", 100.1)
    core.note_not_leading("c", 100.1)
    assert not vote_of(core, asks(2, pre_vote), 100.1)
    assert vote_of(core, asks(2, pre_vote), 100.1 + ELECTION_SECONDS)


def test_a_leader_of_this_life_is_waited_for_as_ever() -> None:
    leases = FormerLeases(ELECTION_SECONDS)
    leases.begin(100.0)
    assert leases.may_be_valid(frozenset({"b"}), 100.1)
    leases.note_not_leading("b")
    assert not leases.may_be_valid(frozenset({"b"}), 100.1)
    assert not leases.may_be_valid(frozenset({"b", "c"}), 100.0 + ELECTION_SECONDS)
