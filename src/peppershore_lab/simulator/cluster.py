"""A small cluster of simulated processes around the real cores."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

import msgspec

from peppershore.process import events
from peppershore.process.consensus.records import StoredState
from peppershore.process.control.core import ControlCore
from peppershore.process.hub.plan import plan_hub
from peppershore.process.node.core import NodeCore
from peppershore.process.node.inputs import BackendStateChanged
from peppershore.process.relay.core import RelayCore
from peppershore.process.settings import (
    ControlSettings,
    HubSettings,
    NodeSettings,
    PeerRelay,
    PeerReplica,
    RelaySettings,
)
from peppershore.version.model import Scope
from peppershore_lab.simulator.accepted_log import AcceptedLog
from peppershore_lab.simulator.checks import Checks
from peppershore_lab.simulator.edit_generator import BACK_END_SERVICES, EDGE_SERVICE, ZONES
from peppershore_lab.simulator.operator import OperatorCore
from peppershore_lab.simulator.process import SimulatedProcess
from peppershore_lab.simulator.roles import NodeRole, PlainRole, ReplicaRole
from peppershore_lab.simulator.site import SimulatedSite
from peppershore_lab.simulator.timeliness import AnsweredVersions

CLUSTER = "simulated"
INCARNATIONS_PER_SECOND = 1_000


@dataclass(frozen=True)
class HubTiming:
    """Settings that a deployment gives its hubs and nodes; only their times count."""

    hub: HubSettings
    node: NodeSettings


@dataclass(frozen=True)
class ClusterShape:
    """How many processes of each kind, and bounds that make them work harder.

    With ``hub_timing`` each relay follows the replica of its own number alone, as in a
    hub, and all keep the times of that deployment.
    """

    replicas: int = 3
    relays: int = 2
    nodes: int = 4
    operators: int = 2
    think_seconds: float = 0.5
    snapshot_entries: int = 20
    change_id_horizon: int = 1_000
    batching_milliseconds: int = 0
    has_administrator: bool = False
    hub_timing: HubTiming | None = None


class Cluster(SimulatedSite):
    """All processes, the network between them, and the checks of every step."""

    def __init__(self, shape: ClusterShape, seed: int) -> None:
        """Make the machines; nothing runs before ``start``."""
        super().__init__(seed)
        self.shape = shape
        self._starts = itertools.count(1)
        self._replica_peers = tuple(
            PeerReplica(name=f"c{number}", address=f"c{number}:1")
            for number in range(1, shape.replicas + 1)
        )
        self._relay_peers = tuple(
            PeerRelay(
                name=f"r{number}",
                zone=ZONES[(number - 1) % len(ZONES)],
                address=f"r{number}:1",
            )
            for number in range(1, shape.relays + 1)
        )
        scopes = tuple(self._scope(number) for number in range(1, shape.nodes + 1))
        self.checks = Checks(AcceptedLog(CLUSTER, tuple(dict.fromkeys(scopes))))
        self.answered = AnsweredVersions(self.checks.log)
        self.replicas = [self._replica(peer) for peer in self._replica_peers]
        self.relays = [self._relay(peer) for peer in self._relay_peers]
        self.nodes = [self._node(number) for number in range(1, shape.nodes + 1)]
        self.operators = [
            self._operator(number) for number in range(1, shape.operators + 1)
        ]
        if shape.has_administrator:
            addresses = tuple(peer.address for peer in self._replica_peers)
            self.administrators = [self.make_administrator(addresses)]

    @property
    def zones(self) -> tuple[str, ...]:
        """Zones with relays."""
        return tuple(dict.fromkeys(peer.zone for peer in self._relay_peers))

    def processes_of_zone(self, zone: str) -> list[SimulatedProcess]:
        """Relays and nodes of a zone."""
        relays = [
            process
            for process, peer in zip(self.relays, self._relay_peers, strict=True)
            if peer.zone == zone
        ]
        nodes = [
            process
            for number, process in enumerate(self.nodes, start=1)
            if self._scope(number).zone == zone
        ]
        return [*relays, *nodes]

    def check_step(self, process: SimulatedProcess, event: events.Event) -> None:
        """Check the promises after a step; a node's back end is soon ready."""
        self.checks.after_step(process)
        self.answered.note(self.scheduler.now)
        if isinstance(event, events.Started) and isinstance(process.core, NodeCore):
            self.scheduler.after(0.1, lambda: self._back_end_ready(process))

    def set_operators_active(self, active: bool) -> None:
        """Let operators begin new edits, or only finish those under way."""
        for process in self.operators:
            if isinstance(process.core, OperatorCore):
                process.core.is_active = active

    def set_operators_watching(self, watching: bool) -> None:
        """Let operators ask for the state again and again."""
        for process in self.operators:
            if isinstance(process.core, OperatorCore):
                process.core.is_watching = watching

    def is_converged(self) -> bool:
        """Tell whether every node runs and holds the newest accepted version."""
        return all(self.holds_newest(process) for process in self.nodes)

    def holds_newest(self, process: SimulatedProcess) -> bool:
        """Tell whether one node holds what its scope must hold now."""
        core = process.core
        if not isinstance(core, NodeCore):
            return False
        snapshot = core.holder.snapshot
        log = self.checks.log
        wanted = log.digest_at(snapshot.scope, log.newest)
        if log.newest == 0:
            return True
        return snapshot.version > 0 and snapshot.digest == wanted

    # --- making machines -----------------------------------------------------------------

    def _back_end_ready(self, process: SimulatedProcess) -> None:
        if isinstance(process.core, NodeCore):
            process.take(BackendStateChanged("ready"))

    def _scope(self, number: int) -> Scope:
        services = (EDGE_SERVICE, *BACK_END_SERVICES)
        service = services[(number - 1) % len(services)]
        return Scope(service, ZONES[(number - 1) // len(services) % len(ZONES)])

    def _replica(self, peer: PeerReplica) -> SimulatedProcess:
        settings = ControlSettings(
            cluster=CLUSTER,
            replica=peer.name,
            listen=peer.address,
            data_folder="simulated",
            replicas=self._replica_peers,
            snapshot_entries=self.shape.snapshot_entries,
            change_id_horizon=self.shape.change_id_horizon,
        )
        timing = self.shape.hub_timing
        if timing is not None:
            planned = plan_hub(timing.hub).control
            settings = msgspec.structs.replace(
                settings,
                heartbeat_milliseconds=planned.heartbeat_milliseconds,
                election_milliseconds=planned.election_milliseconds,
            )

        def make(stored: StoredState) -> ControlCore:
            return ControlCore(settings, stored)

        role = ReplicaRole(make, lambda: self.randomness.getrandbits(62))
        return self.make_machine(peer.name, peer.address, role)

    def _relay(self, peer: PeerRelay) -> SimulatedProcess:
        settings = RelaySettings(
            cluster=CLUSTER,
            relay=peer.name,
            zone=peer.zone,
            listen=peer.address,
            replicas=self._replica_peers,
            relays=self._relay_peers,
            batching_milliseconds=self.shape.batching_milliseconds,
        )
        timing = self.shape.hub_timing
        if timing is not None:
            own = self._relay_peers.index(peer)
            settings = msgspec.structs.replace(
                plan_hub(timing.hub).relay,
                cluster=CLUSTER,
                relay=peer.name,
                zone=peer.zone,
                listen=peer.address,
                replicas=(self._replica_peers[own],),
                relays=self._relay_peers,
            )
        role = PlainRole(lambda: RelayCore(settings))
        return self.make_machine(peer.name, peer.address, role)

    def _node(self, number: int) -> SimulatedProcess:
        name = f"n{number}"
        scope = self._scope(number)
        has_disk = number % 2 == 1
        settings = NodeSettings(
            cluster=CLUSTER,
            node=name,
            service=scope.service,
            zone=scope.zone,
            listen=f"{name}:1",
            relays=self._relay_peers,
            backend="" if scope.service == EDGE_SERVICE else f"{name}:80",
            data_folder="simulated" if has_disk else "",
        )
        timing = self.shape.hub_timing
        if timing is not None:
            settings = msgspec.structs.replace(
                timing.node,
                cluster=CLUSTER,
                node=name,
                service=scope.service,
                zone=scope.zone,
                relays=self._relay_peers,
                backend=settings.backend,
                data_folder="",
            )
        role = NodeRole(settings, NodeCore, self._incarnation)
        return self.make_machine(name, f"{name}:1", role)

    def _operator(self, number: int) -> SimulatedProcess:
        name = f"o{number}"
        addresses = tuple(peer.address for peer in self._replica_peers)
        think = self.shape.think_seconds
        role = PlainRole(lambda: OperatorCore(name, addresses, think, self.checks))
        return self.make_machine(name, f"{name}:1", role)

    def _incarnation(self) -> int:
        return int(self.scheduler.now * INCARNATIONS_PER_SECOND) + next(self._starts)
