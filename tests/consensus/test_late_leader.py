"""A leader whose own process stood still asks its voters before it steps down."""

from __future__ import annotations

from tests.consensus.control_cluster import ControlCluster

SEEDS = range(1, 41)
PAUSE_ELECTIONS = 1.04
"""The pause as a part of the election timeout: some followers wait longer than that."""

ENOUGH_TRIALS = 5


def _outcome(seed: int) -> tuple[bool, bool]:
    """Pause the leader; tell whether the voters kept to it, and whether it stayed."""
    cluster = ControlCluster(("a", "b", "c"), seed=seed)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(1.0)
    leader = cluster.leader()
    assert leader is not None
    term = cluster.core(leader).consensus.term
    election = cluster.core(leader).consensus.settings.election_seconds
    cluster.pause(leader)
    cluster.run(PAUSE_ELECTIONS * election)
    terms = [cluster.core(name).consensus.term for name in ("a", "b", "c")]
    roles = [cluster.core(name).consensus.election for name in ("a", "b", "c")]
    is_kept = set(terms) == {term} and not any(roles)
    cluster.resume(leader)
    cluster.run(0.2 * election)
    return is_kept, cluster.core(leader).consensus.leadership is not None


def test_a_leader_that_stood_still_stays_if_its_voters_still_answer() -> None:
    outcomes = [_outcome(seed) for seed in SEEDS]
    kept = [stayed for is_kept, stayed in outcomes if is_kept]
    assert len(kept) >= ENOUGH_TRIALS
    assert all(kept)


def test_a_leader_that_is_cut_off_still_steps_down() -> None:
    cluster = ControlCluster(("a", "b", "c"), seed=3)
    cluster.run_until(lambda: cluster.leader() is not None)
    leader = cluster.leader()
    assert leader is not None
    consensus = cluster.core(leader).consensus
    cluster.pause(leader)
    cluster.run(PAUSE_ELECTIONS * consensus.settings.election_seconds)
    cluster.cut_off(leader)
    cluster.resume(leader)
    cluster.run(1.5 * consensus.settings.election_seconds)
    assert consensus.leadership is None
