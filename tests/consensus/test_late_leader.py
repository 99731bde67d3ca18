"""A leader that was suspended contacts its voters before it steps down.

Its check-quorum timeout passes during the suspension although the voters may still
follow it.
"""

from __future__ import annotations

from tests.consensus.control_cluster import ControlCluster

SEEDS = range(1, 41)
SUSPENSION_ELECTION_TIMEOUTS = 1.04
"""Length of the suspension in election timeouts; some followers wait longer."""

ENOUGH_TRIALS = 5


def _suspend_leader(seed: int) -> tuple[bool, bool]:
    """Suspend the leader; return whether no voter campaigned and whether it leads on."""
    cluster = ControlCluster(("a", "b", "c"), seed=seed)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(1.0)
    leader = cluster.leader()
    assert leader is not None
    term = cluster.core(leader).consensus.term
    election = cluster.core(leader).consensus.settings.election_seconds
    cluster.pause(leader)
    cluster.run(SUSPENSION_ELECTION_TIMEOUTS * election)
    terms = [cluster.core(name).consensus.term for name in ("a", "b", "c")]
    roles = [cluster.core(name).consensus.election for name in ("a", "b", "c")]
    voters_kept_leader = set(terms) == {term} and not any(roles)
    cluster.resume(leader)
    cluster.run(0.2 * election)
    return voters_kept_leader, cluster.core(leader).consensus.leadership is not None


def test_a_suspended_leader_keeps_leading_if_its_voters_still_answer() -> None:
    outcomes = [_suspend_leader(seed) for seed in SEEDS]
    kept = [stayed for voters_kept_leader, stayed in outcomes if voters_kept_leader]
    assert len(kept) >= ENOUGH_TRIALS
    assert all(kept)


def test_a_leader_that_is_cut_off_still_steps_down() -> None:
    cluster = ControlCluster(("a", "b", "c"), seed=3)
    cluster.run_until(lambda: cluster.leader() is not None)
    leader = cluster.leader()
    assert leader is not None
    consensus = cluster.core(leader).consensus
    cluster.pause(leader)
    cluster.run(SUSPENSION_ELECTION_TIMEOUTS * consensus.settings.election_seconds)
    cluster.cut_off(leader)
    cluster.resume(leader)
    cluster.run(1.5 * consensus.settings.election_seconds)
    assert consensus.leadership is None
