"""What every simulated site has: machines, a network, faults' victims, a trace."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from random import Random

from peppershore.process import commands, events
from peppershore.process.consensus.core import Consensus
from peppershore.process.consensus.membership import find_member
from peppershore.process.consensus.replica import ReplicaCore
from peppershore_lab.simulator.administrator import (
    AdministratorCore,
    Replacement,
    Replacements,
)
from peppershore_lab.simulator.host_clock import HostClock
from peppershore_lab.simulator.network import Network
from peppershore_lab.simulator.process import Role, SimulatedProcess
from peppershore_lab.simulator.roles import PlainRole
from peppershore_lab.simulator.scheduler import Scheduler
from peppershore_lab.simulator.trace import TraceTail

MAX_CLOCK_OFFSET_SECONDS = 10_000.0
MAX_CLOCK_DRIFT = 0.0005
"""Half a millisecond a second: within the drift bound that the lease states."""
TRACE_STEPS = 60


class SimulatedSite(ABC):
    """Machines by what runs on them; the faults pick their victims here."""

    def __init__(self, seed: int) -> None:
        """Begin without machines."""
        self.scheduler = Scheduler()
        self.randomness = Random(seed)
        self.network = Network(self.scheduler, self.randomness)
        self.trace = TraceTail(TRACE_STEPS)
        self.steps = 0
        self.replacements = Replacements()
        self.replicas: list[SimulatedProcess] = []
        self.relays: list[SimulatedProcess] = []
        self.nodes: list[SimulatedProcess] = []
        self.operators: list[SimulatedProcess] = []
        self.administrators: list[SimulatedProcess] = []

    @property
    def processes(self) -> list[SimulatedProcess]:
        """All of them."""
        return [
            *self.replicas,
            *self.relays,
            *self.nodes,
            *self.operators,
            *self.administrators,
        ]

    @property
    def zones(self) -> tuple[str, ...]:
        """Zones that can be cut off."""
        return ()

    def processes_of_zone(self, zone: str) -> list[SimulatedProcess]:
        """Relays and nodes of a zone."""
        del zone
        return []

    def start(self) -> None:
        """Start everything at once."""
        for process in self.processes:
            process.start()

    def stepped(
        self, process: SimulatedProcess, event: events.Event, out: list[commands.Command]
    ) -> None:
        """Note and check one step (the ``Trace`` of all processes)."""
        self.steps += 1
        self.trace.add(self.scheduler.now, process.name, event, out)
        self.check_step(process, event)

    @abstractmethod
    def check_step(self, process: SimulatedProcess, event: events.Event) -> None:
        """Check the promises after a step."""

    # --- the group of replicas -------------------------------------------------------

    @property
    def leader(self) -> Consensus | None:
        """The replica that leads the newest term, if one does."""
        leading = [
            process.core.consensus
            for process in self.replicas
            if isinstance(process.core, ReplicaCore) and process.core.leads
        ]
        return max(leading, key=lambda consensus: consensus.term, default=None)

    def leader_or_any(self) -> SimulatedProcess:
        """Give a replica that leads, or a random one."""
        for process in self.replicas:
            if isinstance(process.core, ReplicaCore) and process.core.leads:
                return process
        return self.randomness.choice(self.replicas)

    def replace(self, victim: SimulatedProcess, when_done: Callable[[], None]) -> None:
        """Have the administrator replace a replica whose disk is lost."""
        self.replacements.add(
            Replacement(
                victim.name, victim.address, lambda: self._is_voter(victim), when_done
            )
        )

    def is_group_whole(self) -> bool:
        """Whether every replica is a voter, as the leader's committed log has it."""
        return all(self._is_voter(process) for process in self.replicas)

    def _is_voter(self, replica: SimulatedProcess) -> bool:
        leader = self.leader
        if leader is None or leader.memberships.current_index > leader.commit_index:
            return False
        member = find_member(leader.membership, replica.name)
        core = replica.core
        if member is None or not member.voter:
            return False
        if not isinstance(core, ReplicaCore):
            return True
        return core.consensus.identity == member.identity

    # --- making machines ---------------------------------------------------------------

    def make_administrator(self, replicas: tuple[str, ...]) -> SimulatedProcess:
        """Make the administrator of the replicas at these addresses."""
        role = PlainRole(lambda: AdministratorCore(replicas, self.replacements))
        return self.make_machine("admin", "admin:1", role)

    def make_machine(self, name: str, address: str, role: Role) -> SimulatedProcess:
        """Make a machine with a clock of its own; nothing runs on it yet."""
        offset = self.randomness.random() * MAX_CLOCK_OFFSET_SECONDS
        rate = 1.0 + MAX_CLOCK_DRIFT * (2.0 * self.randomness.random() - 1.0)
        clock = HostClock(self.scheduler, offset, rate)
        return SimulatedProcess(
            name,
            address,
            role,
            scheduler=self.scheduler,
            network=self.network,
            clock=clock,
            randomness=self.randomness,
            trace=self,
        )
