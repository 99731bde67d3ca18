"""Groups that manage their own membership.

They must survive lost disks and machines, add joining replicas through outdated seeds,
and never lose or reorder an accepted configuration.
"""

from __future__ import annotations

import pytest
from tests.consensus.control_cluster import Faults
from tests.consensus.self_kept_cluster import SelfKeptCluster, configuration

from peppershore.process.control.releases import (
    ReleaseAccepted,
    ReleaseConflict,
    ReleaseInvalid,
    ReleaseRead,
    ReleaseUndecided,
)

FOUR = ("a", "b", "c", "d")
THREE = ("a", "b", "c")


def founded_cluster(names: tuple[str, ...] = FOUR, seed: int = 1) -> SelfKeptCluster:
    cluster = SelfKeptCluster(names, seed)
    cluster.run_until(lambda: set(cluster.members()) == set(names))
    cluster.run_until(lambda: len(cluster.voters()) == 3)
    return cluster


def submit_accepted(
    cluster: SelfKeptCluster, version: int, base: int = 0, at: str = "a"
) -> None:
    number = cluster.submit(at, configuration(version, base, timeout=version))
    assert cluster.outcome(number) == ReleaseAccepted(version)


def read_version(cluster: SelfKeptCluster, name: str) -> int:
    outcome = cluster.outcome(cluster.ask(name))
    assert isinstance(outcome, ReleaseRead), outcome
    return outcome.configuration.version


def test_the_seeds_found_one_group_and_a_fourth_replica_is_a_learner() -> None:
    cluster = founded_cluster()
    assert set(cluster.voters()) == {"a", "b", "c"}
    assert len(cluster.group_ids()) == 1


def test_a_configuration_is_accepted_and_read_at_every_replica() -> None:
    cluster = founded_cluster()
    for position, name in enumerate(FOUR):
        submit_accepted(cluster, position + 1, position, at=name)
    assert [read_version(cluster, name) for name in FOUR] == [4, 4, 4, 4]


def test_a_lost_disk_is_replaced_by_a_learner_that_votes_later() -> None:
    cluster = founded_cluster(THREE)
    submit_accepted(cluster, 1)
    cluster.crash("b")
    cluster.blank_disk("b")
    cluster.restart_later("b")
    cluster.run_until(lambda: cluster.core("b").state.tree.release == 1)
    cluster.run_until(lambda: set(cluster.voters()) == {"a", "b", "c"})
    submit_accepted(cluster, 2, 1, at="b")
    assert len(cluster.group_ids()) == 1


def test_two_disks_lost_one_after_the_other_lose_nothing() -> None:
    cluster = founded_cluster(THREE)
    submit_accepted(cluster, 1)
    for name in ("a", "c", "b", "a"):
        cluster.crash(name)
        cluster.blank_disk(name)
        cluster.restart_later(name)
        cluster.run(4.0)
    assert [read_version(cluster, name) for name in THREE] == [1, 1, 1]


def test_a_leader_disk_lost_right_after_an_acknowledgement_loses_nothing() -> None:
    cluster = founded_cluster(THREE)
    leader = cluster.leader()
    assert leader is not None
    submit_accepted(cluster, 1, at=leader)
    cluster.crash(leader)
    cluster.blank_disk(leader)
    cluster.restart_later(leader)
    assert read_version(cluster, leader) == 1


def test_a_silent_voter_is_replaced_by_the_learner() -> None:
    cluster = founded_cluster()
    leader = cluster.leader()
    silent = next(name for name in THREE if name != leader)
    cluster.crash(silent)
    cluster.run_until(lambda: "d" in cluster.voters() and silent not in cluster.voters())
    submit_accepted(cluster, 1, at=leader or "")
    cluster.restart_later(silent)
    cluster.run(3.0)
    assert len(cluster.voters()) == 3
    assert read_version(cluster, silent) == 1


def test_a_permanently_lost_machine_is_replaced_by_a_new_one() -> None:
    cluster = founded_cluster(THREE)
    submit_accepted(cluster, 1)
    leader = cluster.leader()
    lost = next(name for name in THREE if name != leader)
    cluster.crash(lost)
    cluster.use_seeds(tuple(name for name in THREE if name != lost))
    cluster.add("e", join=True)
    cluster.start("e")
    cluster.run_until(lambda: "e" in cluster.voters() and lost not in cluster.voters())
    assert read_version(cluster, "e") == 1


def test_a_joining_replica_finds_the_group_through_one_follower() -> None:
    cluster = founded_cluster(THREE)
    leader = cluster.leader()
    follower = next(name for name in THREE if name != leader)
    cluster.use_seeds((follower, "nobody"))
    cluster.add("e", join=True)
    cluster.start("e")
    cluster.run_until(lambda: "e" in cluster.members())


def test_all_killed_at_once_come_back_as_one_group() -> None:
    cluster = founded_cluster()
    submit_accepted(cluster, 1)
    for name in FOUR:
        cluster.crash(name)
    cluster.run(0.5)
    for name in FOUR:
        cluster.restart_later(name)
    cluster.run_until(lambda: cluster.leader() is not None)
    assert read_version(cluster, "d") == 1
    assert len(cluster.group_ids()) == 1


