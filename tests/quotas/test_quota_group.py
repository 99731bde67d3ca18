"""Quota requests at control replicas: only a leader confirmed by a quorum grants calls."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from tests.consensus.control_cluster import ControlCluster

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import (
    NotLeader,
    TenantUsageAnswered,
    TenantUsageQuery,
)
from peppershore.connection.messages.quotas import QuotaAsked, QuotaGranted, TenantAsk
from peppershore.connection.messages.relay import FollowRequest
from peppershore.process.quotas.limits import Limit
from peppershore.process.settings import ControlSettings, PeerReplica
from peppershore.version.model import Tenant, Tree
from peppershore_lab.quota_world import QUOTAS, bound_of, fullest_window

NAMES = ("a", "b", "c")
LIMIT = Limit(rate=100.0, burst=50.0)
MUCH = 100_000
SETTLE_SECONDS = 1.0


class QuotaCluster(ControlCluster):
    """Control replicas that grant calls of one tenant with a limit."""

    def _settings(
        self, name: str, founders: tuple[PeerReplica, ...], join: bool
    ) -> ControlSettings:
        settings = super()._settings(name, founders, join)
        return msgspec.structs.replace(settings, quotas=QUOTAS)

    def start(self, name: str) -> None:
        super().start(name)
        state = self.core(name).state
        state.tree = with_tenant(state.tree)


def with_tenant(tree: Tree) -> Tree:
    tenant = Tenant(keys=("k",), rate_per_second=LIMIT.rate, burst=LIMIT.burst)
    return msgspec.structs.replace(tree, tenants={"studio": tenant})


@dataclass
class Asker:
    """A relay that follows one replica and requests more calls than the limit allows."""

    cluster: ControlCluster
    replica: str
    number: int = 0
    link: int | None = None
    granted: list[tuple[float, int]] = field(default_factory=list)
    unknown: int = 0

    def begin(self) -> None:
        self.link = self.cluster.connect(self.replica, self.take)
        assert self.link is not None
        follow = FollowRequest("test", f"relay-{self.replica}", "pasila", 0)
        self.cluster.send(self.replica, self.link, follow)

    def take(self, message: Message) -> None:
        if isinstance(message, QuotaGranted):
            self.unknown += not message.is_known
            for grant in message.grants:
                self.granted.append((self.cluster.time, grant.calls))

    def ask(self, calls: int = MUCH) -> None:
        assert self.link is not None
        self.number += 1
        asks = (TenantAsk("studio", calls),)
        self.cluster.send(self.replica, self.link, QuotaAsked(self.number, asks, 7))

    def keep_asking(self, seconds: float, every: float = 0.02) -> None:
        for turn in range(int(seconds / every)):
            self.cluster.later(turn * every, self.ask)


def started(seed: int = 1) -> tuple[QuotaCluster, dict[str, Asker], str]:
    cluster = QuotaCluster(NAMES, seed=seed)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(SETTLE_SECONDS)
    askers = {name: Asker(cluster, name) for name in NAMES}
    for asker in askers.values():
        asker.begin()
    cluster.run(0.1)
    leader = cluster.leader()
    assert leader is not None
    return cluster, askers, leader


def calls_of(askers: dict[str, Asker]) -> list[float]:
    """Return the time of each granted call, as if it ran when its grant arrived."""
    return [
        at for each in askers.values() for at, calls in each.granted for _ in range(calls)
    ]


def test_followers_forward_requests_and_all_share_one_bucket() -> None:
    cluster, askers, _ = started()
    for asker in askers.values():
        asker.keep_asking(6.0)
    cluster.run(7.0)
    assert all(each.granted for each in askers.values())
    assert fullest_window(calls_of(askers), 5.0) <= bound_of(LIMIT)
    assert len(calls_of(askers)) >= 0.95 * 6.0 * LIMIT.rate


def test_a_leader_without_a_quorum_grants_nothing_though_it_believes() -> None:
    cluster, askers, leader = started()
    for asker in askers.values():
        asker.keep_asking(12.0)
    cluster.run(2.0)
    cluster.cut_off(leader)
    election = cluster.core(leader).consensus.settings.election_seconds
    cluster.run(0.9 * election)
    believes = cluster.core(leader).consensus.leadership is not None
    before = sum(calls for _, calls in askers[leader].granted)
    unknown = askers[leader].unknown
    cluster.run(0.1 * election)
    assert believes
    assert sum(calls for _, calls in askers[leader].granted) == before
    assert askers[leader].unknown > unknown
    cut_at = cluster.time
    cluster.run(6.0)
    assert fullest_window(calls_of(askers), 5.0) <= bound_of(LIMIT)
    after = [at for at in calls_of(askers) if at > cut_at]
    assert len(after) >= 4.0 * LIMIT.rate


def test_a_resumed_leader_grants_nothing_before_its_voters_confirm_it() -> None:
    """The resumed leader is cut off, so it would grant calls by its own decision alone."""
    for seed in range(1, 6):
        cluster, askers, leader = started(seed)
        for asker in askers.values():
            asker.keep_asking(14.0)
        cluster.run(1.0)
        cluster.pause(leader)
        cluster.run(5.0)
        slept = askers[leader]
        before, unknown = len(slept.granted), slept.unknown
        cluster.cut_off(leader)
        cluster.resume(leader)
        cluster.run(0.2)
        assert sum(calls for _, calls in slept.granted[before:]) == 0
        assert slept.unknown > unknown
        cluster.cut.clear()
        cluster.run(7.0)
        assert fullest_window(calls_of(askers), 5.0) <= bound_of(LIMIT)


def test_each_new_leader_begins_with_an_empty_bucket() -> None:
    cluster, askers, leader = started()
    cluster.run(3.0)
    for asker in askers.values():
        asker.keep_asking(10.0)
    for _ in range(2):
        cluster.run(1.5)
        leader = cluster.leader() or leader
        cluster.pause(leader)
        cluster.run(1.5)
        cluster.resume(leader)
    cluster.run(4.0)
    assert fullest_window(calls_of(askers), 5.0) <= bound_of(LIMIT)


def test_without_the_setting_a_replica_grants_nothing() -> None:
    cluster = ControlCluster(NAMES, seed=1)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(SETTLE_SECONDS)
    leader = cluster.leader()
    assert leader is not None
    asker = Asker(cluster, leader)
    asker.begin()
    asker.ask()
    cluster.run(0.5)
    assert (asker.granted, asker.unknown) == ([], 1)


def usage(cluster: QuotaCluster, replica: str) -> Message:
    """Return a replica's answer to an operator's query of how tenants use their limits."""
    answers: list[Message] = []
    link = cluster.connect(replica, answers.append)
    assert link is not None
    cluster.send(replica, link, TenantUsageQuery())
    cluster.run(0.1)
    (answer,) = answers
    return answer


def test_the_leader_tells_operators_of_usage_and_others_name_the_leader() -> None:
    cluster, askers, leader = started()
    asker = askers[leader]
    assert asker.link is not None
    cluster.run(2.0)
    for number, refused in enumerate((0, 7), start=1):
        asks = (TenantAsk("studio", 20, refused),)
        cluster.send(leader, asker.link, QuotaAsked(number, asks, 7))
        cluster.run(0.1)
    answer = usage(cluster, leader)
    assert isinstance(answer, TenantUsageAnswered)
    assert answer.is_counted
    assert answer.seconds > 2.0
    (studio,) = answer.tenants
    assert (studio.rate_per_second, studio.burst) == (LIMIT.rate, LIMIT.burst)
    assert (studio.admitted, studio.refused, studio.is_binding) == (40, 7, True)
    follower = next(name for name in NAMES if name != leader)
    pointer = usage(cluster, follower)
    assert isinstance(pointer, NotLeader)
    assert pointer.leader


def test_without_the_setting_the_leader_says_that_it_counts_nothing() -> None:
    cluster = ControlCluster(NAMES, seed=1)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(SETTLE_SECONDS)
    answers: list[Message] = []
    leader = cluster.leader()
    assert leader is not None
    link = cluster.connect(leader, answers.append)
    assert link is not None
    cluster.send(leader, link, TenantUsageQuery())
    cluster.run(0.1)
    (answer,) = answers
    assert isinstance(answer, TenantUsageAnswered)
    assert (answer.is_counted, answer.tenants) == (False, ())
