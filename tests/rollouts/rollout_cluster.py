"""A group that keeps itself, with operators who order roll-outs, in virtual time."""

from __future__ import annotations

from tests.consensus.control_cluster import Replica
from tests.consensus.self_kept_cluster import SelfKeptCluster, configuration

from peppershore.connection.messages.rollouts import (
    BackEndEvidence,
    EvidenceShared,
    RouteEvidence,
)
from peppershore.process import commands
from peppershore.process.control.releases import ReleaseTaken
from peppershore.process.control.rollout_orders import (
    RolloutAborted,
    RolloutAnswered,
    RolloutOrder,
    RolloutOrdered,
    RolloutOutcome,
    RolloutRead,
    RolloutUndecided,
    RolloutWanted,
)
from peppershore.version.rollout import Rollout, rollout_of

SERVICE = "kassa"
SECONDS = 12.0
NAMES = ("a", "b", "c")
FAST_TIMES = (20, 40)
"""Forty calls in one bucket of times."""


class RolloutCluster(SelfKeptCluster):
    """Answers to roll-out questions are kept by number."""

    def __init__(self, seed: int = 1, names: tuple[str, ...] = NAMES) -> None:
        self.told: dict[int, RolloutOutcome] = {}
        super().__init__(names, seed)
        self.run_until(lambda: set(self.members()) == set(names))
        number = self.submit("a", configuration(1))
        assert self.outcome(number) == ReleaseTaken(1)

    def _carry_out(self, name: str, replica: Replica, command: commands.Command) -> None:
        if isinstance(command, RolloutAnswered):
            self.told[command.request] = command.outcome
        else:
            super()._carry_out(name, replica, command)

    def order(
        self, version: str = "v2", at: str = "a", seconds: float = SECONDS
    ) -> RolloutOutcome:
        """Order a roll-out; what is undecided is sent again."""
        order = RolloutOrder(SERVICE, version, seconds)
        return self._until_decided(at, lambda number: RolloutOrdered(number, order))

    def abort(self, at: str = "a") -> RolloutOutcome:
        """Take the roll-out back."""
        return self._until_decided(at, lambda number: RolloutAborted(number, SERVICE))

    def read_rollout(self, at: str = "a") -> Rollout:
        """Read the latest roll-out, confirmed by a quorum."""
        found = self._until_decided(at, lambda number: RolloutWanted(number, SERVICE))
        assert isinstance(found, RolloutRead), found
        return found.rollout

    def held(self, name: str) -> Rollout | None:
        """Give what a replica holds, confirmed or not."""
        return rollout_of(self.core(name).state.tree, SERVICE)

    def show(self, version: str, calls: int, failed: int, times: tuple[int, ...]) -> None:
        """Let four back ends of a version tell so much each, at every replica."""
        rollout = next(filter(None, map(self.held, self._running())), None)
        assert rollout is not None
        for name in self._running():
            for number in range(4):
                route = RouteEvidence("pay", calls, failed, times)
                evidence = BackEndEvidence(
                    f"{version}-{number}",
                    SERVICE,
                    version,
                    rollout.began_milliseconds,
                    1,
                    round(self.time * 1_000),
                    (route,),
                )
                self.core(name).rollouts.take(EvidenceShared(evidence).evidence)

    def show_good(self) -> None:
        """Both versions answer alike."""
        self.show("v1", 40, 0, FAST_TIMES)
        self.show("v2", 40, 0, FAST_TIMES)

    def _running(self) -> list[str]:
        return [name for name, each in self.replicas.items() if each.core is not None]

    def _until_decided(self, at: str, event: object) -> RolloutOutcome:
        assert callable(event)
        for _ in range(20):
            number = next(self._numbers)
            self.event(at, event(number))
            self.run_until(lambda number=number: number in self.told)
            if not isinstance(self.told[number], RolloutUndecided):
                return self.told[number]
        raise AssertionError("never decided")


__all__ = ["RolloutCluster"]