def test_no_second_group_is_founded_by_machines_that_lost_their_disks() -> None:
    cluster = founded_cluster(THREE)
    submit_accepted(cluster, 1)
    for name in ("a", "b"):
        cluster.crash(name)
        cluster.blank_disk(name)
        cluster.restart_later(name)
    cluster.run(10.0)
    assert len(cluster.group_ids()) == 1
    assert isinstance(cluster.outcome(cluster.ask("a")), ReleaseUndecided)


def test_of_two_on_one_base_one_wins_and_a_retry_gets_the_same_outcome() -> None:
    cluster = founded_cluster()
    submit_accepted(cluster, 1)
    one = cluster.submit("a", configuration(2, 1, timeout=21))
    other = cluster.submit("b", configuration(2, 1, timeout=22))
    outcomes = [cluster.outcome(one), cluster.outcome(other)]
    assert sorted(outcomes, key=str) == [ReleaseAccepted(2), ReleaseConflict(2)]
    winner = 21 if outcomes[0] == ReleaseAccepted(2) else 22
    for name in FOUR:
        again = cluster.submit(name, configuration(2, 1, timeout=winner))
        assert cluster.outcome(again) == ReleaseAccepted(2)
        loser = cluster.submit(name, configuration(2, 1, timeout=43 - winner))
        assert cluster.outcome(loser) == ReleaseConflict(2)


def test_a_retry_gets_its_first_outcome_after_leader_restart_and_snapshot() -> None:
    cluster = founded_cluster()
    submit_accepted(cluster, 1)
    for version in range(2, 40):
        submit_accepted(cluster, version, version - 1, at=FOUR[version % 4])
    leader = cluster.leader()
    assert leader is not None
    cluster.crash(leader)
    cluster.run_until(lambda: cluster.leader() not in (None, leader))
    cluster.restart_later(leader)
    cluster.run(2.0)
    for name in FOUR:
        again = cluster.submit(name, configuration(39, 38, timeout=39))
        assert cluster.outcome(again) == ReleaseAccepted(39)
        oldest = cluster.submit(name, configuration(1, 0, timeout=1))
        assert cluster.outcome(oldest) == ReleaseAccepted(1)


def test_configurations_that_overtake_each_other_are_all_taken() -> None:
    cluster = founded_cluster()
    submit_accepted(cluster, 1)
    second = cluster.submit("b", configuration(3, 2, timeout=3))
    cluster.run(0.05)
    first = cluster.submit("c", configuration(2, 1, timeout=2))
    assert cluster.outcome(first) == ReleaseAccepted(2)
    assert cluster.outcome(second) == ReleaseAccepted(3)


@pytest.mark.parametrize(("version", "base"), [(1, 0), (5, 3), (9, 7)])
def test_a_configuration_on_another_base_is_rejected(version: int, base: int) -> None:
    cluster = founded_cluster()
    submit_accepted(cluster, 2)
    stale = cluster.submit("b", configuration(version, base, timeout=77))
    assert cluster.outcome(stale) == ReleaseConflict(2)


def test_an_invalid_configuration_is_never_accepted() -> None:
    cluster = founded_cluster()
    broken = cluster.submit("b", configuration(1, timeout=0))
    assert isinstance(cluster.outcome(broken), ReleaseInvalid)
    assert cluster.core("a").state.tree.release == 0


def test_a_partitioned_replica_neither_rejects_nor_returns_anything() -> None:
    cluster = founded_cluster()
    submit_accepted(cluster, 1)
    leader = cluster.leader()
    assert leader is not None
    cluster.cut_off(leader)
    other = next(name for name in FOUR if name != leader)
    cluster.run_until(lambda: cluster.leader() != leader)
    submit_accepted(cluster, 2, 1, at=other)
    for question in (
        cluster.ask(leader),
        cluster.submit(leader, configuration(2, 1, timeout=2)),
        cluster.submit(leader, configuration(2, 1, timeout=99)),
    ):
        assert isinstance(cluster.outcome(question), ReleaseUndecided)
    cluster.heal()
    cluster.run(3.0)
    assert read_version(cluster, leader) == 2


@pytest.mark.parametrize("seed", range(8))
def test_configurations_submitted_under_loss_are_accepted_in_order(seed: int) -> None:
    faults = Faults(loss=0.05, longest_delay=0.05, longest_sync=0.02)
    cluster = SelfKeptCluster(FOUR, seed, faults)
    cluster.run_until(lambda: len(cluster.voters()) == 3, 60.0)
    version = 0
    while version < 20:
        wanted = configuration(version + 1, version, timeout=100 + version)
        outcome = cluster.outcome(cluster.submit(FOUR[version % 4], wanted))
        if isinstance(outcome, ReleaseAccepted):
            version += 1
        else:
            assert isinstance(outcome, ReleaseUndecided)
    assert len(cluster.group_ids()) == 1
