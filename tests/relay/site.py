"""Small test cluster of cores: one replica, three relays, and nodes added by tests."""

from __future__ import annotations

from typing import TypeVar

from tests.relay.scripted_replica import (
    CLUSTER,
    AcceptEdit,
    ScriptedReplica,
    base_operations,
)
from tests.relay.virtual_network import VirtualNetwork

from peppershore.connection.endpoint_packing import unpack_endpoints
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.endpoints import EndpointsPacked
from peppershore.process.commands import Notice
from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.process.node.inputs import BackendStateChanged
from peppershore.process.node.notices import RelayLeft
from peppershore.process.relay.core import RelayCore
from peppershore.process.settings import (
    NodeSettings,
    PeerRelay,
    PeerReplica,
    RelaySettings,
)
from peppershore.version.model import Operation

NoticeType = TypeVar("NoticeType", bound=Notice)

RELAYS = tuple(
    PeerRelay(name=name, zone=zone, address=name)
    for name, zone in (("r1", "pasila"), ("r2", "pasila"), ("r3", "vantaa"))
)


class Site:
    """Cluster of processes whose addresses equal their names."""

    def __init__(self, **relay_settings: int) -> None:
        self.network = VirtualNetwork()
        self.replica = ScriptedReplica()
        self.relays: dict[str, RelayCore] = {}
        self.nodes: dict[str, NodeCore] = {}
        self._relay_settings = relay_settings
        self.network.start("replica", self.replica)
        self.edit(base_operations())
        for relay in RELAYS:
            self.restart_relay(relay.name)

    def restart_relay(self, name: str, seed: int = 1) -> RelayCore:
        """Start a relay, after killing it if it is running."""
        if name in self.network.processes:
            self.network.kill(name)
        settings = RelaySettings(
            cluster=CLUSTER,
            relay=name,
            zone=next(relay.zone for relay in RELAYS if relay.name == name),
            listen="",
            replicas=(PeerReplica(name="replica", address="replica"),),
            relays=RELAYS,
            **self._relay_settings,  # type: ignore[arg-type]
        )
        self.relays[name] = RelayCore(settings)
        self.network.start(name, self.relays[name], seed)
        return self.relays[name]

    def start_node(
        self,
        name: str,
        service: str,
        memory: NodeMemory | None = None,
        seed: int = 1,
        data_folder: str = "",
    ) -> NodeCore:
        """Start a node with a back end in zone "pasila"."""
        settings = NodeSettings(
            cluster=CLUSTER,
            node=name,
            service=service,
            zone="pasila",
            listen="",
            relays=RELAYS,
            backend=f"{name}:80",
            data_folder=data_folder,
        )
        core = NodeCore(settings, memory or NodeMemory(incarnation=1))
        self.nodes[name] = core
        self.network.start(name, core, seed)
        return core

    def edit(self, operations: tuple[Operation, ...]) -> None:
        """Accept an edit at the replica, which sends it to the relays."""
        self.network.give("replica", AcceptEdit(operations))

    def make_ready(self, *names: str) -> None:
        """Set the back ends of these nodes to ready."""
        for name in names:
            self.network.give(name, BackendStateChanged("ready"))

    def relay_of(self, name: str) -> str:
        """Return the name of the relay that a node uses, or "" if none."""
        active = self.nodes[name].sessions.active
        return active.relay.name if active is not None else ""

    def notices(self, name: str, kind: type[NoticeType]) -> list[NoticeType]:
        """Return the notices of one kind that a process reported."""
        reported = self.network.processes[name].notices
        return [each for each in reported if isinstance(each, kind)]

    def count_sent(self, name: str, kind: type[Message]) -> int:
        """Return the number of messages of one kind that a process sent."""
        sent = self.network.processes[name].sent
        return sum(isinstance(each, kind) for each in sent)

    def left_without_relay(self, name: str) -> bool:
        """Return whether a node ever lost its relay before it had another one."""
        return bool(self.notices(name, RelayLeft))

    def gone_endpoints_received(self, name: str) -> int:
        """Return the number of gone endpoints that a node received."""
        received = self.network.processes[name].received
        return sum(
            endpoint.state == "gone"
            for message in received
            if isinstance(message, EndpointsPacked)
            for endpoint in unpack_endpoints(message).unwrap().endpoints
        )

    def shown(self, relay: str, service: str) -> set[str]:
        """Return the nodes whose endpoints are visible in a relay's table."""
        table = self.relays[relay].exchange.table
        return {each.node for each in table.shown([service])}

    def sessions(self, relay: str) -> list[int]:
        """Return the links of a relay's node sessions."""
        return list(self.relays[relay].distributor.sessions)
