"""A control cluster under seeded faults keeps its guarantees and recovers.

The faults are crashes, partitions, suspensions, full disks, lost and duplicated
messages, and simultaneous restarts of all processes.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from tests.consensus.control_cluster import ControlCluster, Faults
from tests.consensus.workload import Answers, Operator, Reader, Relay

NAMES = ("a", "b", "c", "d", "e")
SEEDS = range(12)
BEYOND_TOLERANCE = 0.15
"""Probability of a further fault while as many replicas are faulty as tolerated."""
MASS_RESTART_SECONDS = 3.0
FAULTY_SECONDS = 12.0
RECOVERY_SECONDS = 6.0
FAULTS = Faults(loss=0.02, duplicate=0.02, longest_delay=0.004, longest_sync=0.03)


class FaultMaker:
    """Injects a random fault into a random replica every few hundred milliseconds."""

    def __init__(self, cluster: ControlCluster) -> None:
        self._cluster = cluster
        self._broken: set[str] = set()
        self.active = True
        self.made = 0
        self._next()
        cluster.later(MASS_RESTART_SECONDS, self._mass_restart)

    def _mass_restart(self) -> None:
        """Kill all healthy processes at one moment and restart them together."""
        if not self.active:
            return
        self._cluster.later(MASS_RESTART_SECONDS, self._mass_restart)
        names = [
            name for name in sorted(self._cluster.replicas) if name not in self._broken
        ]
        repairs = [self._crash(name) for name in names]
        for name, repair in zip(names, repairs, strict=True):
            self._broken.add(name)
            self._cluster.later(0.1, lambda n=name, r=repair: self._repair(n, r))

    def _next(self) -> None:
        if not self.active:
            return
        chance = self._cluster.random
        healthy = [
            name for name in sorted(self._cluster.replicas) if name not in self._broken
        ]
        tolerated = (len(self._cluster.replicas) - 1) // 2
        beyond = len(self._broken) >= tolerated and chance.random() > BEYOND_TOLERANCE
        if healthy and not beyond:
            leader = self._cluster.leader()
            target_leader = leader in healthy and chance.random() < 0.4
            name = leader if leader and target_leader else chance.choice(healthy)
            kind = chance.choice((self._crash, self._cut, self._pause, self._fill_disk))
            self._broken.add(name)
            self.made += 1
            repair = kind(name)
            self._cluster.later(
                chance.uniform(0.05, 1.5), lambda: self._repair(name, repair)
            )
        self._cluster.later(chance.uniform(0.1, 0.6), self._next)

    def _repair(self, name: str, repair: Callable[[], None]) -> None:
        repair()
        self._broken.discard(name)

    def _crash(self, name: str) -> Callable[[], None]:
        self._cluster.crash(name)
        return lambda: self._cluster.start(name)

    def _cut(self, name: str) -> Callable[[], None]:
        directions = self._cluster.random.choice(
            ((True, True), (True, False), (False, True))
        )
        self._cluster.cut_off(name, *directions)

        def heal() -> None:
            self._cluster.cut = {pair for pair in self._cluster.cut if name not in pair}

        return heal

    def _pause(self, name: str) -> Callable[[], None]:
        self._cluster.pause(name)
        return lambda: self._cluster.resume(name)

    def _fill_disk(self, name: str) -> Callable[[], None]:
        self._cluster.replicas[name].disk_full = True

        def free() -> None:
            self._cluster.replicas[name].disk_full = False

        return free


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", (3, 5))
def test_promises_hold_under_faults(size: int, seed: int) -> None:
    cluster = ControlCluster(NAMES[:size], seed * 10 + size, FAULTS)
    cluster.run_until(lambda: cluster.leader() is not None)
    answers = Answers()
    operators = [Operator(name, cluster, answers) for name in ("x", "y", "z")]
    reader = Reader(cluster, answers)
    relay = Relay(cluster)
    faults = FaultMaker(cluster)

    cluster.run(FAULTY_SECONDS)
    faults.active = False
    answered_under_faults = len(answers.outcomes)
    cluster.run(RECOVERY_SECONDS)
    answered_after = len(answers.outcomes)
    for operator in operators:
        operator.stopped = True
    cluster.run(2.0)

    assert faults.made > 5
    assert answered_after > answered_under_faults
    assert reader.confirmed > 0
    for outcome in answers.outcomes.values():
        accepted_at = cluster.invariants.accepted.get(outcome.change_id)
        assert accepted_at == getattr(outcome, "version", None)
    cores = [cluster.core(name) for name in cluster.replicas]
    cluster.invariants.check_logs_match(cores)
    trees = {core.state.tree.version: core.state.tree for core in cores}
    assert len(trees) == 1
    assert all(core.state.snapshot() == cores[0].state.snapshot() for core in cores)
    assert relay.version == cores[0].state.tree.version
